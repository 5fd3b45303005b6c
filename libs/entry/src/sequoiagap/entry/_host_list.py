"""The platform's host list, followed by each entry."""

import asyncio

from sequoiagap import base

LIST_INTERVAL_S = 1.0

_log = base.get_logger("host-list")


class HostList:
    """Polls the platform's lagging list and hands it on by role.

    :param sequoiagap.platform.PlatformClient client: the platform.
    :param takers_by_role: functions that take the hosts of a role.
    :type takers_by_role: dict[str, collections.abc.Callable]
    """

    def __init__(self, client, takers_by_role):
        self.client = client
        self.takers_by_role = takers_by_role

    async def run(self):
        """Poll until cancelled, through outages."""
        is_reachable = True
        while True:
            try:
                hosts = await self.client.list_hosts()
            except base.PlatformError as error:
                if is_reachable:
                    _log.emit(base.Event.PLATFORM_UNREACHABLE, error=error.message)
                is_reachable = False
            else:
                if not is_reachable:
                    _log.emit(base.Event.PLATFORM_REACHABLE)
                is_reachable = True
                for role, take in self.takers_by_role.items():
                    take([host for host in hosts if host.role == role])
            await asyncio.sleep(LIST_INTERVAL_S)
