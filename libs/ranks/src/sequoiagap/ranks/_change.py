"""Procedures that change a group's expert map so that no pass uses two maps.

Engines don't compare maps: each switches on its own at the pass that it is armed for.
Orders may be lost, or executed seconds late. The procedure relies on these rules:

- The group is held at a pass by one rank before any rank is armed for it. The agent of
  that rank, the keeper, has to agree before the hold and again before the first rank is
  armed; until then it may release the pass on its own. Afterwards the pass is released
  only once every rank is known to be armed for the same change or to be safe. A rank is
  safe from a version once a later version is prepared there: it can no longer be armed
  for the old one, however late the order arrives.
- A version is never used for two maps, and a leader never holds the same pass twice.
- An agent that finds an abandoned hold first holds the same pass on another rank. A
  release by the old leader, delayed or sent when it resumes, then has no effect.
- A group that re-forms discards all of this state; orders of an older epoch are
  refused.

The procedures are generators: they yield steps to execute and are sent the results, so
that a model checker can run them through every loss and delay.
"""

import dataclasses
import enum

from sequoiagap.ranks import _keeper, _ports

LEAD_PASSES = 3
LOSSY_LEAD_PASSES = 8  # leaves time to resend lost orders before the pass
COPY_POLL_INTERVAL_S = 0.04
PREPARE_TIMEOUT_S = 4.0
ARM_ATTEMPTS = 3
LOSSY_ARM_ATTEMPTS = 8
HOLD_ATTEMPTS = 2
VERSIONS_PER_CHANGE = 2  # the change's own and the next, used to abort it
VERSION_SPREAD = 4096
STEP_GUARD = 16  # passes that start before a new leader's first change


class ChangeResult(enum.StrEnum):
    """Outcome of a change."""

    DONE = "done"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    NOT_ALLOWED = "not_allowed"
    GIVEN_UP = "given_up"
    FORMED_ANEW = "formed_anew"


@dataclasses.dataclass(frozen=True)
class Step:
    """Orders to send concurrently, at most one per rank, and reports to read.

    :param dict order_by_rank: a :class:`RankOrder`, or ``None`` to read a report only.
    :param float wait_s: delay before sending, in seconds.
    """

    order_by_rank: dict
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class KeeperQuery:
    """Request to the keeper; it is answered by whether the keeper agrees.

    :param int keeper: rank of the keeper.
    :param HeldChange change: the change that the request is about.
    :param bool wants_arming: whether to arm ranks; otherwise the request is to hold a
        pass.
    """

    keeper: int
    change: _keeper.HeldChange
    wants_arming: bool = False


@dataclasses.dataclass(frozen=True)
class RankReply:
    """Result of a step at one rank.

    :param OrderResult result: the engine's response to the order.
    :param EngineReport report: the engine's report afterwards, or ``None``.
    """

    result: _ports.OrderResult = _ports.OrderResult.UNKNOWN
    report: _ports.EngineReport | None = None


