"""Registry of a group's expert maps, by version, kept by its leader."""

import collections

MAX_MAPS = 4


class MapRegistry:
    """Assembles the map in use from the ranks' experts, and keeps maps sent since.

    A version is never used for two maps in an epoch, so a rank has to report only once
    what it holds.

    :param routes.EngineProfile profile: profile of the group's engines.
    :param int size: number of ranks in the group.
    """

    def __init__(self, profile, size):
        self.profile = profile
        self.size = size
        self._layers_by_version = collections.OrderedDict()
        self._held_by_rank = {}
        self._requested_version = None
        self._is_complete = False

    @property
    def missing_ranks_(self):
        """Ranks that have not yet reported what they hold."""
        if self._is_complete:
            return set()
        versions = {r: version for r, (version, _) in self._held_by_rank.items()}
        wanted = self._requested_version
        return {
            rank
            for rank in range(self.size)
            if rank not in versions or wanted not in (None, versions[rank])
        }

    def find(self, version):
        """Return the map of a version that all ranks use; ``None`` if not known yet.

        :param int version: the version.
        :rtype: tuple | None
        """
        layers = self._layers_by_version.get(version) or self._assemble(version)
        self._is_complete = layers is not None
        self._requested_version = version
        return layers

    def add(self, version, layers):
        """Keep a map that was sent to the ranks.

        :param int version: version of the map.
        :param tuple layers: the map.
        """
        self._layers_by_version[version] = layers
        while len(self._layers_by_version) > MAX_MAPS:
            self._layers_by_version.popitem(last=False)

    def record_experts(self, rank, version, experts):
        """Record the experts that a rank reports to hold.

        :param int rank: the rank.
        :param int version: version of the map that the experts belong to.
        :param list experts: expert ids by layer.
        """
        self._held_by_rank[rank] = (version, experts)

    def clear(self):
        """Discard all maps, as the group has re-formed."""
        self._layers_by_version.clear()
        self._held_by_rank = {}
        self._requested_version = None
        self._is_complete = False

    def _assemble(self, version):
        held = [self._held_by_rank.get(rank) for rank in range(self.size)]
        if any(item is None or item[0] != version for item in held):
            return None
        layers = tuple(
            tuple(tuple(experts[layer]) for _, experts in held)
            for layer in range(self.profile.layers)
        )
        self.add(version, layers)
        return layers
