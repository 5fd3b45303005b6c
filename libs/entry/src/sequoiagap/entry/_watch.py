"""Configuration at the entry: watched on the platform, then passed on."""

import asyncio

from sequoiagap import base, config

RETRY_DELAY_S = 0.5

_log = base.get_logger("watch")


class ConfigWatch:
    """Watches the configuration object.

    :param sequoiagap.platform.PlatformClient client: the platform.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    """

    def __init__(self, client, holder):
        self.client = client
        self.holder = holder

    async def run(self):
        """Watch until cancelled, through outages."""
        version = 0
        while True:
            try:
                stored = await self.client.watch(config.CONFIG_OBJECT, version)
            except base.PlatformError as error:
                _log.emit(base.Event.PLATFORM_UNREACHABLE, error=error.message)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if stored is not None:
                version = stored.version
                self.holder.adopt(config.parse_stored(stored), "platform")
