"""Replica of the platform's host list, polled by few entries per failure domain."""

import asyncio
import dataclasses
import time

from sequoiagap import base, config, members

LIST_INTERVAL_S = 1.0
IDLE_CHECK_S = 0.25
MIN_FORWARD_INTERVAL_S = 0.5

_log = base.get_logger("host-list")


class HostList:
    """Keeps a copy of the platform's host list, which may lag, and distributes it.

    The first two entries of a failure domain in rank poll the list and send changes
    to their peers in the failure domain, which forward those that are new to them.
    An entry that is not told in time that its own list is current polls as well.
    That replaces failed and partitioned pollers, and corrects a list that missed a
    change.

    :param sequoiagap.platform.PlatformClient client: client of the platform.
    :param handlers_by_role: functions that receive the hosts of a role.
    :type handlers_by_role: dict[str, collections.abc.Callable]
    :param sequoiagap.members.HostView view: holds the list.
    :param sequoiagap.config.WatchSchedule schedule: schedule of the polls.
    :param find_rank: function that returns the rank of this entry in its failure
        domain, from 0.
    :param broadcast: coroutine function that sends a message to the peers of the
        failure domain.

    :ivar bool polling_: whether it is this entry's turn to poll.
    """

    def __init__(self, client, handlers_by_role, view, schedule, find_rank, broadcast):
        self.client = client
        self.handlers_by_role = handlers_by_role
        self.view = view
        self.schedule = schedule
        self.find_rank = find_rank
        self.broadcast = broadcast
        self.polling_ = True
        self._is_reachable = True
        self._announced_at = 0.0

    async def run(self):
        """Poll whenever it is this entry's turn, until cancelled.

        An outage of the platform does not end the loop.
        """
        while True:
            wait_s = self._wait_s()
            self.polling_ = wait_s == 0.0
            if wait_s > 0:
                await asyncio.sleep(min(wait_s, IDLE_CHECK_S))
                continue
            await self._poll()

    async def on_change(self, connection, item):
        """Apply a change of the list from a peer, and forward it if it is new.

        :param sequoiagap.wire.Connection connection: connection to the peer.
        :param sequoiagap.members.MemberListChange item: the change.
        """
        if connection.peer.failure_domain != connection.own.failure_domain:
            return
        now = time.monotonic()
        is_change = item.base != item.digest and self.view.apply(item)
        if not self.view.has_list_ or item.digest != self.view.digest:
            return
        self.schedule.record_peer_age(max(item.age_ms, 0) / 1000, now)
        if (
            is_change
            or self.schedule.confirmed_at_ - self._announced_at > MIN_FORWARD_INTERVAL_S
        ):
            self._apply()
            await self._announce(item)

    def age_ms(self):
        """Return how long ago the platform confirmed the list, in milliseconds.

        :rtype: int
        """
        return self.schedule.age_ms(time.monotonic())

    def _wait_s(self):
        if not self.view.has_list_ and self._is_reachable:
            return 0.0
        return self.schedule.delay_s(self.find_rank(), time.monotonic())

    async def _poll(self):
        try:
            hosts = await self.client.list_hosts()
        except base.PlatformError as error:
            self.schedule.record_failure(time.monotonic())
            self._record_reachable(False, error.message)
            return
        self.schedule.record_answer(time.monotonic())
        self._record_reachable(True)
        changes = self.view.replace(hosts)
        self._apply()
        for change in changes or [self._unchanged()]:
            await self._announce(change)
        await asyncio.sleep(LIST_INTERVAL_S)

    def _unchanged(self):
        digest = self.view.digest
        return members.MemberListChange(digest, digest, 0)

    async def _announce(self, item):
        self._announced_at = self.schedule.confirmed_at_
        await self.broadcast(dataclasses.replace(item, age_ms=self.age_ms()))

    def _apply(self):
        for role, handle in self.handlers_by_role.items():
            handle([host for host in self.view.by_id.values() if host.role == role])

    def _record_reachable(self, is_reachable, error=""):
        if self._is_reachable and not is_reachable:
            _log.emit(base.Event.PLATFORM_UNREACHABLE, error=error)
        if is_reachable and not self._is_reachable:
            _log.emit(base.Event.PLATFORM_REACHABLE)
        self._is_reachable = is_reachable


def make_host_list(client, links, mesh, find_rank):
    """Create the host list of an entry and connect it to links and peers.

    :param sequoiagap.platform.PlatformClient client: client of the platform.
    :param AgentLinks links: receives the listed agents.
    :param PeerMesh mesh: receives the listed entries, and transports changes.
    :param find_rank: function that returns the rank of this entry in its failure
        domain, from 0.
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
