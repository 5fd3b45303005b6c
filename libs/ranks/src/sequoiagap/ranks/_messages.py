"""Messages between the agents of a rank group.

Numbers 700 to 799 belong to this library.
"""

from sequoiagap import wire


@wire.message(700)
class RankPoll:
    """Ask a rank's agent for what it knows; the asker leads the group.

    :param int number: number of the question on this connection.
    :param int leader: rank of the asker.
    :param bool wants_counts: whether to send the counts of experts.
    :param bool wants_experts: whether to send the experts that the rank holds.
    """

    number: int
    leader: int
    wants_counts: bool = False
    wants_experts: bool = False


@wire.message(701)
class RankState:
    """What a rank's agent knows; answer to a poll and to an order.

    :param int number: number of the question.
    :param bool is_known: whether the engine answered.
    :param dict report: fields of the engine's report.
    :param list counts: counts of experts, layer after layer; empty where not asked.
    :param int map_version: version of the map that ``experts`` belongs to.
    :param list experts: experts that the rank holds, by layer.
    :param str result: an :class:`OrderResult`; empty for a poll.
    """

    number: int
    is_known: bool
    report: dict
    counts: list
    map_version: int = -1
    experts: list = ()
    result: str = ""


@wire.message(702)
class RankOrderMessage:
    """An order to a rank's engine, to be handed on by its agent.

    :param int number: number of the question on this connection.
    :param int leader: rank of the asker.
    :param str kind: an :class:`OrderKind`.
    :param int epoch: epoch in which alone it holds.
    :param int version: version of the map.
    :param int step: the pass.
    :param list layers: the map to prepare.
    """

    number: int
    leader: int
    kind: str
    epoch: int
    version: int = 0
    step: int = 0
    layers: list = ()
