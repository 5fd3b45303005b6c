"""Messages between the agents of a rank group.

Message numbers 700 to 799 are reserved for this library.
"""

from sequoiagap import wire

NOT_LEADING = -1


@wire.message(700)
class RankPoll:
    """Request the state of a rank from its agent.

    :param int number: number of the request on this connection.
    :param int leader: rank of the sender; ``NOT_LEADING`` if it is not the leader.
    :param bool wants_counts: whether to include the expert counts.
    :param bool wants_experts: whether to include the experts that the rank holds.
    :param bool may_be_recent: whether a recently read report is accepted instead of a
        new reading.
    """

    number: int
    leader: int
    wants_counts: bool = False
    wants_experts: bool = False
    may_be_recent: bool = False


@wire.message(701)
class RankState:
    """State of a rank; the response of its agent to a poll or an order.

    :param int number: number of the request.
    :param bool is_known: whether the engine answered the agent.
    :param list report: values of the engine's report.
    :param bytes levels: how often experts were chosen, as in
        :class:`_counts.CountsReading`; empty if not requested.
    :param float scale: number of choices that one level stands for.
    :param float span_s: time over which the choices were counted, in seconds.
    :param int map_version: version of the map that ``experts`` belongs to.
    :param list experts: experts that the rank holds, by layer.
    :param str result: an :class:`OrderResult`; empty in response to a poll.
    :param bool lacks_base: whether the agent does not have the map that an order's
        changes apply to.
    :param int leader: rank of the leader that this agent heard from last.
    :param int leader_age_ms: time since then, in milliseconds.
    """

    number: int
    is_known: bool
    report: list
    levels: bytes = b""
    scale: float = 1.0
    span_s: float = 0.0
    map_version: int = -1
    experts: list = ()
    result: str = ""
    lacks_base: bool = False
    leader: int = NOT_LEADING
    leader_age_ms: int = 0


@wire.message(702)
class RankOrderMessage:
    """Order to a rank's engine, which its agent forwards.

    :param int number: number of the request on this connection.
    :param int leader: rank of the sender.
    :param str kind: an :class:`OrderKind`.
    :param int epoch: the only epoch in which the order is valid.
    :param int version: version of the map.
    :param int step: number of the pass.
    :param bytes base: digest of the map that ``changes`` applies to.
    :param bytes changes: changes to that map, as returned by
        :func:`_map_changes.pack_changes`.
    :param bytes name: digest of the map to prepare.
    """

    number: int
    leader: int
    kind: str
    epoch: int
    version: int = 0
    step: int = 0
    base: bytes = b""
    changes: bytes = b""
    name: bytes = b""


@wire.message(703)
class KeeperRequest:
    """Request the keeper's agreement to hold a pass or to arm ranks for a change.

    :param int number: number of the request on this connection.
    :param int leader: rank of the sender.
    :param int epoch: epoch of the group.
    :param int version: version of the new map.
    :param int step: number of the pass to hold.
    :param bool wants_arming: whether to arm ranks; otherwise the request is to hold a
        pass.
    """

    number: int
    leader: int
    epoch: int
    version: int
    step: int
    wants_arming: bool = False


@wire.message(704)
class KeeperAnswer:
    """Response to a request to the keeper, or acknowledgement of a notice.

    :param int number: number of the request.
    :param bool is_agreed: whether the agent agrees.
    """

    number: int
    is_agreed: bool


@wire.message(705)
class ChangeNotice:
    """Notify an agent that a change is in progress or has ended.

    Acknowledged by a :class:`KeeperAnswer`.

    :param int number: number of the request on this connection.
    :param int leader: rank of the leader.
    :param int deputy: position of the agent among the deputies that would settle the
        change, starting at 0; -1 if the change has ended.
    """

    number: int
    leader: int
    deputy: int


@wire.message(706)
class LeaderHeartbeat:
    """Heartbeat of a leader; it has no response.

    :param int leader: rank of the leader.
    """

    leader: int


@wire.message(707)
class MapNotice:
    """Send an agent the map in use, so that later maps can be sent as differences.

    Acknowledged by a :class:`KeeperAnswer`.

    :param int number: number of the request on this connection.
    :param int leader: rank of the leader.
    :param bytes base: digest of the map that ``changes`` applies to.
    :param bytes changes: changes to that map.
    :param bytes name: digest of the map in use.
    """

    number: int
    leader: int
    base: bytes
    changes: bytes
    name: bytes
