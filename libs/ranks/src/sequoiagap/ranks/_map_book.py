"""Maps of a group that its leader knows, by version."""

import collections

KEPT_MAPS = 4


class MapBook:
    """Learns the map in use from what each rank holds, and keeps those given since.

    Versions are never used for two maps in an epoch, so a rank need say only once
    what it holds.

    :param routes.EngineProfile terms: terms of the group's engines.
    :param int size: ranks of the group.
    """

    def __init__(self, terms, size):
        self.terms = terms
        self.size = size
        self._layers_by_version = collections.OrderedDict()
        self._held_by_rank = {}
        self._wanted = None
        self._is_known = False

    @property
    def unknown_ranks_(self):
        """Ranks that have yet to say what they hold."""
        if self._is_known:
            return set()
        versions = {r: version for r, (version, _) in self._held_by_rank.items()}
        wanted = self._wanted
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
        found = self._layers_by_version.get(version) or self._put_together(version)
        self._is_known = found is not None
        self._wanted = version
        return found

    def add(self, version, layers):
        """Keep a map that the ranks were given.

        :param int version: its version.
        :param tuple layers: the map.
        """
        self._layers_by_version[version] = layers
        while len(self._layers_by_version) > KEPT_MAPS:
            self._layers_by_version.popitem(last=False)

    def note_experts(self, rank, version, experts):
        """Take what a rank says that it holds.

        :param int rank: the rank.
        :param int version: version of the map that this belongs to.
        :param list experts: ids by layer.
        """
        self._held_by_rank[rank] = (version, experts)

    def forget(self):
        """Forget everything, as the group has formed anew."""
        self._layers_by_version.clear()
        self._held_by_rank = {}
        self._wanted = None
        self._is_known = False

    def _put_together(self, version):
        held = [self._held_by_rank.get(rank) for rank in range(self.size)]
        if any(item is None or item[0] != version for item in held):
            return None
        layers = tuple(
            tuple(tuple(experts[layer]) for _, experts in held)
            for layer in range(self.terms.layers)
        )
        self.add(version, layers)
        return layers
