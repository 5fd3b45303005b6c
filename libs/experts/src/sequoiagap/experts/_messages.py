"""Messages between the agents of a group."""

import dataclasses

from sequoiagap import wire


@dataclasses.dataclass(frozen=True)
class MapRef:
    """Names an expert map and the step from which it holds.

    :param int version: number of the map within its group; 0 is no map.
    :param str digest: digest of its content.
    :param int at_step: first step that uses it.

    >>> MapRef.from_wire(MapRef(2, "d", 40).to_wire()).version
    2
    """

    version: int = 0
    digest: str = ""
    at_step: int = 0

    def to_wire(self):
        """Return the fields as a list for a message.

        :rtype: list
        """
        return [self.version, self.digest, self.at_step]

    @classmethod
    def from_wire(cls, values):
        """Return the reference of a message's list.

        :param list values: what :meth:`to_wire` made.
        :rtype: MapRef
        """
        return cls(int(values[0]), str(values[1]), int(values[2]))


NO_MAP = MapRef()


@wire.message(400)
class Join:
    """A fresh incarnation of a rank asks a peer what it knows.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param str incarnation: its fresh incarnation.
    """

    group: str
    rank: int
    incarnation: str


@wire.message(401)
class Joined:
    """Answer to :class:`Join`: rounds with the old incarnation end here.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param str incarnation: incarnation of the sender.
    :param str joiner: incarnation that asked.
    :param int promised: highest epoch that the sender has promised.
    :param list previous: map before the committed one, see :class:`MapRef`.
    :param list committed: the committed map.
    """

    group: str
    rank: int
    incarnation: str
    joiner: str
    promised: int
    previous: list
    committed: list


@wire.message(402)
class Prepare:
    """A proposer opens a round.

    :param str group: the group.
    :param int rank: rank of the proposer.
    :param int epoch: number of the round.
    :param str membership: digest of the ranks' incarnations that the proposer counts
        on, see :meth:`RankState.membership`.
    """

    group: str
    rank: int
    epoch: int
    membership: str


@wire.message(403)
class Promise:
    """Answer to :class:`Prepare`.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param int epoch: the round that is answered.
    :param bool accepted: whether the round may go on here.
    :param int promised: highest epoch that the sender has promised.
    :param int armed_epoch: round that armed a map here; 0 for none.
    :param list armed: the armed map.
    :param list previous: map before the committed one.
    :param list committed: the committed map.
    :param int step: next step of the sender's engine.
    :param str staged: digest of the map whose weights are staged.
    """

    group: str
    rank: int
    epoch: int
    accepted: bool
    promised: int
    armed_epoch: int
    armed: list
    previous: list
    committed: list
    step: int
    staged: str


@wire.message(404)
class Arm:
    """The proposer asks each rank to hold at a step until it is told.

    :param str group: the group.
    :param int rank: rank of the proposer.
    :param int epoch: the round.
    :param str membership: as in :class:`Prepare`.
    :param list target: the map to arm.
    """

    group: str
    rank: int
    epoch: int
    membership: str
    target: list


@wire.message(405)
class Armed:
    """Answer to :class:`Arm`.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param int epoch: the round that is answered.
    :param bool accepted: whether the map is armed.
    """

    group: str
    rank: int
    epoch: int
    accepted: bool


@wire.message(406)
class Settle:
    """The proposer ends a round.

    :param str group: the group.
    :param int rank: rank of the proposer.
    :param int epoch: the round.
    :param str membership: as in :class:`Prepare`.
    :param bool commit: whether the target is committed, or what is armed dropped.
    :param list target: the committed map.
    :param list previous: the map before it.
    """

    group: str
    rank: int
    epoch: int
    membership: str
    commit: bool
    target: list
    previous: list


@wire.message(407)
class Settled:
    """Answer to :class:`Settle`.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param int epoch: the round that is answered.
    :param bool accepted: whether it was carried out.
    """

    group: str
    rank: int
    epoch: int
    accepted: bool


@wire.message(410)
class Stage:
    """Ask a rank to load the weights of a map in the background.

    :param str group: the group.
    :param str digest: digest of the map.
    :param list shape: layers, ranks, experts and slots.
    :param bytes content: the map.
    """

    group: str
    digest: str
    shape: list
    content: bytes


@wire.message(411)
class Staged:
    """Answer to :class:`Stage`.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param str digest: digest of the map.
    :param bool ready: whether the weights are staged.
    :param str error: why they are not.
    """

    group: str
    rank: int
    digest: str
    ready: bool
    error: str = ""


@wire.message(412)
class MapRequest:
    """Ask a peer for the content of a map.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param str digest: digest of the map.
    """

    group: str
    rank: int
    digest: str


@wire.message(413)
class MapBody:
    """Answer to :class:`MapRequest`; not sent where the map is unknown.

    :param str group: the group.
    :param str digest: digest of the map.
    :param list shape: layers, ranks, experts and slots.
    :param bytes content: the map.
    """

    group: str
    digest: str
    shape: list
    content: bytes


@wire.message(414)
class RankReport:
    """What a rank did so far.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param str start_id: start of the engine that counts.
    :param int step: next step of the engine.
    :param int map_version: map that the counts belong to.
    :param float busy_s: time that the rank has computed.
    :param list counts: tokens of each of its slots, layer after layer, since the
        engine uses this map.
    """

    group: str
    rank: int
    start_id: str
    step: int
    map_version: int
    busy_s: float
    counts: list


@wire.message(415)
class ReportRequest:
    """The leading rank asks a peer for its report, and so shows that it leads.

    :param str group: the group.
    :param int rank: rank of the sender.
    """

    group: str
    rank: int
