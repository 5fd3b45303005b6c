"""Change of a group's expert map, so that no pass begins with two maps.

Engines don't compare maps: each switches by itself at the pass that it is armed for.
Orders may be lost, or carried out seconds later. The procedure rests on this:

- The group is held at a pass by one rank before any rank is armed for it. That rank's
  agent, the keeper, is asked before the hold and again before the first rank is armed;
  until then it may release the pass by itself. Afterwards the pass is released only
  once every rank is known to be armed alike, or to be safe: a rank is safe from a
  version once a later version is prepared there, as it can't be armed for the old one
  any more, however late the order comes.
- Versions are never used for two maps, and a leader never holds a pass twice.
- Whoever finds a hold that nobody answers for holds the same pass on another rank
  first. Then a release by the old leader, late or sent as it wakes, releases nothing.
- A group that forms anew forgets everything; orders of an older epoch are refused.

The procedures are generators: they yield steps to carry out and are sent what came of
them, so that a model check can drive them through every loss and delay.
"""

import dataclasses
import enum

from sequoiagap.ranks import _keeper, _ports

LEAD_PASSES = 3
LOSSY_LEAD_PASSES = 8  # time to give lost orders again before the pass is due
COPY_POLL_INTERVAL_S = 0.04
PREPARE_TIMEOUT_S = 4.0
ARM_ATTEMPTS = 3
LOSSY_ARM_ATTEMPTS = 8
HOLD_ATTEMPTS = 2
VERSIONS_PER_CHANGE = 2  # its own and, to give it up, the next
VERSION_SPREAD = 4096
STEP_GUARD = 16  # passes that begin before a fresh leader's first change


