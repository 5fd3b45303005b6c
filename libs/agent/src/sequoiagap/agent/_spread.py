"""Configuration versions at the agent: learnt at start, then from entries."""

import asyncio
import time

from sequoiagap import base, config

LEARN_RETRY_S = 0.5
LEARN_BOUND_S = 2.0
CATCH_UP_BOUND_S = 1.0
POLL_S = 0.01

_log = base.get_logger("spread")


class ConfigSpread:
    """Takes versions from the platform at start and from entries later.

    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param sequoiagap.platform.PlatformClient client: the platform.
    """

    def __init__(self, holder, client):
        self.holder = holder
        self.client = client
        self.replica_ = config.ConfigReplica(holder)
        self.channel_ = config.ConfigChannel(self.replica_)

    def attach(self, handlers):
        """Register the message handlers of configuration.

        :param sequoiagap.wire.HandlerTable handlers: table to fill.
        """
        self.channel_.attach(handlers)

    async def learn(self):
        """Learn the highest reachable version; work is refused until then.

        The platform's word is enough. Without it the process waits for a while,
        so that every entry that has found it can offer what it has.
        """
        store = config.ConfigStore(self.client)
        began = time.monotonic()
        while not self.holder.ready_.is_set():
            if await self._read(store) or time.monotonic() - began > LEARN_BOUND_S:
                await self._become_ready()
            else:
                await asyncio.sleep(LEARN_RETRY_S)

    async def greet(self, connection):
        """Offer an entry on a new connection what this process has.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        await self.channel_.send_offer(connection)

    async def catch_up(self, connection, number):
        """Pull a version that an entry has decided under.

        :param sequoiagap.wire.Connection connection: the entry.
        :param int number: the version.
        :returns: whether it is in force now.
        :rtype: bool
        """
        own = self.holder.current_.number
        if own < number:
            await connection.send(config.ConfigPull(own))
        try:
            async with asyncio.timeout(CATCH_UP_BOUND_S):
                while self.holder.current_.number < number:  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return False
        return True

    async def _read(self, store):
        """Adopt the platform's version; tell whether the platform answered."""
        try:
            head = await store.read()
        except base.PlatformError as error:
            _log.emit(base.Event.PLATFORM_UNREACHABLE, error=error.message)
            return False
        except base.ConfigError as error:
            self.replica_.report_malformed(0, "platform", error)
            return False
        self.holder.adopt(head.version, "platform", head.steps())
        return True

    async def _become_ready(self):
        """Take work from the first version on; wait for it until the next reading."""
        try:
            async with asyncio.timeout(LEARN_RETRY_S):
                await self.holder.has_version_.wait()
        except TimeoutError:
            return
        self.holder.ready_.set()
