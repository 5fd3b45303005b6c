"""Estimates the load of endpoints and chooses the least loaded one.

Several gateways send tens of requests per second to a group of engines with few slots
each. A gateway sees only its own requests at once; agents report those of the other
gateways some tens of milliseconds later.
"""

import dataclasses

REPORT_LAG_S = 0.05  # a request sent this long before a report may be missing from it
MAX_REPORT_AGE_S = 1.5  # older reports are ignored
SILENT_S = 0.4  # without a report; agents send one at least every 0.25 s
GROUP_HEARD_S = 0.3  # age of the newest report of another rank of the group
REPLACED_S = 1.5  # by then the registry lists the process that started
UNKNOWN_OUTAGE_S = 3.0  # assumed age of an outage whose start was not seen
SUSPECT_S = 1.0
MAX_SUSPECT_S = 8.0
MAX_SUSPECT_DOUBLINGS = 3  # more would exceed the longest pause
COLD_WINDOW_S = 1.0
SLOW_RANK = 1.15  # slowness above which a rank delays its whole group
SLOW_RANK_SHARE = 0.6  # load, as a share of its slots, that is added to a slow rank


@dataclasses.dataclass
class GroupState:
    """Tracks whether a rank group serves, by the reports of its ranks.

    One rank that reports its group down overrides the others until the group re-forms:
    ranks that are cut off don't notice it.

    :ivar int epoch: how often the group has formed.
    :ivar bool is_open: whether it serves.
    :ivar float updated_at: when a report last confirmed this, monotonic seconds.
    :ivar float closed_at: when the current outage was first reported, monotonic
        seconds.
    :ivar float reported_at: when any of its ranks last reported, monotonic seconds.
    """

    epoch: int = -1
    is_open: bool = True
    updated_at: float = 0.0
    closed_at: float = 0.0
    reported_at: float = 0.0

    def update(self, epoch, is_open, now):
        """Apply a rank's report.

        :param int epoch: epoch of the group in the report.
        :param bool is_open: whether the report says that the group serves.
        :param float now: monotonic time in seconds.
        """
        if epoch < self.epoch:
            return
        if self.is_open and not is_open:
            is_known = self.epoch >= 0
            self.closed_at = now if is_known else now - UNKNOWN_OUTAGE_S
        if epoch > self.epoch:
            self.epoch, self.is_open = epoch, is_open
            self.updated_at = now
        elif not is_open or self.is_open:
            self.is_open = is_open
            self.updated_at = now

    def is_closed(self, now):
        """Return whether the group is known not to serve now.

        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        return not self.is_open and now - self.updated_at <= MAX_REPORT_AGE_S


@dataclasses.dataclass
class EndpointLoad:
    """Load and health of an endpoint, as far as this gateway knows them.

    :param routes.Endpoint endpoint: the endpoint.

    :ivar dict sent_at_by_attempt: send times of own requests in flight, by attempt id.
    :ivar LoadSample sample: newest report, or ``None``.
    :ivar float sampled_at: when the report was made, monotonic seconds.
    :ivar GroupState group: state of its rank group, or ``None``.
    :ivar float suspect_until: until then it is chosen last, monotonic seconds.
    :ivar int failures: failures in a row.
    :ivar float cold_until: until then it accepts few requests, suspend-aware seconds.
    :ivar list cold_sends: send times of the requests sent while it was cold.
    :ivar float slowness: last reported ratio of its processing time to the usual one.
    :ivar float replaced_at: when a report first named a later start at its address,
        monotonic seconds, or ``None``.
    :ivar admission.LimitShare cold_share: part that this gateway has in its rate while
        it is cold, or ``None``.
    :ivar admission.RateLimit rate_limit: limit that it has stated, or ``None``.
    """

    endpoint: object
    sent_at_by_attempt: dict = dataclasses.field(default_factory=dict)
    sample: object = None
    sampled_at: float = 0.0
    group: GroupState | None = None
    suspect_until: float = 0.0
    failures: int = 0
    cold_until: float = 0.0
    cold_sends: list = dataclasses.field(default_factory=list)
    slowness: float = 1.0
    replaced_at: float | None = None
    cold_share: object = None
    rate_limit: object = None

    def expected(self, now):
        """Return the estimated number of requests at the endpoint.

        :param float now: monotonic time in seconds.
        :rtype: int
        """
        own = len(self.sent_at_by_attempt)
        if self.sample is None or now - self.sampled_at > MAX_REPORT_AGE_S:
            return own
        since = self.sampled_at - REPORT_LAG_S
        unreported = sum(1 for at in self.sent_at_by_attempt.values() if at > since)
        return max(own, self.sample.running + self.sample.waiting + unreported)

    def is_closed(self, now):
        """Return whether the endpoint or its group is known not to serve now.

        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        if self._is_replaced(now):
            return True
        return self.group is not None and self.group.is_closed(now)

    def closed_for(self, now):
        """Return for how long the endpoint has been known not to serve, in seconds.

        :param float now: monotonic time in seconds.
        :rtype: float
        """
        if self.group is not None and self.group.is_closed(now):
            return now - self.group.closed_at
        if self._is_replaced(now):
            return UNKNOWN_OUTAGE_S + now - self.replaced_at
        return 0.0

    def is_silent(self, now, min_silence_s=SILENT_S):
        """Return whether its agent is silent while others of the group report.

        Its host then hangs or is cut off, and answers nobody.

        :param float now: monotonic time in seconds.
        :param float min_silence_s: shortest silence that counts, in seconds.
        :rtype: bool
        """
        if self.group is None or self.sample is None:
            return False
        is_group_heard = now - self.group.reported_at <= GROUP_HEARD_S
        return is_group_heard and now - self.sampled_at > min_silence_s

    def record_start(self, started_ms, now):
        """Record the reported start time of the process at its address.

        :param int started_ms: Unix milliseconds; 0 if not known.
        :param float now: monotonic time in seconds.
        :returns: whether this is the first report of a later start than the
            registered one.
        :rtype: bool
        """
        registered_ms = self.endpoint.started_ms
        if not registered_ms or started_ms <= registered_ms:
            return False
        is_news = self.replaced_at is None
        if is_news:
            self.replaced_at = now
        return is_news

    def _is_replaced(self, now):
        return self.replaced_at is not None and now - self.replaced_at <= REPLACED_S

    def record_sample(self, sample, at):
        """Record a report unless a newer one is stored.

        :param LoadSample sample: the report.
        :param float at: when it was made, monotonic seconds.
        """
        if at >= self.sampled_at:
            self.sample = sample
            self.sampled_at = at

    def record_failure(self, now):
        """Choose the endpoint last for a while, longer with each failure."""
        self.failures += 1
        doublings = min(self.failures - 1, MAX_SUSPECT_DOUBLINGS)
        pause_s = min(SUSPECT_S * 2**doublings, MAX_SUSPECT_S)
        self.suspect_until = now + pause_s

    def record_success(self):
        """Clear the failures of the endpoint."""
        self.failures = 0
        self.suspect_until = 0.0


