"""What an entry believes of an endpoint."""

import dataclasses


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
