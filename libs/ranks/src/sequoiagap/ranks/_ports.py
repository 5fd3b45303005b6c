"""Interface to a rank's engine: reports, expert counts and orders."""

import dataclasses
import enum
import typing


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """State of an engine and its rank at one moment.

    Agents send the values in the order of the fields; new fields are appended.

    :param str group: name of the rank group; empty if the engine has none.
    :param int epoch: how many times the group has formed.
    :param int rank: the engine's rank in the group.
    :param int size: number of ranks in the group.
    :param bool is_open: whether the group accepts requests.
    :param int step: number of the last pass that was started.
    :param int map_version: version of the expert map in use.
    :param int prepared: version whose weights are loaded; 0 for none.
    :param int armed: version that the engine will switch to; 0 for none.
    :param int armed_step: pass at which the engine switches to it.
    :param int held_step: pass that does not start until it is released; 0 for none.
    :param int running: number of running requests.
    :param int waiting: number of queued requests.
    :param int started_ms: start time of the engine, in Unix milliseconds.
    :param float slowness: ratio of the engine's execution time to the usual time; 1 for
        an engine of usual speed.
    :param float max_requests_s: requests per second that the engine takes from all
        gateways together; infinity if it states no limit, 0 if that is not known.
    :param bool is_leaving: whether the engine states that it is about to end.
    """

    group: str = ""
    epoch: int = 0
    rank: int = 0
    size: int = 0
    is_open: bool = False
    step: int = 0
    map_version: int = 0
    prepared: int = 0
    armed: int = 0
    armed_step: int = 0
    held_step: int = 0
    running: int = 0
    waiting: int = 0
    started_ms: int = 0
    slowness: float = 1.0
    max_requests_s: float = 0.0
    is_leaving: bool = False


def write_report(report):
    """Return the values of a report in field order, to send to another agent.

    :param EngineReport report: the report.
    :rtype: list
    """
    return [getattr(report, field.name) for field in dataclasses.fields(report)]


def read_report(values):
    """Return the report received from another agent.

    Values of fields that this version does not know are ignored.

    :param list values: the values that :func:`write_report` returned there.
    :rtype: EngineReport
    """
    return EngineReport(*values[: len(dataclasses.fields(EngineReport))])


@dataclasses.dataclass(frozen=True)
class ExpertCounts:
    """Counts of each expert's choice by a rank's requests since its engine started.

    :param int epoch: epoch of the group.
    :param list counts: one number per expert, layer after layer.
    """

    epoch: int
    counts: list


class OrderKind(enum.StrEnum):
    """Kinds of orders that concern a rank's expert map."""

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    RELEASE = "release"


@dataclasses.dataclass(frozen=True)
class RankOrder:
    """Order to a rank's engine.

    :param OrderKind kind: the operation to perform.
    :param int epoch: the only epoch in which the order is valid.
    :param int version: version of the map, for kinds that need one.
    :param int step: number of the pass, for kinds that need one.
    :param tuple layers: map to prepare, in the form of :attr:`experts.Holdings.layers`.
    """

    kind: OrderKind
    epoch: int
    version: int = 0
    step: int = 0
    layers: tuple = ()


class OrderResult(enum.StrEnum):
    """Result of an order, as reported by the engine."""

    DONE = "done"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class RankEngine(typing.Protocol):
    """Calls to engines, each addressed by the address that the engine listens on."""

    async def report(self, address):
        """Return the :class:`EngineReport`, or ``None`` without an answer."""

    async def counts(self, address):
        """Return the :class:`ExpertCounts`, or ``None`` without an answer."""

    async def held_experts(self, address):
        """Return the map version and the rank's experts per layer, or ``None``."""

    async def order(self, address, rank_order):
        """Send an order and return its :class:`OrderResult`."""
