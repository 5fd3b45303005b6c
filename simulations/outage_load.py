"""Callers, gateways and a group that lacks a rank for some seconds, on virtual time.

The gateways decide by the real code of :mod:`sequoiagap.gateway`; policies to compare
with stand beside it. Callers come back once at most, heed no longer time to come back
than a third of what they have left, and leave when no first event comes.
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
CALLERS_S = 60.0  # over all gateways
LENGTH_S = 22.0
OUTAGE_AT_S = 6.0
STALL_S = 1.5  # from the loss of a rank until the group says so
DEADLINE_S = 8.0
PATIENCE_S = 2.0
TARGET_S = 0.4
FIRST_EVENT_S = 0.16
ANSWER_S = 1.2
REPORT_S = 0.1
HEEDED_SHARE = 1 / 3


class Result(enum.StrEnum):
    """What a caller got in the end."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    REFUSED_AGAIN = "refused_again"
    LEFT = "left"
    CUT = "cut"


@dataclasses.dataclass
class Caller:
    """One caller and what it has tried.

    :ivar float came_at: when it first came.
    :ivar int tries: how often it has come.
    :ivar int refusals: how often it was refused.
    """

    came_at: float
    tries: int = 0
    refusals: int = 0


@dataclasses.dataclass(frozen=True)
class Decision:
    """What a gateway does with a request while the group does not serve.

    :param float wait_until: until when it waits; the time now for not at all.
    :param float retry_after_s: when to come back, if it is refused then.
    """

    wait_until: float
    retry_after_s: float


POLICY_BY_NAME = {}


def policy(name):
    """Register a function of world, room, caller, time left and now."""

    def register(function):
        POLICY_BY_NAME[name] = function
        return function

    return register


@policy("refuse at once, back soon")
def _refuse_soon(world, room, caller, left_s, now):
    return Decision(now, 0.25 * (1.0 + world.random.random()))


@policy("refuse at once, back in 1.8 to 3 s")
def _refuse_late(world, room, caller, left_s, now):
    return Decision(now, 2.4 * (0.75 + 0.5 * world.random.random()))


@policy("everybody waits")
def _wait(world, room, caller, left_s, now):
    return Decision(now + PATIENCE_S - 0.3, 0.25)


@policy("gateway")
def _decide(world, room, caller, left_s, now):
    who = _outage.Caller(now, now + left_s, DEADLINE_S, PATIENCE_S)
    places = ENDPOINTS * SLOTS // GATEWAYS
    until = room.wait_deadline(who, world.outage_age(now), ANSWER_S, places, now)
    later_s = left_s - (until - now)
    return Decision(until, _outage.outage_retry_delay_s(later_s, world.random))