class ChangeResult(enum.StrEnum):
    """How a change ended."""

    DONE = "done"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    NOT_ALLOWED = "not_allowed"
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
class KeeperQuery:
    """A question to the keeper; its answer is whether it agrees.

    :param int keeper: its rank.
    :param HeldChange change: the change that it is about.
    :param bool wants_arming: whether ranks are to be armed, rather than a pass held.
    """

    keeper: int
    change: _keeper.HeldChange
    wants_arming: bool = False


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
    :param bool is_lossy: whether orders have gone without an answer of late.
    :param int lead_passes: passes ahead at which the ranks switch.
    :param int lossy_lead_passes: the same where orders go without an answer.
    :param int keeper: rank at which the pass is held; that of the leader if not given.
    :param float poll_s: time between questions to ranks that copy, in seconds.
    """

    version: int
    layers: tuple
    old_layers: tuple
    size: int
    own_rank: int
    epoch: int
    after_step: int = 0
    is_lossy: bool = False
    lead_passes: int = LEAD_PASSES
    lossy_lead_passes: int = LOSSY_LEAD_PASSES
    keeper: int = -1
    poll_s: float = COPY_POLL_INTERVAL_S

    @property
    def held_rank(self):
        """Rank at which the pass is held."""
        return self.own_rank if self.keeper < 0 else self.keeper


class MapChange:
    """A change of map, led by the agent of one rank.

    :param ChangePlan plan: what to change.

    :ivar int step_: pass at which the ranks switch; 0 before it is chosen.
    :ivar int lost_orders_: orders that got no answer.
    :ivar str detail_: what kept the change from being made.
    :ivar bool is_abandoned_: whether to make nothing of it, if no pass is held yet.
    """

    def __init__(self, plan):
        self.plan = plan
        self.step_ = 0
        self.lost_orders_ = 0
        self.detail_ = ""
        self.is_abandoned_ = False

    @property
    def is_lossy_(self):
        """Whether orders go without an answer, in this change or shortly before."""
        return self.plan.is_lossy or self.lost_orders_ > 0

    def run(self):
        """Make the change.

        :returns: a generator of :class:`Step`, sent a dict of :class:`RankReply` by
            rank, and of :class:`KeeperQuery`, sent whether the keeper agrees, that
            returns a :class:`ChangeResult`.
        :rtype: collections.abc.Generator
        """
        reports = yield from self._prepare()
        if reports is None:
            return ChangeResult.NOT_PREPARED
        newest = max(report.step for report in reports.values())
        plan = self.plan
        lead = plan.lossy_lead_passes if self.is_lossy_ else plan.lead_passes
        self.step_ = max(newest + lead, self.plan.after_step + 1)
        if self.step_ >= newest + STEP_GUARD:
            # A successor would take it for safe before this pass has begun.
            self.detail_ = f"pass {self.step_} is too far ahead"
            return ChangeResult.NOT_HELD
        is_agreed = yield from self._query_keeper(wants_arming=False)
        if not is_agreed:
            self.detail_ = "the keeper did not agree to a hold"
            return ChangeResult.NOT_ALLOWED
        is_held = yield from self._hold()
        if not is_held:
            yield from self._release()
            return ChangeResult.NOT_HELD
        is_allowed = yield from self._query_keeper(wants_arming=True)
        if not is_allowed:
            self.detail_ = "the keeper did not allow to arm"
            yield from self._release()
            return ChangeResult.NOT_ALLOWED
        is_armed = yield from self._arm()
        if is_armed:
            yield from self._release()
            return ChangeResult.DONE
        return (yield from self._abort())

    def _query_keeper(self, wants_arming):
        plan = self.plan
        change = _keeper.HeldChange(plan.epoch, plan.version, self.step_)
        return (yield KeeperQuery(plan.held_rank, change, wants_arming))

    def _release(self):
        return release([self.plan.held_rank], self.step_, self.plan.epoch)

    def _order(self, kind, **fields):
        return _ports.RankOrder(kind, self.plan.epoch, **fields)

    def _send_orders(self, order_by_rank, wait_s=0.0):
        """Give orders and count those that get no answer; return the replies."""
        replies = yield Step(dict(order_by_rank), wait_s)
        self.lost_orders_ += sum(
            order is not None and replies[rank].result == _ports.OrderResult.UNKNOWN
            for rank, order in order_by_rank.items()
        )
        return replies

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
            if self.is_abandoned_:
                self.detail_ = "another agent leads"
                return None
            if waited_s > PREPARE_TIMEOUT_S:
                self.detail_ = f"ranks {sorted(missing)[:4]} are not prepared"
                return None
            replies = yield from self._send_orders(missing, wait_s)
            for rank, reply in replies.items():
                if not self._record_prepared(rank, reply, missing, reports):
                    return None
            wait_s = self.plan.poll_s
            waited_s += wait_s
        return reports

    def _record_prepared(self, rank, reply, missing, reports):
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
        if is_refused and not _may_have_accepted(report, self.plan.version):
            self.detail_ = f"rank {rank} refused to prepare"
            return False
        if reply.result != _ports.OrderResult.UNKNOWN:
            missing[rank] = None  # it copies; only its report is wanted from now on
        return True

    def _hold(self):
        order = self._order(_ports.OrderKind.HOLD, step=self.step_)
        rank = self.plan.held_rank
        for _ in range(HOLD_ATTEMPTS):
            reply = (yield from self._send_orders({rank: order}))[rank]
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
        attempts = LOSSY_ARM_ATTEMPTS if self.is_lossy_ else ARM_ATTEMPTS
        for _ in range(attempts):
            replies = yield from self._send_orders(missing)
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

    def _abort(self):
        abort_plan = dataclasses.replace(self.plan, version=self.plan.version + 1)
        made_safe = yield from make_safe(abort_plan, self.step_, self.plan.version)
        if not made_safe:
            return ChangeResult.FORMED_ANEW
        yield from self._release()
        return ChangeResult.GIVEN_UP


def make_version(report_by_rank, own_rank, size, random_state):
    """Return a version that nobody else uses and that is later than all known ones.

    Each rank has versions of its own; the random part keeps a leader from using one
    again that its predecessor at the same rank has used unseen.

    :param dict report_by_rank: newest reports.
    :param int own_rank: rank of the leader.
    :param int size: ranks of the group.
    :param random.Random random_state: source of randomness.
    :rtype: int
    """
    highest = max(
        max(report.map_version, report.prepared, report.armed)
        for report in report_by_rank.values()
    )
    unit = VERSIONS_PER_CHANGE * size
    block = highest // unit + 1 + random_state.randrange(VERSION_SPREAD)
    return block * unit + VERSIONS_PER_CHANGE * own_rank


def may_begin(report_by_rank, size, own_rank, first_step):
    """Return whether a leader may begin a change.

    :param dict report_by_rank: newest reports.
    :param int size: ranks of the group.
    :param int own_rank: rank of the leader.
    :param int first_step: pass at which it first saw the group in this epoch. Holds
        and releases of a predecessor may still be on their way; they name passes that
        have begun by the time that this one may hold one. ``None`` where there was
        no predecessor at this rank in this epoch.
    :rtype: bool
    """
    reports = list(report_by_rank.values())
    own = report_by_rank.get(own_rank)
    return (
        own is not None
        and len(reports) == size
        and all(report.is_open and report.epoch == own.epoch for report in reports)
        and len({report.map_version for report in reports}) == 1
        and not any(report.armed or report.held_step for report in reports)
        and (first_step is None or own.step >= first_step + STEP_GUARD)
    )


def resolve_hold(found_rank, step, plan):
    """Release a hold that nobody answers for.

    :param int found_rank: rank at which it was found.
    :param int step: the pass that is held.
    :param ChangePlan plan: with a fresh version, and the map in use as its maps.
    :returns: a generator as that of :meth:`MapChange.run`.
    :rtype: collections.abc.Generator
    """
    is_held = yield from _hold_elsewhere(found_rank, step, plan)
    if not is_held:
        return ChangeResult.NOT_HELD
    made_safe = yield from make_safe(plan, step)
    if not made_safe:
        return ChangeResult.FORMED_ANEW
    yield from release(range(plan.size), step, plan.epoch)
    return ChangeResult.GIVEN_UP


def _hold_elsewhere(found_rank, step, plan):
    """Hold a pass at one more rank, the own one if it may be.

    A release by the leader that began the change may still be on its way to the rank
    where the hold was found, also if that is the own rank: the leader may have been
    this agent before it was started again.
    """
    order = _ports.RankOrder(_ports.OrderKind.HOLD, plan.epoch, step=step)
    for offset in range(plan.size):
        rank = (plan.own_rank + offset) % plan.size
        if rank == found_rank:
            continue
        report = (yield Step({rank: order}))[rank].report
        if report is None:
            continue
        if report.epoch != plan.epoch or report.step >= step:
            return False
        if report.held_step == step:
            return True
    return False


def make_safe(plan, step, own_version=0):
    """See that no rank is armed for a change, or can be armed for it any more.

    A rank that is armed by another change is safe: the weights that the old order
    needs are no longer prepared there. Only what belongs to this change is disarmed,
    since a later one may be under way when a paused leader wakes here.

    :param ChangePlan plan: with a fresh version, to be prepared everywhere with the
        map in use, which copies nothing.
    :param int step: pass of the change; once it has begun there is nothing to do.
    :param int own_version: version of the change; 0 where it is not known, for all
        that are armed for that pass.
    :returns: a generator that returns false if the group has formed anew.
    :rtype: collections.abc.Generator
    """
    prepare = _ports.RankOrder(
        _ports.OrderKind.PREPARE,
        plan.epoch,
        version=plan.version,
        layers=plan.old_layers,
    )
    unsafe = dict.fromkeys(range(plan.size), prepare)
    wait_s = 0.0
    while unsafe:
        replies = yield Step(dict(unsafe), wait_s)
        for rank, reply in replies.items():
            report = reply.report
            if report is None:
                continue
            if report.epoch != plan.epoch:
                return False
            if report.step >= step:
                return True
            if report.prepared >= plan.version:
                del unsafe[rank]
            elif not report.armed:
                unsafe[rank] = prepare
            elif _is_armed_by_change(report, step, own_version):
                unsafe[rank] = _ports.RankOrder(
                    _ports.OrderKind.DISARM, plan.epoch, version=report.armed
                )
            else:
                del unsafe[rank]
        wait_s = COPY_POLL_INTERVAL_S
    return True


def _is_armed_by_change(report, step, own_version):
    """Return whether a rank is armed by the change in question."""
    if own_version:
        return report.armed == own_version
    return report.armed_step == step


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
        wait_s = COPY_POLL_INTERVAL_S


def _may_have_accepted(report, version):
    """Return whether a refusal may mean that the order was taken before."""
    newest = max(report.prepared, report.map_version)
    return not report.armed and newest < version
