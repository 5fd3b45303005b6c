"""State of an endpoint as an entry estimates it from reports."""

import dataclasses

SILENCE_THRESHOLD_S = 0.15
SILENT_PENALTY_S = 10.0
FULL_WAIT_FACTOR = 1.0
REPORT_HALF_LIFE_S = 2.0
DEFAULT_SERVICE_TIME_S = 0.2
FULL_REQUEST_ROLE = "both"


@dataclasses.dataclass
class EndpointView:
    """State of an endpoint as one entry knows it; its agent is authoritative.

    :param str endpoint_id: id of the endpoint and of its agent.
    :param str failure_domain: failure domain of the endpoint.
    :param frozenset serves: models or services that it serves.
    :param str state: state that the agent reported last.
    :param int limit: reported maximum number of concurrent attempts.
    :param int reported_in_flight: reported number of attempts of all entries.
    :param int own_in_flight: number of attempts of this entry that run there now.
    :param int queued: reported number of attempts queued at the agent.
    :param float service_time_s: recent mean time of an attempt, in seconds.
    :param bool connected: whether the agent is reachable.
    :param int own_at_report: number of own attempts when the last report arrived.
    :param float reported_at: arrival of the last report, monotonic time in seconds.
    :param str role: reported role, see :class:`sequoiagap.admission.EndpointRole`.
    :param float unanswered_s: time for which the agent has left a heartbeat
        unanswered, in seconds; 0 if none is pending.
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
        """Whether the agent has not answered a heartbeat in time."""
        return self.unanswered_s > SILENCE_THRESHOLD_S

    def record_report(self, load, now):
        """Record a load report of the agent.

        :param sequoiagap.wire.Load load: the report.
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
        """Return the estimated number of attempts that run or wait at the endpoint.

        Own attempts are counted exactly. Those of other entries are taken from the
        last report and decay exponentially with its age.

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
        """Return the estimated number of free slots.

        A silent endpoint may be lost and counts as having none.

        :param float now: monotonic time in seconds.
        :rtype: int
        """
        if self.is_silent:
            return 0
        return max(self.limit - round(self.expected_in_flight(now)), 0)

    def expected_wait_s(self, now):
        """Return the expected delay of a new attempt, in seconds.

        The delay grows with the share of slots in use. An endpoint without a free slot
        adds the time until one becomes free.

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
