"""Relays in front of the processes of a fleet, for network partitions."""

from sequoiagap.standins import _relay


class Relays:
    """Keeps a relay in front of each process, and one from it to the platform.

    :ivar dict peer_by_name: relay in front of a process, by its name.
    :ivar dict platform_by_name: relay to the platform, by name of the caller.
    """

    def __init__(self):
        self.peer_by_name = {}
        self.platform_by_name = {}

    async def platform_port(self, name, port):
        """Return the relay port through which a process reaches the platform.

        :param str name: name of the process that connects.
        :param int port: port of the platform itself.
        :rtype: int
        """
        return await _get_relay_port(self.platform_by_name, name, port, False)

    async def peer_port(self, name, port):
        """Return the relay port through which other processes reach a process.

        :param str name: name of the process; its relay port is kept over restarts.
        :param int port: port that it currently listens on.
        :rtype: int
        """
        return await _get_relay_port(self.peer_by_name, name, port, True)

    def cut_platform(self, names, mode=_relay.LinkMode.CUT):
        """Partition processes from the platform.

        :param list[str] names: names of the processes.
        :param LinkMode mode: mode of their connections.
        """
        for name in names:
            self.platform_by_name[name].set_mode(mode)

    def cut_between(self, first, second, mode=_relay.LinkMode.CUT):
        """Partition two sets of processes from each other, in both directions.

        :param list[str] first: names of the first set.
        :param list[str] second: names of the second set.
        :param LinkMode mode: mode of the connections.
        """
        for targets, sources in ((first, second), (second, first)):
            for target in targets:
                for source in sources:
                    self.peer_by_name[target].set_mode(mode, source)

    def heal(self):
        """Forward all connections again."""
        for relay in self._list_relays():
            relay.heal()

    async def close(self):
        """Close every relay."""
        for relay in self._list_relays():
            await relay.close()

    def _list_relays(self):
        return [*self.peer_by_name.values(), *self.platform_by_name.values()]


async def _get_relay_port(relay_by_name, name, port, framed):
    if name not in relay_by_name:
        relay_by_name[name] = _relay.Relay(port, framed)
        await relay_by_name[name].start()
    relay_by_name[name].target_port = port
    return relay_by_name[name].port_
