"""Expert maps: the expert in each slot of each rank, layer by layer."""

import array
import dataclasses
import hashlib

from sequoiagap import base

DIGEST_CHARACTERS = 16


class ExpertMapError(base.SequoiagapError):
    """An expert map is invalid for the shape of its group."""


@dataclasses.dataclass(frozen=True)
class MapShape:
    """Dimensions of the expert maps of a group.

    :param int layers: number of layers with experts.
    :param int ranks: number of ranks in the group.
    :param int experts: number of experts in a layer.
    :param int slots: experts that a rank holds in a layer, including replicas.
    :raises ValueError: if the slots cannot hold every expert once, or if a rank would
        have to hold an expert twice.
    """

    layers: int
    ranks: int
    experts: int
    slots: int

    def __post_init__(self):
        for field in dataclasses.fields(self):
            base.check_positive(field.name, getattr(self, field.name))
        if not self.experts <= self.ranks * self.slots:
            raise ValueError(f"{self} has too few slots for its experts")
        if self.slots > self.experts:
            raise ValueError(f"{self} has more slots in a rank than experts")

    @property
    def spare_slots(self):
        """Number of slots of a layer beyond one per expert."""
        return self.ranks * self.slots - self.experts


@dataclasses.dataclass(frozen=True)
class ExpertMap:
    """Placement of experts in the slots of a group's ranks.

    :param MapShape shape: dimensions of the map.
    :param tuple rows: tuple of expert ids for each layer, rank by rank, with ``slots``
        ids per rank.
    :raises ExpertMapError: if an expert is missing, a rank holds an expert twice, or
        the dimensions are wrong.

    >>> shape = MapShape(layers=1, ranks=2, experts=3, slots=2)
    >>> placement = ExpertMap(shape, ((0, 1, 2, 0),))
    >>> placement.rank_experts(0, 1)
    (2, 0)
    """

    shape: MapShape
    rows: tuple

    def __post_init__(self):
        if len(self.rows) != self.shape.layers:
            raise _map_error(
                f"map has {len(self.rows)} layers, not {self.shape.layers}"
            )
        for layer, row in enumerate(self.rows):
            _check_row(self.shape, layer, row)

    @property
    def digest(self):
        """Truncated SHA-256 digest of the shape and the content."""
        hashed = hashlib.sha256(repr(self.shape).encode() + self.to_bytes())
        return hashed.hexdigest()[:DIGEST_CHARACTERS]

    def rank_experts(self, layer, rank):
        """Return the experts that a rank holds in a layer.

        :param int layer: the layer.
        :param int rank: the rank.
        :rtype: tuple[int, ...]
        """
        slots = self.shape.slots
        return self.rows[layer][rank * slots : (rank + 1) * slots]

    def to_bytes(self):
        """Return the content as 16-bit little-endian expert ids.

        :rtype: bytes
        """
        ids = array.array("H", (expert for row in self.rows for expert in row))
        return ids.tobytes()

    @classmethod
    def from_bytes(cls, shape, content):
        """Return the map that a byte string encodes.

        :param MapShape shape: dimensions of the map.
        :param bytes content: result of :meth:`to_bytes`.
        :rtype: ExpertMap
        :raises ExpertMapError: if the content is not a valid map of that shape.
        """
        width = shape.ranks * shape.slots
        if len(content) != 2 * width * shape.layers:
            raise _map_error(f"map content has {len(content)} bytes")
        ids = array.array("H")
        ids.frombytes(content)
        starts = range(0, len(ids), width)
        return cls(shape, tuple(tuple(ids[i : i + width]) for i in starts))


@dataclasses.dataclass(frozen=True)
class Move:
    """The load of one expert by a rank.

    :param int layer: layer of the expert.
    :param int rank: rank that loads the expert.
    :param int expert: id of the expert.
    """

    layer: int
    rank: int
    expert: int


def initial_map(shape):
    """Return a map that assigns experts to the ranks in round-robin order.

    Spare slots are filled by starting over with the first expert.

    :param MapShape shape: dimensions of the map.
    :rtype: ExpertMap

    >>> initial_map(MapShape(1, 2, 3, 2)).rows
    ((0, 2, 1, 0),)
    """
    row = []
    for rank in range(shape.ranks):
        for slot in range(shape.slots):
            row.append((slot * shape.ranks + rank) % shape.experts)
    repaired = _remove_duplicates(shape, row)
    return ExpertMap(shape, (tuple(repaired),) * shape.layers)


def moves_between(old, new):
    """Return the experts that the ranks have to load to change the map.

    :param ExpertMap old: map in use.
    :param ExpertMap new: map to change to.
    :rtype: list[Move]
    """
    moves = []
    for layer, (old_row, new_row) in enumerate(zip(old.rows, new.rows, strict=True)):
        if old_row == new_row:
            continue
        for rank in range(new.shape.ranks):
            old_experts = set(old.rank_experts(layer, rank))
            new_experts = new.rank_experts(layer, rank)
            moves += [Move(layer, rank, e) for e in new_experts if e not in old_experts]
    return moves


def _remove_duplicates(shape, row):
    """Replace duplicate experts on a rank by experts that it does not hold."""
    for rank in range(shape.ranks):
        start = rank * shape.slots
        held = set()
        for index in range(start, start + shape.slots):
            while row[index] in held:
                row[index] = (row[index] + 1) % shape.experts
            held.add(row[index])
    return row


def _check_row(shape, layer, row):
    if len(row) != shape.ranks * shape.slots:
        raise _map_error(f"layer {layer} has {len(row)} slots")
    missing = set(range(shape.experts)) - set(row)
    if missing:
        raise _map_error(f"layer {layer} lacks expert {min(missing)}")
    if max(row) >= shape.experts:
        raise _map_error(f"layer {layer} names expert {max(row)}, which does not exist")
    for start in range(0, len(row), shape.slots):
        held = row[start : start + shape.slots]
        if len(set(held)) != shape.slots:
            rank = start // shape.slots
            raise _map_error(f"layer {layer} puts an expert twice on rank {rank}")


def _map_error(message):
    return ExpertMapError(message, "Plan the map again with the shape of the group")