class Gateway:
    """What one gateway knows of the endpoints."""

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
    """Plays one outage.

    :param int seed: seed of every choice.
    :param str policy_name: what gateways do while the group does not serve.
    :param float outage_s: from the loss of the rank until the group serves again.

    :ivar collections.Counter count_by_result_: callers by :class:`Result`.
    :ivar int waited_in_vain_: requests that waited and were refused then.
    """

    def __init__(self, seed, policy_name, outage_s):
        self.random = random.Random(seed)
        self.decide = POLICY_BY_NAME[policy_name]
        self.opens_at = OUTAGE_AT_S + outage_s
        self.closes_at = OUTAGE_AT_S + STALL_S
        self.gateways = [Gateway(self.random) for _ in range(GATEWAYS)]
        self.running = [set() for _ in range(ENDPOINTS)]
        self.count_by_result_ = collections.Counter()
        self.waited_in_vain_ = 0
        self._events = []
        self._numbers = itertools.count()

    def run(self):
        """Play until every caller has its end; return the world.

        :rtype: OutageWorld
        """
        at = 0.0
        while at < LENGTH_S:
            at += self.random.expovariate(CALLERS_S)
            self._at(at, self._come, Caller(at))
        for tick in range(int((LENGTH_S + DEADLINE_S) / REPORT_S)):
            self._at(tick * REPORT_S, self._report)
        self._at(self.closes_at, self._cut_all)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self

    def outage_age(self, now):
        """Return for how long gateways know that the group does not serve."""
        return now - self.closes_at

    def _at(self, when, action, *arguments):
        heapq.heappush(self._events, (when, next(self._numbers), action, arguments))

    def _is_open(self, now):
        return not self.closes_at <= now < self.opens_at

    def _is_lost(self, now):
        return OUTAGE_AT_S <= now < self.opens_at

    def _report(self, now):
        for index, running in enumerate(self.running):
            sample = gateway.LoadSample(len(running), 0, SLOTS)
            for known in self.gateways:
                known.loads[index].record_sample(sample, now)
        for known in self.gateways:
            epoch = 2 if now >= self.opens_at else 1
            known.loads[0].group.update(epoch, self._is_open(now), now)

    def _come(self, now, caller):
        caller.tries += 1
        known = self.random.choice(self.gateways)
        if self._is_open(now):
            self._send(now, caller, known)
            return
        left_s = caller.came_at + DEADLINE_S - now
        room = known.admission.queue
        decision = self.decide(self, room, caller, left_s, now)
        if decision.wait_until <= now:
            self._refuse(now, caller, decision.retry_after_s)
            return
        room.__enter__()
        at = min(decision.wait_until, max(self.opens_at, now))
        if at > now + PATIENCE_S - FIRST_EVENT_S:
            self._at(now + PATIENCE_S, self._leave, known)
            return
        self._at(at, self._end_wait, caller, known, decision)

    def _leave(self, now, known):
        known.admission.queue.__exit__()
        self.count_by_result_[Result.LEFT] += 1

    def _end_wait(self, now, caller, known, decision):
        known.admission.queue.__exit__()
        if self._is_open(now):
            self._send(now, caller, known)
            return
        self.waited_in_vain_ += 1
        self._refuse(now, caller, decision.retry_after_s)

    def _send(self, now, caller, known):
        verdict = known.admission.decide(known.loads, TARGET_S, now)
        if not verdict.is_admitted:
            self._refuse(now, caller, verdict.retry_after_s)
            return
        load = known.chooser.choose(known.loads, now)
        index = known.loads.index(load)
        attempt = (id(caller), caller.tries)
        if self._is_lost(now):
            self._at(self.closes_at, self._refuse_stalled, caller)
            return
        load.sent_at_by_attempt[attempt] = now
        self.running[index].add(attempt)
        self._at(now + ANSWER_S, self._answer, caller, load, index, attempt, now)

    def _answer(self, now, caller, load, index, attempt, sent_at):
        load.sent_at_by_attempt.pop(attempt, None)
        if attempt not in self.running[index]:
            self.count_by_result_[Result.CUT] += 1
            return
        self.running[index].discard(attempt)
        is_in_time = sent_at + FIRST_EVENT_S - caller.came_at <= TARGET_S
        self.count_by_result_[Result.IN_TIME if is_in_time else Result.LATE] += 1

    def _cut_all(self, now):
        for running in self.running:
            running.clear()

    def _refuse_stalled(self, now, caller):
        left_s = caller.came_at + DEADLINE_S - now
        decision = self.decide(self, _outage.OutageQueue(), caller, left_s, now)
        self._refuse(now, caller, decision.retry_after_s)

    def _refuse(self, now, caller, retry_after_s):
        caller.refusals += 1
        if caller.tries > 1:
            self.count_by_result_[Result.REFUSED_AGAIN] += 1
            return
        left_s = caller.came_at + DEADLINE_S - now
        back_s = min(retry_after_s, HEEDED_SHARE * left_s)
        if left_s - back_s < ANSWER_S:
            self.count_by_result_[Result.REFUSED] += 1
            return
        self._at(now + back_s, self._come, caller)
