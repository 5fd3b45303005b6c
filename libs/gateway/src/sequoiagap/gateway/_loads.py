"""Choice of an endpoint by what is known of its load.

The load that it answers: tens of requests a second from several gateways to a group
of engines with few slots each. A gateway sees only its own requests at once; agents
tell the rest some tens of milliseconds later.
"""

import dataclasses

REPORT_LAG_S = 0.05  # a request sent this long before a report came may lack in it
REPORT_LIFE_S = 1.5  # older reports say nothing
SILENT_S = 0.4  # without a report; agents send one each 0.25 s at least
GROUP_HEARD_S = 0.3  # others of the group were heard this shortly before
REPLACED_S = 1.5  # by then the registry names what started anew
UNKNOWN_OUTAGE_S = 3.0  # taken for the age of one that began unseen
SUSPECT_S = 1.0
MAX_SUSPECT_S = 8.0
COLD_WINDOW_S = 1.0
SLOW_RANK = 1.15  # a rank that takes longer than this holds up its whole group
SLOW_RANK_SHARE = 0.6  # of its slots that count as taken where others have room


@dataclasses.dataclass
class GroupState:
    """Whether a rank group serves, by the reports of any of its ranks.

    One rank that says that its group is down is believed over the others, until the
    group forms anew: ranks that are cut off don't know.

    :ivar int epoch: how often it has formed.
    :ivar bool is_open: whether it serves.
    :ivar float heard_at: when that was last said, monotonic seconds.
    :ivar float closed_at: when it was first said not to serve since it last did.
    :ivar float reported_at: when any of its ranks reported last.
    """

    epoch: int = -1
    is_open: bool = True
    heard_at: float = 0.0
    closed_at: float = 0.0
    reported_at: float = 0.0

    def update(self, epoch, is_open, now):
        """Take what a rank says.

        :param int epoch: its epoch.
        :param bool is_open: whether it says that the group serves.
        :param float now: monotonic time in seconds.
        """
        if epoch < self.epoch:
            return
        if self.is_open and not is_open:
            is_known = self.epoch >= 0
            self.closed_at = now if is_known else now - UNKNOWN_OUTAGE_S
        if epoch > self.epoch:
            self.epoch, self.is_open = epoch, is_open
            self.heard_at = now
        elif not is_open or self.is_open:
            self.is_open = is_open
            self.heard_at = now

    def is_closed(self, now):
        """Return whether it is known not to serve now.

        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        return not self.is_open and now - self.heard_at <= REPORT_LIFE_S


@dataclasses.dataclass
class EndpointLoad:
    """What a gateway knows of an endpoint's load.

    :param routes.Endpoint endpoint: the endpoint.

    :ivar dict sent_at_by_attempt: own requests under way and when they were sent.
    :ivar LoadSample sample: newest report, or ``None``.
    :ivar float sampled_at: when the report was made, monotonic seconds.
    :ivar GroupState group: state of its rank group, or ``None``.
    :ivar float suspect_until: until when it is chosen last, monotonic seconds.
    :ivar int failures: failures in a row.
    :ivar float cold_until: until when it bears only a little, suspend-aware seconds.
    :ivar list cold_sends: times of the requests sent while it was cold.
    :ivar float slowness: time that it takes over the usual time, as last reported.
    :ivar float replaced_at: when it was heard that something started later at its
        address, monotonic seconds, or ``None``.
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

    def expected(self, now):
        """Return how many requests it has, as far as can be told.

        :param float now: monotonic time in seconds.
        :rtype: int
        """
        own = len(self.sent_at_by_attempt)
        if self.sample is None or now - self.sampled_at > REPORT_LIFE_S:
            return own
        since = self.sampled_at - REPORT_LAG_S
        unseen = sum(1 for at in self.sent_at_by_attempt.values() if at > since)
        return max(own, self.sample.running + self.sample.waiting + unseen)

    def is_closed(self, now):
        """Return whether it is known not to serve now, or its group is.

        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        if self._is_replaced(now):
            return True
        return self.group is not None and self.group.is_closed(now)

    def closed_for(self, now):
        """Return how long it is known not to serve, in seconds.

        :param float now: monotonic time in seconds.
        :rtype: float
        """
        if self.group is not None and self.group.is_closed(now):
            return now - self.group.closed_at
        if self._is_replaced(now):
            return UNKNOWN_OUTAGE_S + now - self.replaced_at
        return 0.0

    def is_silent(self, now, for_s=SILENT_S):
        """Return whether its agent fell silent while others of the group are heard.

        Its host stands still or is cut off, and answers nobody.

        :param float now: monotonic time in seconds.
        :param float for_s: how long at least, in seconds.
        :rtype: bool
        """
        if self.group is None or self.sample is None:
            return False
        is_group_heard = now - self.group.reported_at <= GROUP_HEARD_S
        return is_group_heard and now - self.sampled_at > for_s

    def take_start(self, started_ms, now):
        """Take when what listens at its address started.

        :param int started_ms: Unix milliseconds; 0 if not known.
        :param float now: monotonic time in seconds.
        :returns: whether that is news of another start than the registered one.
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
        """Take a report unless a newer one is known.

        :param LoadSample sample: the report.
        :param float at: when it was made, monotonic seconds.
        """
        if at >= self.sampled_at:
            self.sample = sample
            self.sampled_at = at

    def note_failure(self, now):
        """Choose the endpoint last for a while, longer with each failure."""
        self.failures += 1
        pause_s = min(SUSPECT_S * 2 ** (self.failures - 1), MAX_SUSPECT_S)
        self.suspect_until = now + pause_s

    def note_success(self):
        """Trust the endpoint again."""
        self.failures = 0
        self.suspect_until = 0.0


class EndpointChooser:
    """Chooses the endpoint with the least load for its slots and its speed.

    :param random.Random random_state: breaks ties, so that gateways which know the
        same do not all choose the same endpoint.
    :param str failure_domain: own failure domain, preferred among equals.
    """

    def __init__(self, random_state, failure_domain=""):
        self.random_state = random_state
        self.failure_domain = failure_domain

    def choose(self, loads, now, tried=()):
        """Return the load of the endpoint to use.

        :param list loads: :class:`EndpointLoad` of each candidate.
        :param float now: monotonic time in seconds.
        :param collections.abc.Container tried: ids to use only if there is no
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


def may_take_cold(load, allowed, now):
    """Return whether a cold endpoint may get one more request now.

    :param EndpointLoad load: the endpoint.
    :param float allowed: requests a second that this gateway may send it.
    :param float now: monotonic time in seconds.
    :rtype: bool
    """
    load.cold_sends = [at for at in load.cold_sends if now - at < COLD_WINDOW_S]
    return len(load.cold_sends) + 1 <= allowed
