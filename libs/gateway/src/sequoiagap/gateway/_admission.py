"""Admission control: whether a service can take a request now, or when to retry.

If a group of engines receives more requests than it can serve for some seconds, a long
queue delays every request past its target. A request that would wait longer than its
route allows is therefore rejected at once, and admitted requests stay on time. A group
that is down receives no requests.
"""

import dataclasses
import math

from sequoiagap.gateway import _outage

WAIT_SHARE = 0.6  # of the target latency that may be spent in a queue
SERVICE_WEIGHT = 0.1  # weight of the newest answer in the mean service time
FULL_RETRY_S = 0.6
COLD_RETRY_S = 0.9  # by then the next second's share is available
RETRY_WAIT_FACTOR = 4.0  # times the current wait; overload outlasts one queue
MAX_FULL_RETRY_S = 2.4
MAX_PAUSE_RETRY_S = 60.0  # an endpoint may start anew before a long pause ends
RETRY_SPREAD = 0.5  # jitter, as a share of the retry delay


@dataclasses.dataclass(frozen=True)
class AdmissionDecision:
    """Decision about a request.

    :param bool is_admitted: whether the request may be sent to an endpoint.
    :param str reason: why not; empty for an admitted request.
    :param float retry_after_s: delay before the caller retries, in seconds.
    """

    is_admitted: bool
    reason: str = ""
    retry_after_s: float = 0.0


class ServiceAdmission:
    """Decides on the requests of one service.

    :param random.Random random_state: adds jitter to retry delays.

    :ivar float service_s: mean time of an answered request, in seconds; 0 if unknown.
    :ivar OutageQueue queue: requests that wait for the endpoints' group.
    """

    def __init__(self, random_state):
        self.random_state = random_state
        self.service_s = 0.0
        self.queue = _outage.OutageQueue()

    def record_answer(self, elapsed_s):
        """Update the mean service time with an answered request.

        :param float elapsed_s: time that the endpoint took, in seconds.
        """
        if not self.service_s:
            self.service_s = elapsed_s
        self.service_s += SERVICE_WEIGHT * (elapsed_s - self.service_s)

    def decide(self, loads, target_latency_s, now, remaining_s=math.inf, all_loads=()):
        """Decide whether a request is admitted.

        :param list loads: :class:`EndpointLoad` of endpoints that may be used.
        :param float target_latency_s: target latency in seconds; 0 for none.
        :param float now: monotonic time in seconds.
        :param float remaining_s: time until the caller's deadline, in seconds.
        :param list all_loads: loads of all endpoints, also of cold ones that have used
            up their share of this second.
        :rtype: AdmissionDecision
        """
        is_cold = any(not load.is_closed(now) for load in all_loads)
        if is_cold and all(load.is_closed(now) for load in loads):
            return self._reject("cold endpoints are at their rate limit", COLD_RETRY_S)
        if not loads:
            return self._reject(
                "no endpoint of the service accepts requests", FULL_RETRY_S
            )
        open_loads = [load for load in loads if not load.is_closed(now)]
        if not open_loads:
            return AdmissionDecision(
                False,
                "the endpoints' group does not serve",
                _outage.outage_retry_delay_s(remaining_s, self.random_state),
            )
        if not target_latency_s or not self.service_s:
            return AdmissionDecision(True)
        wait_s = min(self._wait(load, now) for load in open_loads)
        if wait_s <= WAIT_SHARE * target_latency_s:
            return AdmissionDecision(True)
        reason = f"all endpoints are full for {wait_s:.2f} s"
        retry_s = max(FULL_RETRY_S, RETRY_WAIT_FACTOR * wait_s)
        return self._reject(reason, min(retry_s, MAX_FULL_RETRY_S))

    def refuse_limited(self, wait_s):
        """Return the refusal of a request above the limits that endpoints state.

        :param float wait_s: time until an endpoint takes one more request from this
            gateway, in seconds; infinity if only other gateways may send it one.
        :rtype: AdmissionDecision
        """
        reason = "all endpoints are at the rate limit that they state"
        retry_s = wait_s if math.isfinite(wait_s) else 0.0
        return self._reject(reason, min(max(retry_s, FULL_RETRY_S), MAX_FULL_RETRY_S))

    def refuse_paused(self, wait_s):
        """Return the refusal of a request for which all endpoints are paused.

        Callers come back after the end of the first pause, and not all at once.

        :param float wait_s: time until the first pause ends, in seconds.
        :rtype: AdmissionDecision
        """
        reason = "all endpoints want no requests for now"
        retry_s = max(min(wait_s, MAX_PAUSE_RETRY_S), FULL_RETRY_S)
        spread = 1.0 + RETRY_SPREAD * self.random_state.random()
        return AdmissionDecision(False, reason, retry_s * spread)

    def _wait(self, load, now):
        """Return how long a request would wait for a slot, in seconds."""
        slots = max(load.endpoint.slots, 1)
        ahead = load.expected(now) - slots + 1
        return max(ahead, 0) * self.service_s / slots

    def _reject(self, reason, retry_after_s):
        spread = 1.0 + RETRY_SPREAD * (self.random_state.random() - 0.5)
        return AdmissionDecision(False, reason, retry_after_s * spread)