class EndpointChooser:
    """Chooses the endpoint with the least load for its slots and speed.

    :param random.Random random_state: breaks ties, so that gateways with the same
        reports do not all choose the same endpoint.
    :param str failure_domain: own failure domain, preferred among equals.
    """

    def __init__(self, random_state, failure_domain=""):
        self.random_state = random_state
        self.failure_domain = failure_domain

    def choose(self, loads, now, tried=()):
        """Return the load of the endpoint to use.

        :param list loads: :class:`EndpointLoad` of each candidate.
        :param float now: monotonic time in seconds.
        :param collections.abc.Container tried: ids that are chosen only if there is no
            other.
        :rtype: EndpointLoad | None
        """
        best, best_key = None, None
        for load in loads:
            key = self._key(load, now, tried)
            if best is None or key < best_key:
                best, best_key = load, key
        return best

    def _key(self, load, now, tried):
        endpoint = load.endpoint
        share = (load.expected(now) + 1) / max(endpoint.slots, 1) * load.slowness
        if load.group is not None and load.slowness > SLOW_RANK:
            share += SLOW_RANK_SHARE
        is_far = endpoint.failure_domain != self.failure_domain
        return (
            endpoint.endpoint_id in tried,
            now < load.suspect_until or load.is_silent(now),
            share,
            is_far,
            self.random_state.random(),
        )


def is_down(loads, now):
    """Return whether there are endpoints and none of their groups serves.

    :param list loads: :class:`EndpointLoad` of each.
    :param float now: monotonic time in seconds.
    :rtype: bool
    """
    return bool(loads) and all(load.is_closed(now) for load in loads)


def may_send_to_cold(load, allowed, now):
    """Return whether a cold endpoint may receive one more request now.

    :param EndpointLoad load: the endpoint.
    :param float allowed: requests per second that this gateway may send it.
    :param float now: monotonic time in seconds.
    :rtype: bool
    """
    load.cold_sends = [at for at in load.cold_sends if now - at < COLD_WINDOW_S]
    return len(load.cold_sends) + 1 <= allowed
