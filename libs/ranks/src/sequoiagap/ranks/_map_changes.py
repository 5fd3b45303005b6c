"""Encoding of expert maps as differences to maps that the receiver already has.

A map of a large group takes kilobytes, and a leader sends each new one to every rank
over its own link. Most of a map stays the same, so only the changes are sent, relative
to a map that the receiver is known to have. Maps are identified by a digest of their
content: versions are reused for other maps once a group has re-formed.
"""

import collections
import hashlib
import zlib

import msgpack

DIGEST_BYTES = 8
MAX_MAPS = 4
COMPRESSION = 1


def digest(layers):
    """Return the digest of a map.

    :param layers: expert ids of each rank, for each layer.
    :rtype: bytes
    """
    rows = [[sorted(row) for row in layer] for layer in layers]
    return hashlib.blake2b(msgpack.packb(rows), digest_size=DIGEST_BYTES).digest()


def pack_changes(base, layers):
    """Return the changes from one map to another.

    Encoded as a sequence of numbers: layers, ranks, and for each changed row its
    distance to the previous one, the added experts preceded by their count, and the
    dropped experts likewise.

    :param base: map that the changes apply to; ``None`` for one without experts.
    :param layers: resulting map.
    :rtype: bytes
    """
    size = len(layers[0])
    numbers = [len(layers), size]
    last = 0
    for number, layer in enumerate(layers):
        for rank, row in enumerate(layer):
            old = () if base is None else base[number][rank]
            added, dropped = set(row).difference(old), set(old).difference(row)
            if not added and not dropped:
                continue
            place = number * size + rank
            numbers.append(place - last)
            last = place
            for changed in (added, dropped):
                numbers.append(len(changed))
                numbers.extend(sorted(changed))
    return zlib.compress(msgpack.packb(numbers), COMPRESSION)


def apply_changes(base, changes):
    """Return the map that results from applying changes.

    :param base: map that the changes were packed against; ``None`` for one without
        experts.
    :param bytes changes: the value returned by :func:`pack_changes`.
    :rtype: tuple

    >>> old, new = (((0, 1), (2,)),), (((0, 1), (2, 3)),)
    >>> apply_changes(old, pack_changes(old, new))
    (((0, 1), (2, 3)),)
    """
    numbers = iter(msgpack.unpackb(zlib.decompress(changes)))
    layers, size = next(numbers), next(numbers)
    rows = [set() for _ in range(layers * size)]
    if base is not None:
        rows = [set(row) for layer in base for row in layer]
    place = 0
    for distance in numbers:
        place += distance
        rows[place].update(_read_counted(numbers))
        rows[place].difference_update(_read_counted(numbers))
    ordered = [tuple(sorted(row)) for row in rows]
    return tuple(tuple(ordered[x * size :][:size]) for x in range(layers))


def _read_counted(numbers):
    return [next(numbers) for _ in range(next(numbers))]


class MapCache:
    """Most recent maps known to a process, by digest."""

    def __init__(self):
        self._layers_by_digest = collections.OrderedDict()

    def add(self, layers):
        """Store a map and return its digest.

        :param tuple layers: the map.
        :rtype: bytes
        """
        map_digest = digest(layers)
        self._layers_by_digest[map_digest] = layers
        self._layers_by_digest.move_to_end(map_digest)
        while len(self._layers_by_digest) > MAX_MAPS:
            self._layers_by_digest.popitem(last=False)
        return map_digest

    def get(self, map_digest):
        """Return the map with a digest, or ``None``."""
        return self._layers_by_digest.get(map_digest)

    def build(self, base, changes, map_digest):
        """Return a map built from its changes, and store it.

        :param bytes base: digest of the map that the changes apply to; empty for one
            without experts.
        :param bytes changes: the value returned by :func:`pack_changes`.
        :param bytes map_digest: digest of the resulting map.
        :returns: the map; ``None`` if the base is not known here or the result does not
            match its digest.
        :rtype: tuple | None
        """
        base_layers = self._layers_by_digest.get(base)
        if base and base_layers is None:
            return None
        built = apply_changes(base_layers, changes)
        return built if self.add(built) == map_digest else None


class MapSender:
    """Encodes each map for a rank against the best base that the rank has."""

    def __init__(self):
        self._maps = MapCache()
        self._digests_by_rank = collections.defaultdict(list)
        self._target = None
        self._target_digest = b""
        self._changes_by_base = {}

    def has_map(self, rank, layers):
        """Return whether a rank's agent has a map.

        :param int rank: the rank.
        :param tuple layers: the map.
        :rtype: bool
        """
        self._select_target(layers)
        return self._target_digest in self._digests_by_rank[rank]

    def encode(self, rank, layers):
        """Return the best base for a rank and the changes relative to it.

        :param int rank: the rank.
        :param tuple layers: the map to send.
        :returns: digest of the base, the changes, and digest of the map.
        :rtype: tuple[bytes, bytes, bytes]
        """
        self._select_target(layers)
        digests = [b"", *self._digests_by_rank[rank]]
        found = {map_digest: self._changes(map_digest) for map_digest in digests}
        best = min(digests, key=lambda map_digest: len(found[map_digest]))
        return best, found[best], self._target_digest

    def record_received(self, rank, layers):
        """Record that a rank's agent has a map.

        :param int rank: the rank.
        :param tuple layers: the map.
        """
        self._select_target(layers)
        base_layers = self._digests_by_rank[rank]
        if self._target_digest in base_layers:
            base_layers.remove(self._target_digest)
        base_layers.append(self._target_digest)
        del base_layers[:-MAX_MAPS]

    def forget(self, rank):
        """Record that a rank's agent has no map, as it has restarted.

        :param int rank: the rank.
        """
        self._digests_by_rank.pop(rank, None)

    def _select_target(self, layers):
        """Select the map to encode, which usually goes to many ranks in a row."""
        if layers is self._target:
            return
        self._target = layers
        self._target_digest = self._maps.add(layers)
        self._changes_by_base = {b"": pack_changes(None, layers)}

    def _changes(self, map_digest):
        changes = self._changes_by_base.get(map_digest)
        if changes is None:
            base = self._maps.get(map_digest)
            changes = self._changes_by_base[b""]
            if base is not None:
                changes = pack_changes(base, self._target)
            self._changes_by_base[map_digest] = changes
        return changes
