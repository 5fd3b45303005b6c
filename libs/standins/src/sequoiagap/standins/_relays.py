"""Relays before every process of a fleet, so that its links can be cut."""

from sequoiagap.standins import _relay


class Relays:
    """One relay before each process, and one between it and the platform.

    :ivar dict peer_by_name: relay of the connections to a process, by its name.
    :ivar dict platform_by_name: relay to the platform, by the calling process.
    """

    def __init__(self):
        self.peer_by_name = {}
        self.platform_by_name = {}

    async def platform_port(self, name, port):
        """Return the port at which a process finds the platform.

        :param str name: the calling process.
        :param int port: port of the platform itself.
        :rtype: int
        """
        return await _port(self.platform_by_name, name, port, False)

    async def peer_port(self, name, port):
        """Return the port at which other processes find a process.

        :param str name: the process; its port here stays when it is replaced.
        :param int port: port that it listens on now.
        :rtype: int
        """
        return await _port(self.peer_by_name, name, port, True)

    def cut_platform(self, names, mode=_relay.LinkMode.CUT):
        """Cut processes off from the platform.

        :param list[str] names: the processes.
        :param LinkMode mode: how to cut.
        """
        for name in names:
            self.platform_by_name[name].set_mode(mode)

    def cut_between(self, some, others, mode=_relay.LinkMode.CUT):
        """Cut the links between two sets of processes, in both directions.

        :param list[str] some: names of the first set.
        :param list[str] others: names of the second set.
        :param LinkMode mode: how to cut.
        """
        for targets, sources in ((some, others), (others, some)):
            for target in targets:
                for source in sources:
                    self.peer_by_name[target].set_mode(mode, source)

    def heal(self):
        """Let every link pass again."""
        for relay in self._all():
            relay.heal()

    async def close(self):
        """Close every relay."""
        for relay in self._all():
            await relay.close()

    def _all(self):
        return [*self.peer_by_name.values(), *self.platform_by_name.values()]


async def _port(relay_by_name, name, port, framed):
    if name not in relay_by_name:
        relay_by_name[name] = _relay.Relay(port, framed)
        await relay_by_name[name].start()
    relay_by_name[name].target_port = port
    return relay_by_name[name].port_
