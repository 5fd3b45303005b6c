"""Queues or rejects requests while the group of a service's engines is down.

Tens of requests per second arrive during the seconds in which a group lacks a rank.
Once the group may recover at any moment, requests wait here for as long as callers
wait for a first event, and proceed as soon as it serves; half of the capacity is
reserved for callers that retry. All others are rejected at once, with the longest
retry delay that callers honour.
"""

import dataclasses

CHECK_INTERVAL_S = 0.05
RETRY_DELAY_SHARE = 0.33  # of the remaining time; callers ignore longer delays
MAX_RETRY_DELAY_S = 2.65
MIN_RETRY_DELAY_S = 0.25
RETRY_DELAY_SPREAD = 0.06  # keeps callers apart that were rejected together
REPEAT_REMAINING_SHARE = 0.9  # of the route's timeout; a first call has more left
FIRST_EVENT_S = 0.3  # from the end of the wait until the caller has the first event
ANSWER_TIME_FACTOR = 1.3  # of the mean, for a complete answer right after an outage
SHORT_OUTAGE_S = 3.5  # a rank rarely returns, and its group re-forms, in less
LONG_OUTAGE_S = 9.0  # an outage that has lasted longer is not expected to end in time
FIRST_ARRIVAL_SHARE = 0.5  # of the capacity, for callers that can still retry


def outage_retry_delay_s(remaining_s, random_state):
    """Return the retry delay for a caller rejected during an outage, in seconds.

    :param float remaining_s: time until the caller's deadline, in seconds.
    :param random.Random random_state: adds a little jitter.
    :rtype: float
    """
    longest = min(MAX_RETRY_DELAY_S, RETRY_DELAY_SHARE * remaining_s)
    spread = 1.0 - RETRY_DELAY_SPREAD * random_state.random()
    return max(longest * spread, MIN_RETRY_DELAY_S)


@dataclasses.dataclass(frozen=True)
class Caller:
    """Deadline and patience of the caller of a request.

    :param float arrived_at: when the request arrived, monotonic seconds.
    :param float deadline: when its final answer is due, monotonic seconds.
    :param float route_timeout_s: time that its route allows for an answer, in seconds.
    :param float patience_s: how long it waits for a first event, in seconds; 0 if
        that is not known.
    """

    arrived_at: float
    deadline: float
    route_timeout_s: float
    patience_s: float

    @property
    def is_repeat_caller(self):
        """Whether its request has likely been rejected before."""
        return (
            self.deadline - self.arrived_at
            < REPEAT_REMAINING_SHARE * self.route_timeout_s
        )


class OutageQueue:
    """Requests of one service that wait for its group.

    :ivar int waiting_: number of waiting requests.
    """

    def __init__(self):
        self.waiting_ = 0

    def wait_deadline(self, caller, outage_s, service_s, capacity, now):
        """Return until when a request may wait; ``now`` if it should not.

        :param Caller caller: caller of the request.
        :param float outage_s: age of the outage, in seconds.
        :param float service_s: mean time of a complete answer, in seconds.
        :param int capacity: requests that may wait here at once.
        :param float now: monotonic time in seconds.
        :rtype: float
        """
        allowed = (
            capacity if caller.is_repeat_caller else int(capacity * FIRST_ARRIVAL_SHARE)
        )
        if not caller.patience_s or self.waiting_ >= allowed:
            return now
        until = min(
            caller.arrived_at + caller.patience_s - FIRST_EVENT_S,
            caller.deadline - ANSWER_TIME_FACTOR * service_s,
        )
        if outage_s > LONG_OUTAGE_S or outage_s + until - now < SHORT_OUTAGE_S:
            return now
        return max(until, now)

    def __enter__(self):
        self.waiting_ += 1
        return self

    def __exit__(self, *exc_info):
        self.waiting_ -= 1
