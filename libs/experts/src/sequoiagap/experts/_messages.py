"""Wire messages of the map change protocol between the agents of a group."""

import dataclasses

from sequoiagap import wire


@dataclasses.dataclass(frozen=True)
class MapRef:
    """Reference to an expert map and the step at which it takes effect.

    :param int version: version of the map within its group; 0 means no map.
    :param str digest: digest of the map's content.
    :param int at_step: first step that uses the map.

    >>> MapRef.from_wire(MapRef(2, "d", 40).to_wire()).version
    2
    """

    version: int = 0
    digest: str = ""
    at_step: int = 0

    def to_wire(self):
        """Return the fields as a list, as they are sent in a message.

        :rtype: list
        """
        return [self.version, self.digest, self.at_step]

    @classmethod
    def from_wire(cls, values):
        """Return the reference that a message carries.

        :param list values: list made by :meth:`to_wire`.
        :rtype: MapRef
        """
        return cls(int(values[0]), str(values[1]), int(values[2]))


NO_MAP = MapRef()


@wire.message(400)
class Join:
    """Request of a new incarnation of a rank for a peer's protocol state.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param str incarnation: new incarnation of the sender.
    """

    group: str
    rank: int
    incarnation: str


@wire.message(401)
class Joined:
    """Reply to :class:`Join`; the sender refuses rounds with the old incarnation.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param str incarnation: incarnation of the sender.
    :param str joiner: incarnation that sent the request.
    :param int promised: highest epoch that the sender has promised.
    :param list previous: map before the committed one, see :meth:`MapRef.to_wire`.
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
    """Request of a proposer to promise a round; phase 1 of the protocol.

    :param str group: the group.
    :param int rank: rank of the proposer.
    :param int epoch: number of the round.
    :param str membership: digest of the ranks' incarnations on which the round is
        based, see :meth:`RankState.membership`.
    """

    group: str
    rank: int
    epoch: int
    membership: str


@wire.message(403)
class Promise:
    """Reply to :class:`Prepare`.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param int epoch: round that this replies to.
    :param bool accepted: whether the sender promises the round.
    :param int promised: highest epoch that the sender has promised.
    :param int armed_epoch: round that armed a map at the sender; 0 for none.
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
    """Request of the proposer to hold at the target's step until the round ends.

    :param str group: the group.
    :param int rank: rank of the proposer.
    :param int epoch: number of the round.
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
    """Reply to :class:`Arm`.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param int epoch: round that this replies to.
    :param bool accepted: whether the map is armed.
    """

    group: str
    rank: int
    epoch: int
    accepted: bool


@wire.message(406)
class Settle:
    """Decision of the proposer that ends a round.

    :param str group: the group.
    :param int rank: rank of the proposer.
    :param int epoch: number of the round.
    :param str membership: as in :class:`Prepare`.
    :param bool commit: whether the target is committed; otherwise the armed map is
        dropped.
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
    """Reply to :class:`Settle`.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param int epoch: round that this replies to.
    :param bool accepted: whether the sender applied the decision.
    """

    group: str
    rank: int
    epoch: int
    accepted: bool


@wire.message(410)
class Stage:
    """Request to load the weights of a map in the background.

    :param str group: the group.
    :param str digest: digest of the map.
    :param list shape: numbers of layers, ranks, experts and slots.
    :param bytes content: the map, see :meth:`ExpertMap.to_bytes`.
    """

    group: str
    digest: str
    shape: list
    content: bytes


@wire.message(411)
class Staged:
    """Reply to :class:`Stage`.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param str digest: digest of the map.
    :param bool ready: whether the weights are staged.
    :param str error: reason why they are not; empty if they are.
    """

    group: str
    rank: int
    digest: str
    ready: bool
    error: str = ""


@wire.message(412)
class MapRequest:
    """Request for the content of a map.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param str digest: digest of the map.
    """

    group: str
    rank: int
    digest: str


@wire.message(413)
class MapBody:
    """Reply to :class:`MapRequest`; not sent if the peer does not have the map.

    :param str group: the group.
    :param str digest: digest of the map.
    :param list shape: numbers of layers, ranks, experts and slots.
    :param bytes content: the map, see :meth:`ExpertMap.to_bytes`.
    """

    group: str
    digest: str
    shape: list
    content: bytes


@wire.message(414)
class RankReport:
    """Cumulative load counters of a rank.

    :param str group: the group.
    :param int rank: rank of the sender.
    :param str start_id: id of the engine start since which the counters run.
    :param int step: next step of the engine.
    :param int map_version: version of the map that the counts belong to.
    :param float busy_s: total computing time of the rank, in seconds.
    :param list counts: tokens routed to each slot of the rank, layer by layer, since
        the engine began to use this map.
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
    """Request of the leading rank for a report; doubles as the leader's heartbeat.

    :param str group: the group.
    :param int rank: rank of the sender.
    """

    group: str
    rank: int