@dataclasses.dataclass(frozen=True)
class ChangePlan:
    """Parameters of a change.

    :param int version: version of the new map; never used before.
    :param tuple layers: the new map, in the form of :attr:`experts.Holdings.layers`.
    :param tuple old_layers: the map in use.
    :param int size: number of ranks in the group.
    :param int own_rank: rank of the leader.
    :param int epoch: epoch of the group.
    :param int after_step: pass after which the change may take place at the earliest.
    :param bool is_lossy: whether orders have recently been lost.
    :param int lead_passes: number of passes ahead at which the ranks switch.
    :param int lossy_lead_passes: the same while orders are being lost.
    :param int keeper: rank at which the pass is held; the leader's if not given.
    :param float poll_s: interval between polls of ranks that are copying weights, in
        seconds.
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
    """Change of the expert map, led by the agent of one rank.

    :param ChangePlan plan: parameters of the change.

    :ivar int step_: pass at which the ranks switch; 0 before it is chosen.
    :ivar int lost_orders_: number of orders without a response.
    :ivar str detail_: reason why the change was not made.
    :ivar bool is_abandoned_: whether to end the change early if no pass is held yet.
    """

    def __init__(self, plan):
        self.plan = plan
        self.step_ = 0
        self.lost_orders_ = 0
        self.detail_ = ""
        self.is_abandoned_ = False

    @property
    def is_lossy_(self):
        """Whether orders were lost, in this change or shortly before it."""
        return self.plan.is_lossy or self.lost_orders_ > 0

    def run(self):
        """Make the change.

        :returns: a generator that yields :class:`Step`, is sent a dict of
            :class:`RankReply` by rank, yields :class:`KeeperQuery`, is sent whether the
            keeper agrees, and returns a :class:`ChangeResult`.
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
            # A successor would assume that this pass has started before it has.
            self.detail_ = f"pass {self.step_} is too far ahead"
            return ChangeResult.NOT_HELD
        is_agreed = yield from self._query_keeper(wants_arming=False)
        if not is_agreed:
            self.detail_ = "the keeper did not agree to the hold"
            return ChangeResult.NOT_ALLOWED
        is_held = yield from self._hold()
        if not is_held:
            yield from self._release()
            return ChangeResult.NOT_HELD
        is_allowed = yield from self._query_keeper(wants_arming=True)
        if not is_allowed:
            self.detail_ = "the keeper did not allow arming"
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
        """Send orders, count those that get no response and return the replies."""
        replies = yield Step(dict(order_by_rank), wait_s)
        self.lost_orders_ += sum(
            order is not None and replies[rank].result == _ports.OrderResult.UNKNOWN
            for rank, order in order_by_rank.items()
        )
        return replies

    def _prepare(self):
        """Have every rank copy the weights and return all reports once that is done."""
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
        """Record one rank's reply and return whether the change may still be made."""
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
            missing[rank] = (
                None  # the rank is copying; from now on only its report is read
            )
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
        is_safe = yield from make_safe(abort_plan, self.step_, self.plan.version)
        if not is_safe:
            return ChangeResult.FORMED_ANEW
        yield from self._release()
        return ChangeResult.GIVEN_UP


def make_version(report_by_rank, own_rank, size, random_state):
    """Return a version that no other leader uses and that is later than all known ones.

    Each rank has a range of versions of its own. The random part keeps a leader from
    reusing a version that an earlier leader at the same rank used without its being
    seen.

    :param dict report_by_rank: newest reports.
    :param int own_rank: rank of the leader.
    :param int size: number of ranks in the group.
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
    :param int size: number of ranks in the group.
    :param int own_rank: rank of the leader.
    :param int first_step: pass at which the leader first saw the group in this epoch.
        Holds and releases of a predecessor may still be in flight; the passes they name
        have started by the time this leader may hold one. ``None`` if there was no
        predecessor at this rank in this epoch.
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
    """Release an abandoned hold.

    :param int found_rank: rank at which the hold was found.
    :param int step: number of the held pass.
    :param ChangePlan plan: plan with a new version whose maps are both the map in use.
    :returns: a generator like that of :meth:`MapChange.run`.
    :rtype: collections.abc.Generator
    """
    is_held = yield from _hold_elsewhere(found_rank, step, plan)
    if not is_held:
        return ChangeResult.NOT_HELD
    is_safe = yield from make_safe(plan, step)
    if not is_safe:
        return ChangeResult.FORMED_ANEW
    yield from release(range(plan.size), step, plan.epoch)
    return ChangeResult.GIVEN_UP


def _hold_elsewhere(found_rank, step, plan):
    """Hold a pass at a second rank, preferably the own one.

    A release by the leader that began the change may still be in flight to the rank
    where the hold was found. This also applies to the own rank: that leader may have
    been this agent before it restarted.
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
    """Ensure that no rank is armed, or can still be armed, for a change.

    A rank that is armed for another change is safe: the weights that the old order
    needs are no longer prepared there. Only ranks armed for this change are disarmed,
    since a later change may be in progress when a paused leader resumes here.

    :param ChangePlan plan: plan with a new version, which is prepared at every rank
        with the map in use and so copies nothing.
    :param int step: pass of the change; nothing is left to do once it has started.
    :param int own_version: version of the change; 0 if it is unknown, which selects all
        ranks that are armed for that pass.
    :returns: a generator that returns false if the group has re-formed.
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
    """Return whether a rank is armed for the change in question."""
    if own_version:
        return report.armed == own_version
    return report.armed_step == step


def release(ranks, step, epoch):
    """Release a held pass at some ranks until each reports that it is not held.

    :param list ranks: the ranks.
    :param int step: number of the pass.
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
    """Return whether a refusal may mean that the order was accepted before."""
    newest = max(report.prepared, report.map_version)
    return not report.armed and newest < version
