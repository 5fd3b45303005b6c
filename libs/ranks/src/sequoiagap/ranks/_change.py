"""Change of a group's expert map, so that no pass begins with two maps.

Engines don't compare maps: each switches by itself at the pass that it is armed for.
Orders may be lost, or carried out seconds later. The procedure rests on this:

- The group is held at a pass by one rank before any rank is armed for it. It is
  released only once every rank is known to be armed alike, or to be safe: a rank is
  safe from a version once a later version is prepared there, as it can't be armed for
  the old one any more, however late the order comes.
- Versions are never used for two maps, and a leader never holds a pass twice.
- Whoever finds a hold that nobody answers for holds the same pass on another rank
  first. Then the old leader, should it wake, releases nothing by itself.
- A group that forms anew forgets everything; orders of an older epoch are refused.

The procedures are generators: they yield steps to carry out and are sent what came of
them, so that a model check can drive them through every loss and delay.
"""

import dataclasses
import enum

from sequoiagap.ranks import _ports

LEAD_PASSES = 3
POLL_S = 0.04
PREPARE_PATIENCE_S = 4.0
ARM_TRIES = 3
HOLD_TRIES = 2
VERSION_GAP = 2  # a change uses its version and, to give it up, the next


class ChangeResult(enum.StrEnum):
    """How a change ended."""

    DONE = "done"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    GIVEN_UP = "given_up"
    FORMED_ANEW = "formed_anew"


@dataclasses.dataclass(frozen=True)
class Step:
    """Orders to give at once, one a rank at most, and reports to take afterwards.

    :param dict order_by_rank: a :class:`RankOrder`, or ``None`` for a report only.
    :param float wait_s: how long to wait before, in seconds.
    """

    order_by_rank: dict
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class RankReply:
    """What came of a step at a rank.

    :param OrderResult result: what the engine answered to the order.
    :param EngineReport report: what it said afterwards, or ``None``.
    """

    result: _ports.OrderResult = _ports.OrderResult.UNKNOWN
    report: _ports.EngineReport | None = None


@dataclasses.dataclass(frozen=True)
class ChangePlan:
    """What a change is about.

    :param int version: version of the new map; never used before.
    :param tuple layers: the new map, as :attr:`experts.Holdings.layers`.
    :param tuple old_layers: the map in use.
    :param int size: ranks of the group.
    :param int own_rank: rank of the leader.
    :param int epoch: epoch of the group.
    :param int after_step: pass after which alone the change may take place.
    """

    version: int
    layers: tuple
    old_layers: tuple
    size: int
    own_rank: int
    epoch: int
    after_step: int = 0


class MapChange:
    """A change of map, led by the agent of one rank.

    :param ChangePlan plan: what to change.

    :ivar int step_: pass at which the ranks switch; 0 before it is chosen.
    :ivar str detail_: what kept the change from being made.
    """

    def __init__(self, plan):
        self.plan = plan
        self.step_ = 0
        self.detail_ = ""

    def run(self):
        """Make the change.

        :returns: a generator of :class:`Step`, sent a dict of :class:`RankReply` by
            rank, that returns a :class:`ChangeResult`.
        :rtype: collections.abc.Generator
        """
        reports = yield from self._prepare()
        if reports is None:
            return ChangeResult.NOT_PREPARED
        newest = max(report.step for report in reports.values())
        self.step_ = max(newest, self.plan.after_step) + LEAD_PASSES
        is_held = yield from self._hold()
        if not is_held:
            yield from release([self.plan.own_rank], self.step_, self.plan.epoch)
            return ChangeResult.NOT_HELD
        is_armed = yield from self._arm()
        if is_armed:
            ranks = [self.plan.own_rank]
            yield from release(ranks, self.step_, self.plan.epoch)
            return ChangeResult.DONE
        return (yield from self._give_up())

    def _order(self, kind, **fields):
        return _ports.RankOrder(kind, self.plan.epoch, **fields)

    def _prepare(self):
        """Have every rank copy the weights; return all reports once they are there."""
        order = self._order(
            _ports.OrderKind.PREPARE,
            version=self.plan.version,
            layers=self.plan.layers,
        )
        missing = dict.fromkeys(range(self.plan.size), order)
        reports, waited_s, wait_s = {}, 0.0, 0.0
        while missing:
            if waited_s > PREPARE_PATIENCE_S:
                self.detail_ = f"ranks {sorted(missing)[:4]} are not prepared"
                return None
            replies = yield Step(dict(missing), wait_s)
            for rank, reply in replies.items():
                if not self._take_prepared(rank, reply, missing, reports):
                    return None
            wait_s = POLL_S
            waited_s += wait_s
        return reports

    def _take_prepared(self, rank, reply, missing, reports):
        """Take one rank's reply; return whether the change may still be made."""
        report = reply.report
        if report is None:
            return True
        if report.epoch != self.plan.epoch:
            self.detail_ = f"rank {rank} is in epoch {report.epoch}"
            return False
        if report.prepared == self.plan.version:
            reports[rank] = report
            del missing[rank]
            return True
        is_refused = reply.result == _ports.OrderResult.CONFLICT
        if is_refused and not _may_have_taken(report, self.plan.version):
            self.detail_ = f"rank {rank} refused to prepare"
            return False
        if reply.result != _ports.OrderResult.UNKNOWN:
            missing[rank] = None  # it copies; only its report is wanted from now on
        return True

    def _hold(self):
        order = self._order(_ports.OrderKind.HOLD, step=self.step_)
        own = self.plan.own_rank
        for _ in range(HOLD_TRIES):
            reply = (yield Step({own: order}))[own]
            if self._is_held(reply.report):
                return True
            if reply.result == _ports.OrderResult.CONFLICT:
                break
        self.detail_ = f"pass {self.step_} could not be held"
        return False

    def _arm(self):
        order = self._order(
            _ports.OrderKind.ARM, version=self.plan.version, step=self.step_
        )
        missing = dict.fromkeys(range(self.plan.size), order)
        for _ in range(ARM_TRIES):
            replies = yield Step(missing)
            for rank, reply in replies.items():
                if self._is_armed(reply.report):
                    missing.pop(rank, None)
            if not missing:
                return True
        self.detail_ = f"ranks {sorted(missing)[:4]} are not armed"
        return False

    def _is_held(self, report):
        return (
            report is not None
            and report.epoch == self.plan.epoch
            and report.held_step == self.step_
        )

    def _is_armed(self, report):
        return (
            report is not None
            and report.epoch == self.plan.epoch
            and report.armed == self.plan.version
            and report.armed_step == self.step_
        )

    def _give_up(self):
        made_safe = yield from make_safe(
            self.plan.size,
            self.plan.version + 1,
            self.plan.old_layers,
            self.plan.epoch,
        )
        if not made_safe:
            return ChangeResult.FORMED_ANEW
        yield from release([self.plan.own_rank], self.step_, self.plan.epoch)
        return ChangeResult.GIVEN_UP


