"""Configuration of the agent: loaded at start, then updated by entries."""

import asyncio
import time

from sequoiagap import base, config

LOAD_RETRY_DELAY_S = 0.5
LOAD_TIMEOUT_S = 2.0
PULL_TIMEOUT_S = 1.0
PULL_POLL_INTERVAL_S = 0.01

_log = base.get_logger("spread")


class ConfigSync:
    """Gets configuration versions from the platform at start and from entries later.

    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param sequoiagap.platform.PlatformClient client: client of the platform.
    """

    def __init__(self, holder, client):
        self.holder = holder
        self.client = client
        self.replica_ = config.ConfigReplica(holder)
        self.channel_ = config.ConfigChannel(self.replica_)

    def attach(self, handlers):
        """Register the handlers of configuration messages.

        :param sequoiagap.wire.HandlerTable handlers: table to fill.
        """
        self.channel_.attach(handlers)

    async def load_initial_version(self):
        """Load the highest available version; attempts are refused until then.

        The version of the platform is sufficient. If the platform does not answer, the
        agent waits for :data:`LOAD_TIMEOUT_S`, so that every entry that has connected
        can offer its version.
        """
        store = config.ConfigStore(self.client)
        began = time.monotonic()
        while not self.holder.ready_.is_set():
            if (
                await self._adopt_platform_version(store)
                or time.monotonic() - began > LOAD_TIMEOUT_S
            ):
                await self._become_ready()
            else:
                await asyncio.sleep(LOAD_RETRY_DELAY_S)

    async def send_offer(self, connection):
        """Offer this agent's version to a newly connected entry.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        await self.channel_.send_offer(connection)

    async def pull(self, connection, number):
        """Pull a version under which an entry decided on an attempt.

        :param sequoiagap.wire.Connection connection: the entry.
        :param int number: the version.
        :returns: whether the version, or a newer one, is in force.
        :rtype: bool
        """
        own = self.holder.current_.number
        if own < number:
            await connection.send(config.ConfigPull(own))
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                while self.holder.current_.number < number:  # noqa: ASYNC110
                    await asyncio.sleep(PULL_POLL_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    async def _adopt_platform_version(self, store):
        """Adopt the platform's version; return whether the platform answered."""
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
        """Accept attempts once a version is in force.

        Wait for a version until the platform is due to be read again.
        """
        try:
            async with asyncio.timeout(LOAD_RETRY_DELAY_S):
                await self.holder.has_version_.wait()
        except TimeoutError:
            return
        self.holder.ready_.set()
