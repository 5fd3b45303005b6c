"""Simulates callers and gateways while a rank group is out of service for seconds.

The ``gateway`` policy runs the real code of :mod:`sequoiagap.gateway`; the others
serve for comparison. Callers retry at most once, cap the retry delay at a third of
their remaining time, and leave if no first event arrives.
"""

import collections
import dataclasses
import enum
import heapq
import itertools
import random

from sequoiagap import gateway, routes
from sequoiagap.gateway import _admission, _loads, _outage

GATEWAYS = 4
ENDPOINTS = 12
SLOTS = 12
CALLERS_PER_S = 60.0  # arrivals per second over all gateways
DURATION_S = 22.0
OUTAGE_AT_S = 6.0
STALL_S = 1.5  # from the loss of a rank until the group reports it
DEADLINE_S = 8.0
PATIENCE_S = 2.0
TARGET_S = 0.4
FIRST_EVENT_S = 0.16
ANSWER_S = 1.2
REPORT_S = 0.1
MAX_RETRY_DELAY_SHARE = 1 / 3


class Result(enum.StrEnum):
    """Final result of a caller."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    REFUSED_AGAIN = "refused_again"
    LEFT = "left"
    CUT = "cut"


@dataclasses.dataclass
class Caller:
    """State of one caller.

    :ivar float arrived_at: time of its first request.
    :ivar int attempts: number of requests sent.
    :ivar int rejections: number of rejections.
    """

    arrived_at: float
    attempts: int = 0
    rejections: int = 0


@dataclasses.dataclass(frozen=True)
class OutageDecision:
    """How a gateway handles a request during the outage.

    :param float wait_until: end of the wait; the current time to reject at once.
    :param float retry_after_s: retry delay if it is rejected, in seconds.
    """

    wait_until: float
    retry_after_s: float


POLICY_BY_NAME = {}


def policy(name):
    """Register a policy: a function of world, queue, caller, remaining time and now."""

    def register(function):
        POLICY_BY_NAME[name] = function
        return function

    return register


@policy("refuse at once, back soon")
def _reject_soon(world, queue, caller, remaining_s, now):
    return OutageDecision(now, 0.25 * (1.0 + world.random.random()))


@policy("refuse at once, back in 1.8 to 3 s")
def _reject_late(world, queue, caller, remaining_s, now):
    return OutageDecision(now, 2.4 * (0.75 + 0.5 * world.random.random()))


@policy("everybody waits")
def _wait(world, queue, caller, remaining_s, now):
    return OutageDecision(now + PATIENCE_S - 0.3, 0.25)


@policy("gateway")
def _decide(world, queue, caller, remaining_s, now):
    queued_caller = _outage.Caller(now, now + remaining_s, DEADLINE_S, PATIENCE_S)
    capacity = ENDPOINTS * SLOTS // GATEWAYS
    until = queue.wait_deadline(
        queued_caller, world.outage_age(now), ANSWER_S, capacity, now
    )
    later_remaining_s = remaining_s - (until - now)
    return OutageDecision(
        until, _outage.outage_retry_delay_s(later_remaining_s, world.random)
    )


class Gateway:
    """Load and admission state of one gateway."""

    def __init__(self, random_state):
        group = _loads.GroupState(epoch=1)
        self.loads = [
            _loads.EndpointLoad(
                routes.Endpoint(f"e{i}", "s", "h", i, "a", "ready", SLOTS), group=group
            )
            for i in range(ENDPOINTS)
        ]
        self.admission = _admission.ServiceAdmission(random_state)
        self.admission.record_answer(ANSWER_S)
        self.chooser = _loads.EndpointChooser(random_state)


class OutageWorld:
    """Simulates one outage.

    :param int seed: seed of all random choices.
    :param str policy_name: policy of the gateways during the outage.
    :param float outage_s: from the loss of the rank until the group serves again,
        in seconds.

    :ivar collections.Counter count_by_result_: callers by :class:`Result`.
    :ivar int rejected_after_wait_: requests that were rejected after a wait.
    """

    def __init__(self, seed, policy_name, outage_s):
        self.random = random.Random(seed)
        self.decide = POLICY_BY_NAME[policy_name]
        self.opens_at = OUTAGE_AT_S + outage_s
        self.closes_at = OUTAGE_AT_S + STALL_S
        self.gateways = [Gateway(self.random) for _ in range(GATEWAYS)]
        self.running = [set() for _ in range(ENDPOINTS)]
        self.count_by_result_ = collections.Counter()
        self.rejected_after_wait_ = 0
        self._events = []
        self._numbers = itertools.count()

    def run(self):
        """Run until every caller has a result and return the world.

        :rtype: OutageWorld
        """
        at = 0.0
        while at < DURATION_S:
            at += self.random.expovariate(CALLERS_PER_S)
            self._schedule(at, self._arrive, Caller(at))
        for tick in range(int((DURATION_S + DEADLINE_S) / REPORT_S)):
            self._schedule(tick * REPORT_S, self._report)
        self._schedule(self.closes_at, self._cut_all)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self

    def outage_age(self, now):
        """Return the time since the gateways learned of the outage, in seconds."""
        return now - self.closes_at

    def _schedule(self, when, action, *arguments):
        heapq.heappush(self._events, (when, next(self._numbers), action, arguments))

    def _is_open(self, now):
        return not self.closes_at <= now < self.opens_at

    def _is_rank_lost(self, now):
        return OUTAGE_AT_S <= now < self.opens_at

    def _report(self, now):
        for index, running in enumerate(self.running):
            sample = gateway.LoadSample(len(running), 0, SLOTS)
            for chosen in self.gateways:
                chosen.loads[index].record_sample(sample, now)
        for chosen in self.gateways:
            epoch = 2 if now >= self.opens_at else 1
            chosen.loads[0].group.update(epoch, self._is_open(now), now)

    def _arrive(self, now, caller):
        caller.attempts += 1
        chosen = self.random.choice(self.gateways)
        if self._is_open(now):
            self._send(now, caller, chosen)
            return
        remaining_s = caller.arrived_at + DEADLINE_S - now
        queue = chosen.admission.queue
        decision = self.decide(self, queue, caller, remaining_s, now)
        if decision.wait_until <= now:
            self._reject(now, caller, decision.retry_after_s)
            return
        queue.__enter__()
        at = min(decision.wait_until, max(self.opens_at, now))
        if at > now + PATIENCE_S - FIRST_EVENT_S:
            self._schedule(now + PATIENCE_S, self._leave, chosen)
            return
        self._schedule(at, self._end_wait, caller, chosen, decision)

    def _leave(self, now, chosen):
        chosen.admission.queue.__exit__()
        self.count_by_result_[Result.LEFT] += 1

    def _end_wait(self, now, caller, chosen, decision):
        chosen.admission.queue.__exit__()
        if self._is_open(now):
            self._send(now, caller, chosen)
            return
        self.rejected_after_wait_ += 1
        self._reject(now, caller, decision.retry_after_s)

    def _send(self, now, caller, chosen):
        decision = chosen.admission.decide(chosen.loads, TARGET_S, now)
        if not decision.is_admitted:
            self._reject(now, caller, decision.retry_after_s)
            return
        load = chosen.chooser.choose(chosen.loads, now)
        index = chosen.loads.index(load)
        attempt = (id(caller), caller.attempts)
        if self._is_rank_lost(now):
            self._schedule(self.closes_at, self._reject_stalled, caller)
            return
        load.sent_at_by_attempt[attempt] = now
        self.running[index].add(attempt)
        self._schedule(now + ANSWER_S, self._answer, caller, load, index, attempt, now)

    def _answer(self, now, caller, load, index, attempt, sent_at):
        load.sent_at_by_attempt.pop(attempt, None)
        if attempt not in self.running[index]:
            self.count_by_result_[Result.CUT] += 1
            return
        self.running[index].discard(attempt)
        is_in_time = sent_at + FIRST_EVENT_S - caller.arrived_at <= TARGET_S
        self.count_by_result_[Result.IN_TIME if is_in_time else Result.LATE] += 1

    def _cut_all(self, now):
        for running in self.running:
            running.clear()

    def _reject_stalled(self, now, caller):
        remaining_s = caller.arrived_at + DEADLINE_S - now
        decision = self.decide(self, _outage.OutageQueue(), caller, remaining_s, now)
        self._reject(now, caller, decision.retry_after_s)

    def _reject(self, now, caller, retry_after_s):
        caller.rejections += 1
        if caller.attempts > 1:
            self.count_by_result_[Result.REFUSED_AGAIN] += 1
            return
        remaining_s = caller.arrived_at + DEADLINE_S - now
        retry_delay_s = min(retry_after_s, MAX_RETRY_DELAY_SHARE * remaining_s)
        if remaining_s - retry_delay_s < ANSWER_S:
            self.count_by_result_[Result.REFUSED] += 1
            return
        self._schedule(now + retry_delay_s, self._arrive, caller)
