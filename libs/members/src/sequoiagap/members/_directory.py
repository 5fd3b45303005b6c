"""Members proposed by the platform's list and confirmed by heartbeats."""

import dataclasses

from sequoiagap import platform


@dataclasses.dataclass
class Member:
    """A process of the deployment.

    :param sequoiagap.platform.HostEntry host: where it is, as listed.
    :param bool listed: whether the last list still shows it.
    :param bool alive: whether its connection is open.
    :param bool leaving: whether it or the list says that it leaves.
    :param str incarnation: incarnation of its last connection.
    """

    host: platform.HostEntry
    listed: bool = True
    alive: bool = False
    leaving: bool = False
    incarnation: str = ""


class Directory:
    """Members by id.

    :ivar dict by_id: member by node id.

    >>> directory = Directory()
    >>> host = platform.HostEntry("e1", "agent", "127.0.0.1", 1, "pnw-a")
    >>> [m.host.host_id for m in directory.apply_list([host])]
    ['e1']
    """

    def __init__(self):
        self.by_id = {}

    def apply_list(self, hosts):
        """Take a list of the platform; members that it lacks stay while alive.

        :param list[sequoiagap.platform.HostEntry] hosts: the list.
        :returns: members that are new or have moved to another address.
        :rtype: list[Member]
        """
        fresh = [member for member in map(self._apply_host, hosts) if member]
        listed_ids = {host.host_id for host in hosts}
        for member_id in list(self.by_id):
            member = self.by_id[member_id]
            member.listed = member_id in listed_ids
            if not member.listed and not member.alive:
                del self.by_id[member_id]
        return fresh

    def _apply_host(self, host):
        known = self.by_id.get(host.host_id)
        if known is None or known.host.port != host.port:
            self.by_id[host.host_id] = Member(host, leaving=host.state == "leaving")
            return self.by_id[host.host_id]
        known.host = host
        known.leaving = known.leaving or host.state == "leaving"
        return None
