"""The platform's host list, polled by few entries of a failure domain."""

import asyncio
import dataclasses
import time

from sequoiagap import base, config, members

LIST_INTERVAL_S = 1.0
IDLE_CHECK_S = 0.25
NEWS_STEP_S = 0.5

_log = base.get_logger("host-list")


class HostList:
    """Follows the platform's lagging list and hands it on by role.

    The first two entries of a failure domain in rank poll it and tell their peers
    of the failure domain, who pass on what is news to them. An entry that is not
    told that its own list still holds polls as well: so dead and cut-off pollers
    are replaced, and a list that missed a change is mended.

    :param sequoiagap.platform.PlatformClient client: the platform.
    :param takers_by_role: functions that take the hosts of a role.
    :type takers_by_role: dict[str, collections.abc.Callable]
    :param sequoiagap.members.HostView view: holds the list.
    :param sequoiagap.config.WatchSchedule duty: decides when to poll.
    :param find_rank: function that returns the place of this entry in its
        failure domain.
    :param tell: coroutine function that sends a message to the peers of the
        failure domain.

    :ivar bool polling_: whether polling is this entry's duty now.
    """

    def __init__(self, client, takers_by_role, view, duty, find_rank, tell):
        self.client = client
        self.takers_by_role = takers_by_role
        self.view = view
        self.duty = duty
        self.find_rank = find_rank
        self.tell = tell
        self.polling_ = True
        self._is_reachable = True
        self._told_at = 0.0

    async def run(self):
        """Poll at this entry's turns until cancelled, through outages."""
        while True:
            wait_s = self._wait_s()
            self.polling_ = wait_s == 0.0
            if wait_s > 0:
                await asyncio.sleep(min(wait_s, IDLE_CHECK_S))
                continue
            await self._poll()

    async def on_change(self, connection, item):
        """Take what a peer tells of the list, and pass on what is news.

        :param sequoiagap.wire.Connection connection: the peer.
        :param sequoiagap.members.MemberListChange item: what it tells.
        """
        if connection.peer.failure_domain != connection.own.failure_domain:
            return
        now = time.monotonic()
        is_change = item.base != item.digest and self.view.apply(item)
        if not self.view.has_list_ or item.digest != self.view.digest:
            return
        self.duty.record_peer_age(max(item.age_ms, 0) / 1000, now)
        if is_change or self.duty.confirmed_at_ - self._told_at > NEWS_STEP_S:
            self._hand_on()
            await self._tell(item)

    def age_ms(self):
        """Return how long ago the platform confirmed the list, in milliseconds.

        :rtype: int
        """
        return self.duty.age_ms(time.monotonic())

    def _wait_s(self):
        if not self.view.has_list_ and self._is_reachable:
            return 0.0
        return self.duty.delay_s(self.find_rank(), time.monotonic())

    async def _poll(self):
        try:
            hosts = await self.client.list_hosts()
        except base.PlatformError as error:
            self.duty.record_failure(time.monotonic())
            self._note_reachable(False, error.message)
            return
        self.duty.record_answer(time.monotonic())
        self._note_reachable(True)
        changes = self.view.replace(hosts)
        self._hand_on()
        for change in changes or [self._unchanged()]:
            await self._tell(change)
        await asyncio.sleep(LIST_INTERVAL_S)

    def _unchanged(self):
        digest = self.view.digest
        return members.MemberListChange(digest, digest, 0)

    async def _tell(self, item):
        self._told_at = self.duty.confirmed_at_
        await self.tell(dataclasses.replace(item, age_ms=self.age_ms()))

    def _hand_on(self):
        for role, take in self.takers_by_role.items():
            take([host for host in self.view.by_id.values() if host.role == role])

    def _note_reachable(self, is_reachable, error=""):
        if self._is_reachable and not is_reachable:
            _log.emit(base.Event.PLATFORM_UNREACHABLE, error=error)
        if is_reachable and not self._is_reachable:
            _log.emit(base.Event.PLATFORM_REACHABLE)
        self._is_reachable = is_reachable


def make_list(client, links, mesh, find_rank):
    """Return the host list of an entry, joined to its peers.

    :param sequoiagap.platform.PlatformClient client: the platform.
    :param AgentLinks links: takes the agents.
    :param PeerMesh mesh: takes the entries, and carries changes.
    :param find_rank: function that returns the place of this entry in its
        failure domain.
    :rtype: HostList
    """
    host_list = HostList(
        client,
        {"agent": links.apply_list, "entry": mesh.apply_list},
        members.HostView(),
        config.WatchSchedule(time.monotonic()),
        find_rank,
        lambda item: mesh.broadcast(item, within_domain=True),
    )
    mesh.handlers_.add(members.MemberListChange, host_list.on_change)
    return host_list
