"""Members proposed by the platform's list and confirmed by heartbeats."""

import dataclasses

from sequoiagap import platform

MAX_LIST_LAG_S = 10.0
UNLISTED_GRACE_S = 10.0
ANNOUNCED_GRACE_S = 2.0
UNSEEN = ""


@dataclasses.dataclass
class Member:
    """A process of the deployment.

    :param sequoiagap.platform.HostEntry host: where it is.
    :param bool listed: whether the last list still shows it.
    :param bool alive: whether its connection is open.
    :param str incarnation: incarnation of its last connection.
    :param float seen_at: when that incarnation was first met, monotonic seconds.
    :param float alive_at: when it was last known to be alive, monotonic seconds.
    :param str left_incarnation: incarnation that said itself that it leaves.
    :param str listed_leaving: incarnation that the list shows as leaving, or
        ``None``.
    :param tuple listed_address: address and port that the list showed last.
    """

    host: platform.HostEntry
    listed: bool = True
    alive: bool = False
    incarnation: str = UNSEEN
    seen_at: float = 0.0
    alive_at: float = 0.0
    left_incarnation: str | None = None
    listed_leaving: str | None = None
    listed_address: tuple = ()

    @property
    def leaving(self):
        """Whether the incarnation in question gets no new work."""
        return self.incarnation in (self.left_incarnation, self.listed_leaving)

    def mark_alive(self, incarnation, now):
        """Note an open connection.

        :param str incarnation: incarnation that the process named.
        :param float now: monotonic time in seconds.
        """
        if incarnation != self.incarnation:
            if self.incarnation == UNSEEN and self.listed_leaving == UNSEEN:
                self.listed_leaving = incarnation
            self.incarnation = incarnation
            self.seen_at = now
        self.alive = True
        self.alive_at = now

    def mark_lost(self, now):
        """Note that the connection is lost.

        :param float now: monotonic time in seconds.
        """
        self.alive = False
        self.alive_at = now

    def mark_leaving(self):
        """Note that the process itself said that it leaves."""
        self.left_incarnation = self.incarnation

    def follow_list(self, host, now):
        """Take what the list shows of the process.

        The list lags: "leaving" counts for the incarnation that it was first
        shown for, and for a later one only when the list keeps to it.

        :param sequoiagap.platform.HostEntry host: its line in the list.
        :param float now: monotonic time in seconds.
        """
        self.listed = True
        if host.state != "leaving":
            self.listed_leaving = None
        elif self.listed_leaving is None or now - self.seen_at > MAX_LIST_LAG_S:
            self.listed_leaving = self.incarnation


class Directory:
    """Members by id.

    :ivar dict by_id: member by node id.

    >>> directory = Directory()
    >>> host = platform.HostEntry("e1", "agent", "127.0.0.1", 1, "pnw-a")
    >>> [m.host.host_id for m in directory.apply_list([host], now=0.0)]
    ['e1']
    """

    def __init__(self):
        self.by_id = {}

    def apply_list(self, hosts, now):
        """Take a list of the platform; members that it lacks stay while alive.

        :param list[sequoiagap.platform.HostEntry] hosts: the list.
        :param float now: monotonic time in seconds.
        :returns: members that are new or have moved to another address.
        :rtype: list[Member]
        """
        fresh = []
        for host in hosts:
            member = self.by_id.get(host.host_id)
            if member is None or self._has_moved(member, host, now):
                member = self._add(host, now)
                fresh.append(member)
            member.listed_address = (host.address, host.port)
            member.follow_list(host, now)
        listed_ids = {host.host_id for host in hosts}
        for member_id, member in self.by_id.items():
            member.listed = member_id in listed_ids
        return fresh

    def add_reported(self, hosts, now):
        """Take hosts that other processes know; the list need not show them.

        :param list[sequoiagap.platform.HostEntry] hosts: the hosts.
        :param float now: monotonic time in seconds.
        :returns: members that are new or have moved to another address.
        :rtype: list[Member]
        """
        fresh = []
        for host in hosts:
            known = self.by_id.get(host.host_id)
            if known is not None and (known.alive or _address(known) == _at(host)):
                continue
            member = self._add(host, now)
            member.listed = known is not None and known.listed
            member.listed_address = () if known is None else known.listed_address
            fresh.append(member)
        return fresh

    def remove_stale(self, now):
        """Forget members that are neither listed nor alive for a while.

        :param float now: monotonic time in seconds.
        :returns: ids of the members dropped.
        :rtype: list[str]
        """
        gone = [
            member_id
            for member_id, member in self.by_id.items()
            if not member.listed
            and not member.alive
            and now - member.alive_at > UNLISTED_GRACE_S
        ]
        for member_id in gone:
            del self.by_id[member_id]
        return gone

    def _add(self, host, now):
        member = Member(host, alive_at=now)
        self.by_id[host.host_id] = member
        return member

    def _has_moved(self, member, host, now):
        """Return whether the list shows a new address, not merely an old one.

        An address that a process announced itself counts for more than an
        unchanged line of the list, unless nobody answers there.
        """
        if _address(member) == _at(host):
            return False
        if member.listed_address != _at(host):
            return True
        return not member.alive and now - member.alive_at > ANNOUNCED_GRACE_S


def _at(host):
    return (host.address, host.port)


def _address(member):
    return _at(member.host)