def resolve_hold(found_rank, step, plan):
    """Release a hold that nobody answers for.

    :param int found_rank: rank at which it was found.
    :param int step: the pass that is held.
    :param ChangePlan plan: with a fresh version, and the map in use as its maps.
    :returns: a generator as that of :meth:`MapChange.run`.
    :rtype: collections.abc.Generator
    """
    own = plan.own_rank
    if found_rank != own:
        order = _ports.RankOrder(_ports.OrderKind.HOLD, plan.epoch, step=step)
        reply = (yield Step({own: order}))[own]
        report = reply.report
        if report is None or report.epoch != plan.epoch or report.held_step != step:
            return ChangeResult.NOT_HELD
    made_safe = yield from make_safe(
        plan.size, plan.version, plan.old_layers, plan.epoch
    )
    if not made_safe:
        return ChangeResult.FORMED_ANEW
    yield from release(sorted({found_rank, own}), step, plan.epoch)
    return ChangeResult.GIVEN_UP


def make_safe(size, version, layers, epoch):
    """See that no rank is armed for, or can be armed for, an earlier version.

    :param int size: ranks of the group.
    :param int version: a fresh version, to be prepared everywhere with the map in
        use, which copies nothing.
    :param tuple layers: the map in use.
    :param int epoch: epoch of the group.
    :returns: a generator that returns false if the group has formed anew.
    :rtype: collections.abc.Generator
    """
    prepare = _ports.RankOrder(
        _ports.OrderKind.PREPARE, epoch, version=version, layers=layers
    )
    unsafe = dict.fromkeys(range(size), prepare)
    wait_s = 0.0
    while unsafe:
        replies = yield Step(dict(unsafe), wait_s)
        for rank, reply in replies.items():
            report = reply.report
            if report is None:
                continue
            if report.epoch != epoch:
                return False
            if report.prepared >= version and not report.armed:
                del unsafe[rank]
            elif report.armed:
                unsafe[rank] = _ports.RankOrder(
                    _ports.OrderKind.DISARM, epoch, version=report.armed
                )
            else:
                unsafe[rank] = prepare
        wait_s = POLL_S
    return True


def release(ranks, step, epoch):
    """Release a held pass at some ranks, until they say that it is not held.

    :param list ranks: the ranks.
    :param int step: the pass.
    :param int epoch: epoch of the group.
    :returns: a generator of :class:`Step`.
    :rtype: collections.abc.Generator
    """
    order = _ports.RankOrder(_ports.OrderKind.RELEASE, epoch, step=step)
    held = dict.fromkeys(ranks, order)
    wait_s = 0.0
    while held:
        replies = yield Step(dict(held), wait_s)
        for rank, reply in replies.items():
            report = reply.report
            if report is None:
                continue
            if report.epoch != epoch or report.held_step != step:
                del held[rank]
        wait_s = POLL_S


def _may_have_taken(report, version):
    """Return whether a refusal may mean that the order was taken before."""
    newest = max(report.prepared, report.map_version)
    return not report.armed and newest < version
