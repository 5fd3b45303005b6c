"""Whether a service can still take a request, and when to come back if not.

The load that it answers: more requests than a group of engines bears, for seconds at a
time. A queue that makes everybody late serves nobody in time, so a request that would
wait longer than its route allows is refused at once, while those that have been taken
stay on time. A group that is down is not asked at all.
"""

import dataclasses
import math

from sequoiagap.gateway import _outage

WAIT_SHARE = 0.6  # of the target latency that may be spent in a queue
SERVICE_WEIGHT = 0.1  # of the newest answer in the mean time of service
FULL_RETRY_S = 0.6
COLD_RETRY_S = 0.9  # by then another second's share is free
WAITS_UNTIL_RETRY = 4.0  # of the wait now; overload lasts longer than one queue
MAX_FULL_RETRY_S = 2.4
RETRY_SPREAD = 0.5  # share of the time to come back by which callers are spread


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What admission says of a request.

    :param bool is_admitted: whether an endpoint may be asked.
    :param str reason: why not; empty for an admitted one.
    :param float retry_after_s: when to come back, in seconds.
    """

    is_admitted: bool
    reason: str = ""
    retry_after_s: float = 0.0


class ServiceAdmission:
    """Admits requests of one service.

    :param random.Random random_state: spreads the times to come back at.

    :ivar float service_s: mean time of an answered request, in seconds; 0 if unknown.
    :ivar WaitingRoom room: requests that wait for the endpoints' group.
    """

    def __init__(self, random_state):
        self.random_state = random_state
        self.service_s = 0.0
        self.queue = _outage.OutageQueue()

    def record_answer(self, elapsed_s):
        """Learn from an answered request.

        :param float elapsed_s: time that the endpoint took.
        """
        if not self.service_s:
            self.service_s = elapsed_s
        self.service_s += SERVICE_WEIGHT * (elapsed_s - self.service_s)

    def decide(self, loads, target_latency_s, now, left_s=math.inf, known=()):
        """Judge a request.

        :param list loads: :class:`EndpointLoad` of the endpoints that may be asked.
        :param float target_latency_s: time in which its answer is on time; 0 for none.
        :param float now: monotonic time in seconds.
        :param float left_s: time that the caller has left, in seconds.
        :param list known: those of all endpoints, cold ones too that have got their
            share of this second.
        :rtype: Verdict
        """
        is_cold = any(not load.is_closed(now) for load in known)
        if is_cold and all(load.is_closed(now) for load in loads):
            return self._refuse("the endpoints are cold and have enough", COLD_RETRY_S)
        if not loads:
            return self._refuse(
                "no endpoint of the service takes requests", FULL_RETRY_S
            )
        open_loads = [load for load in loads if not load.is_closed(now)]
        if not open_loads:
            return Verdict(
                False,
                "the endpoints' group does not serve",
                _outage.outage_retry_delay_s(left_s, self.random_state),
            )
        if not target_latency_s or not self.service_s:
            return Verdict(True)
        wait_s = min(self._wait(load, now) for load in open_loads)
        if wait_s <= WAIT_SHARE * target_latency_s:
            return Verdict(True)
        reason = f"all endpoints are full for {wait_s:.2f} s"
        retry_s = max(FULL_RETRY_S, WAITS_UNTIL_RETRY * wait_s)
        return self._refuse(reason, min(retry_s, MAX_FULL_RETRY_S))

    def _wait(self, load, now):
        """Return how long a request would wait for a slot, in seconds."""
        slots = max(load.endpoint.slots, 1)
        ahead = load.expected(now) - slots + 1
        return max(ahead, 0) * self.service_s / slots

    def _refuse(self, reason, retry_after_s):
        spread = 1.0 + RETRY_SPREAD * (self.random_state.random() - 0.5)
        return Verdict(False, reason, retry_after_s * spread)
