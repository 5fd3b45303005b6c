"""What becomes of requests while the group of a service's engines does not serve.

The load that it answers: tens of requests a second during the seconds in which a group
is without a rank. Once the group may be back at any moment, requests wait here for as
long as callers wait for a first event, and go on as soon as it serves; half of the
places are kept for callers that have come back before. Everybody else is refused at
once and told to come back, as late as callers heed.
"""

import dataclasses

CHECK_INTERVAL_S = 0.05
COME_BACK_SHARE = 0.33  # of the time left; callers heed no longer time to come back
MAX_COME_BACK_S = 2.65
MIN_COME_BACK_S = 0.25
COME_BACK_SPREAD = 0.06  # keeps callers apart that were refused at the same moment
RETURNED_SHARE = 0.9  # of its route's time; with less left a caller was here before
FIRST_EVENT_S = 0.3  # from the end of the wait until the caller has the first event
SERVICE_TIMES = 1.3  # of the mean, for a whole answer right after an outage
SHORT_OUTAGE_S = 3.5  # a rank hardly comes back, and its group forms, in less
LONG_OUTAGE_S = 9.0  # one that has lasted longer is not expected to end in time
FIRST_SHARE = 0.5  # of the places that those may take who can come back


def outage_retry_delay_s(left_s, random_state):
    """Return when a caller should come back that is refused during an outage.

    :param float left_s: time that the caller has left, in seconds.
    :param random.Random random_state: spreads the times a little.
    :rtype: float
    """
    longest = min(MAX_COME_BACK_S, COME_BACK_SHARE * left_s)
    spread = 1.0 - COME_BACK_SPREAD * random_state.random()
    return max(longest * spread, MIN_COME_BACK_S)


@dataclasses.dataclass(frozen=True)
class Caller:
    """What is known of the caller of a request.

    :param float came_at: when the request came, monotonic seconds.
    :param float ends_at: when its final answer is due, monotonic seconds.
    :param float route_s: time that its route allows for an answer, in seconds.
    :param float patience_s: how long it waits for a first event, in seconds; 0 if
        that is not known.
    """

    came_at: float
    ends_at: float
    route_s: float
    patience_s: float

    @property
    def has_returned(self):
        """Whether it has likely been refused before."""
        return self.ends_at - self.came_at < RETURNED_SHARE * self.route_s


class OutageQueue:
    """Requests of one service that wait for its group.

    :ivar int waiting_: how many there are now.
    """

    def __init__(self):
        self.waiting_ = 0

    def wait_deadline(self, caller, outage_s, service_s, places, now):
        """Return until when a request may wait; ``now`` if it should not.

        :param Caller caller: who sent it.
        :param float outage_s: how long the group has not served, in seconds.
        :param float service_s: mean time of a whole answer, in seconds.
        :param int places: requests that may wait here at once.
        :param float now: monotonic time in seconds.
        :rtype: float
        """
        allowed = places if caller.has_returned else int(places * FIRST_SHARE)
        if not caller.patience_s or self.waiting_ >= allowed:
            return now
        until = min(
            caller.came_at + caller.patience_s - FIRST_EVENT_S,
            caller.ends_at - SERVICE_TIMES * service_s,
        )
        if outage_s > LONG_OUTAGE_S or outage_s + until - now < SHORT_OUTAGE_S:
            return now
        return max(until, now)

    def __enter__(self):
        self.waiting_ += 1
        return self

    def __exit__(self, *exc_info):
        self.waiting_ -= 1
