"""What an entry believes of an endpoint."""

import dataclasses

SILENCE_THRESHOLD_S = 0.15
SILENT_PENALTY_S = 10.0
FULL_WAIT_FACTOR = 1.0
REPORT_HALF_LIFE_S = 2.0
DEFAULT_SERVICE_TIME_S = 0.2
FULL_REQUEST_ROLE = "both"


@dataclasses.dataclass
class EndpointView:
    """An endpoint as one entry sees it; the agent holds the truth.

    :param str endpoint_id: id of the endpoint and of its agent.
    :param str failure_domain: where it stands.
    :param frozenset serves: models or services that it serves.
    :param str state: last state that the agent reported.
    :param int limit: attempts that it may run at once, as reported.
    :param int reported_in_flight: attempts of all entries, as reported.
    :param int own_in_flight: attempts that this entry has there now.
    :param int queued: attempts that wait at the agent, as reported.
    :param float service_time_s: recent mean time of an attempt in seconds.
    :param bool connected: whether its agent can be reached.
    :param int own_at_report: own attempts when the report came.
    :param float reported_at: when the report came, monotonic time in seconds.
    :param str role: what it does of a request, as reported.
    :param float unanswered_s: for how long its agent has left a heartbeat
        unanswered, in seconds.
    """

    endpoint_id: str
    failure_domain: str
    serves: frozenset
    state: str = "unknown"
    limit: int = 1
    reported_in_flight: int = 0
    own_in_flight: int = 0
    queued: int = 0
    service_time_s: float = 0.0
    connected: bool = False
    own_at_report: int = 0
    reported_at: float = 0.0
    unanswered_s: float = 0.0
    role: str = FULL_REQUEST_ROLE

    @property
    def is_silent(self):
        """Whether its agent has left a heartbeat unanswered for too long."""
        return self.unanswered_s > SILENCE_THRESHOLD_S

    def record_report(self, load, now):
        """Take what the agent says.

        :param load: message with the fields of the same names.
        :param float now: monotonic time in seconds.
        """
        self.state = load.state
        self.limit = load.limit
        self.reported_in_flight = load.in_flight
        self.queued = load.queued
        self.service_time_s = load.service_time_s
        self.role = load.role
        self.own_at_report = self.own_in_flight
        self.reported_at = now

    def expected_in_flight(self, now):
        """Return how many attempts are expected to run and wait there.

        Own attempts are known; those of other entries are as reported, and the
        older the report, the less it counts.

        :param float now: monotonic time in seconds.
        :rtype: float

        >>> view = EndpointView("e", "a", frozenset(), reported_in_flight=8)
        >>> view.expected_in_flight(0.0), view.expected_in_flight(2.0)
        (8.0, 4.0)
        """
        others = max(self.reported_in_flight + self.queued - self.own_at_report, 0)
        age = max(now - self.reported_at, 0.0)
        return self.own_in_flight + others * 0.5 ** (age / REPORT_HALF_LIFE_S)

    def free_slots(self, now):
        """Return how many more attempts it is expected to take at once.

        A silent endpoint is expected to take none; it may be lost.

        :param float now: monotonic time in seconds.
        :rtype: int
        """
        if self.is_silent:
            return 0
        return max(self.limit - round(self.expected_in_flight(now)), 0)

    def expected_wait_s(self, now):
        """Return the delay that an attempt would meet, in seconds.

        It grows with the share of the slots in use; an endpoint without a free
        slot costs the time until one is free on top.

        :param float now: monotonic time in seconds.
        :rtype: float

        >>> view = EndpointView("e", "a", frozenset(), limit=4, own_in_flight=2)
        >>> view.expected_wait_s(0.0)
        0.1
        """
        service_time_s = self.service_time_s or DEFAULT_SERVICE_TIME_S
        utilization = self.expected_in_flight(now) / max(self.limit, 1)
        full_factor = FULL_WAIT_FACTOR if utilization >= 1.0 else 0.0
        penalty_s = SILENT_PENALTY_S if self.is_silent else 0.0
        return service_time_s * (utilization + full_factor) + penalty_s
