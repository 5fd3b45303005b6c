"""Messages between the agents of a rank group.

Numbers 700 to 799 belong to this library.
"""

from sequoiagap import wire

NOT_LEADING = -1


@wire.message(700)
class RankPoll:
    """Ask a rank's agent for what it knows.

    :param int number: number of the question on this connection.
    :param int leader: rank of the asker; ``NOT_LEADING`` where it doesn't lead.
    :param bool wants_counts: whether to send the counts of experts.
    :param bool wants_experts: whether to send the experts that the rank holds.
    :param bool may_be_recent: whether a report of a moment ago will do.
    """

    number: int
    leader: int
    wants_counts: bool = False
    wants_experts: bool = False
    may_be_recent: bool = False


@wire.message(701)
class RankState:
    """What a rank's agent knows; answer to a poll and to an order.

    :param int number: number of the question.
    :param bool is_known: whether the engine answered.
    :param list report: values of the engine's report.
    :param bytes levels: how often experts were chosen, as
        :class:`_counts.CountsReading`; empty where not asked.
    :param float scale: choices that a level stands for.
    :param float span_s: the span that they were counted in, in seconds.
    :param int map_version: version of the map that ``experts`` belongs to.
    :param list experts: experts that the rank holds, by layer.
    :param str result: an :class:`OrderResult`; empty for a poll.
    :param bool lacks_base: whether the map that an order changes is not known there.
    :param int leader: rank of the leader that this agent has heard last.
    :param int leader_age_ms: how long ago, in milliseconds.
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
    """An order to a rank's engine, to be handed on by its agent.

    :param int number: number of the question on this connection.
    :param int leader: rank of the asker.
    :param str kind: an :class:`OrderKind`.
    :param int epoch: epoch in which alone it holds.
    :param int version: version of the map.
    :param int step: the pass.
    :param bytes base: digest of the map that the one to prepare changes.
    :param bytes changes: what it changes, as :func:`_map_changes.pack_changes`.
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
    """Ask the agent of a rank to keep a hold for a change, or to allow arming.

    :param int number: number of the question on this connection.
    :param int leader: rank of the asker.
    :param int epoch: epoch of the group.
    :param int version: version of the new map.
    :param int step: the pass to be held.
    :param bool wants_arming: whether ranks are to be armed, rather than a pass held.
    """

    number: int
    leader: int
    epoch: int
    version: int
    step: int
    wants_arming: bool = False


@wire.message(704)
class KeeperAnswer:
    """Answer to a question to the keeper, or to a notice.

    :param int number: number of the question.
    :param bool is_agreed: whether the agent agrees.
    """

    number: int
    is_agreed: bool


@wire.message(705)
class ChangeNotice:
    """Tell an agent that a change is under way, or has ended; answered by its number.

    :param int number: number of the question on this connection.
    :param int leader: rank of the leader.
    :param int deputy: place of the agent among those that would settle the change, 0
        first; -1 where it has ended.
    """

    number: int
    leader: int
    deputy: int


@wire.message(706)
class LeaderHeartbeat:
    """Tell an agent that a leader is alive; it is not answered.

    :param int leader: rank of the leader.
    """

    leader: int


@wire.message(707)
class MapNotice:
    """Tell an agent the map in use, so that later ones can be sent as differences.

    Answered by a :class:`KeeperAnswer`.

    :param int number: number of the question on this connection.
    :param int leader: rank of the leader.
    :param bytes base: digest of the map that this one changes.
    :param bytes changes: what it changes.
    :param bytes name: digest of this map.
    """

    number: int
    leader: int
    base: bytes
    changes: bytes
    name: bytes
