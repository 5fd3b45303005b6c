"""Membership directory: listed by the platform, confirmed by connections.

The platform's host list is eventually consistent. It proposes members; whether a
member is alive, and which incarnation of it runs, is learned from its connection.
"""

import dataclasses

from sequoiagap import platform

MAX_LIST_LAG_S = 10.0  # until the list shows the current incarnation
UNLISTED_GRACE_S = 10.0  # before an unlisted, lost member is removed
ANNOUNCED_GRACE_S = 2.0  # before a listed address replaces a dead announced one
NO_INCARNATION = ""  # incarnation of a member that has not connected yet


@dataclasses.dataclass
class Member:
    """State of a process of the deployment and of its current incarnation.

    :param sequoiagap.platform.HostEntry host: its address, role and failure domain.
    :param bool listed: whether the latest list of the platform contains it.
    :param bool alive: whether its connection is open.
    :param str incarnation: incarnation of its latest connection.
    :param float seen_at: time of the first connection of that incarnation,
        monotonic seconds.
    :param float alive_at: time when it was last known to be alive, monotonic
        seconds.
    :param str left_incarnation: incarnation that announced its own shutdown, or
        ``None``.
    :param str listed_leaving: incarnation that the list marks as leaving, or
        ``None``.
    :param tuple listed_address: latest address and port in the list.
    """

    host: platform.HostEntry
    listed: bool = True
    alive: bool = False
    incarnation: str = NO_INCARNATION
    seen_at: float = 0.0
    alive_at: float = 0.0
    left_incarnation: str | None = None
    listed_leaving: str | None = None
    listed_address: tuple = ()

    @property
    def leaving(self):
        """Whether the current incarnation receives no new work."""
        return self.incarnation in (self.left_incarnation, self.listed_leaving)

    def mark_alive(self, incarnation, now):
        """Record an open connection.

        :param str incarnation: incarnation that the process sent in its handshake.
        :param float now: monotonic time in seconds.
        """
        if incarnation != self.incarnation:
            if (
                self.incarnation == NO_INCARNATION
                and self.listed_leaving == NO_INCARNATION
            ):
                self.listed_leaving = incarnation
            self.incarnation = incarnation
            self.seen_at = now
        self.alive = True
        self.alive_at = now

    def mark_lost(self, now):
        """Record the loss of the connection.

        :param float now: monotonic time in seconds.
        """
        self.alive = False
        self.alive_at = now

    def mark_leaving(self):
        """Record that the process announced its own shutdown."""
        self.left_incarnation = self.incarnation

    def update_from_list(self, host, now):
        """Apply the entry of the platform's list for this process.

        The list lags behind restarts. "leaving" applies to the incarnation that
        was current when it first appeared; it applies to a later incarnation
        only if the list still shows it after ``MAX_LIST_LAG_S``.

        :param sequoiagap.platform.HostEntry host: entry of the list.
        :param float now: monotonic time in seconds.
        """
        self.listed = True
        if host.state != "leaving":
            self.listed_leaving = None
        elif self.listed_leaving is None or now - self.seen_at > MAX_LIST_LAG_S:
            self.listed_leaving = self.incarnation


class Directory:
    """Holds members by node id.

    :ivar dict by_id: :class:`Member` by node id.

    >>> directory = Directory()
    >>> host = platform.HostEntry("e1", "agent", "127.0.0.1", 1, "pnw-a")
    >>> [m.host.host_id for m in directory.apply_list([host], now=0.0)]
    ['e1']
    """

    def __init__(self):
        self.by_id = {}

    def apply_list(self, hosts, now):
        """Apply a list of the platform; unlisted members stay while they are alive.

        :param list[sequoiagap.platform.HostEntry] hosts: the complete list.
        :param float now: monotonic time in seconds.
        :returns: members that are new or have moved to another address.
        :rtype: list[Member]
        """
        added = []
        for host in hosts:
            member = self.by_id.get(host.host_id)
            if member is None or self._has_moved(member, host, now):
                member = self._add(host, now)
                added.append(member)
            member.listed_address = (host.address, host.port)
            member.update_from_list(host, now)
        listed_ids = {host.host_id for host in hosts}
        for member_id, member in self.by_id.items():
            member.listed = member_id in listed_ids
        return added

    def add_reported(self, hosts, now):
        """Add hosts reported by other processes, whether the list contains them or not.

        :param list[sequoiagap.platform.HostEntry] hosts: the reported hosts.
        :param float now: monotonic time in seconds.
        :returns: members that are new or have moved to another address.
        :rtype: list[Member]
        """
        added = []
        for host in hosts:
            known = self.by_id.get(host.host_id)
            if known is not None and (
                known.alive or _member_address(known) == _host_address(host)
            ):
                continue
            member = self._add(host, now)
            member.listed = known is not None and known.listed
            member.listed_address = () if known is None else known.listed_address
            added.append(member)
        return added

    def remove_stale(self, now):
        """Remove members that are unlisted and were last alive too long ago.

        The limit is ``UNLISTED_GRACE_S``.

        :param float now: monotonic time in seconds.
        :returns: ids of the removed members.
        :rtype: list[str]
        """
        stale = [
            member_id
            for member_id, member in self.by_id.items()
            if not member.listed
            and not member.alive
            and now - member.alive_at > UNLISTED_GRACE_S
        ]
        for member_id in stale:
            del self.by_id[member_id]
        return stale

    def _add(self, host, now):
        member = Member(host, alive_at=now)
        self.by_id[host.host_id] = member
        return member

    def _has_moved(self, member, host, now):
        """Return whether the list shows a new address rather than an outdated one.

        An address that the process announced itself takes precedence over an
        unchanged entry of the list, unless the process has not been alive at it
        for ``ANNOUNCED_GRACE_S``.
        """
        if _member_address(member) == _host_address(host):
            return False
        if member.listed_address != _host_address(host):
            return True
        return not member.alive and now - member.alive_at > ANNOUNCED_GRACE_S


def _host_address(host):
    return (host.address, host.port)


def _member_address(member):
    return _host_address(member.host)
