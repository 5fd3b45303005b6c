"""Configuration versions at the agent: learnt at start, then from entries."""

import asyncio

import pydantic

from sequoiagap import base, config

LEARN_RETRY_S = 0.5

_log = base.get_logger("spread")


class ConfigSpread:
    """Takes versions from the platform at start and from entries later.

    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param sequoiagap.platform.PlatformClient client: the platform.
    """

    def __init__(self, holder, client):
        self.holder = holder
        self.client = client

    def attach(self, handlers):
        """Register the message handlers of configuration.

        :param sequoiagap.wire.HandlerTable handlers: table to fill.
        """
        handlers.add(config.ConfigOffer, self._on_offer)
        handlers.add(config.ConfigBody, self._on_body)

    async def learn(self):
        """Read the version from the platform until some source has given one."""
        store = config.ConfigStore(self.client)
        while not self.holder.known_.is_set():
            try:
                self.holder.adopt(await store.read(), "platform")
            except base.PlatformError as error:
                _log.emit(base.Event.PLATFORM_UNREACHABLE, error=error.message)
            await asyncio.sleep(LEARN_RETRY_S)

    async def greet(self, connection):
        """Ask a newly connected entry for its version if it is higher.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        own = self.holder.current_.number
        if connection.peer.config_version > own:
            await connection.send(config.ConfigPull(own))

    async def _on_offer(self, connection, item):
        own = self.holder.current_.number
        if item.number > own:
            await connection.send(config.ConfigPull(own))

    async def _on_body(self, connection, item):
        try:
            version = config.ConfigVersion.from_json(item.number, item.document)
        except (pydantic.ValidationError, ValueError) as error:
            _log.emit(base.Event.FRAME_REJECTED, error=str(error))
            return
        self.holder.adopt(version, connection.peer.node_id)
