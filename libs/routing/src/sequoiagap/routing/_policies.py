"""Registered policies; each takes candidates and a random generator."""

from sequoiagap import base

POLICIES = base.Registry("policy")
DEFAULT_SERVICE_TIME_S = 0.2
CHOICES = 2


def expected_wait_s(endpoint):
    """Return the wait that an attempt would meet, in seconds.

    :param EndpointView endpoint: the endpoint.
    :rtype: float

    >>> from sequoiagap.routing import EndpointView
    >>> view = EndpointView("e", "a", frozenset(), limit=2, own_in_flight=4)
    >>> expected_wait_s(view)
    0.4
    """
    in_flight = max(endpoint.reported_in_flight, endpoint.own_in_flight)
    service_time = endpoint.service_time_s or DEFAULT_SERVICE_TIME_S
    return service_time * (in_flight + endpoint.queued) / max(endpoint.limit, 1)


@POLICIES.register("round_robin")
class RoundRobin:
    """Takes endpoints in turn; a baseline."""

    def __init__(self):
        self._next = 0

    def choose(self, candidates, random_state):
        """Return the next candidate.

        :param list[EndpointView] candidates: at least one.
        :param random.Random random_state: not used.
        :rtype: EndpointView
        """
        self._next += 1
        return candidates[self._next % len(candidates)]


@POLICIES.register("least_in_flight")
class LeastInFlight:
    """Takes the endpoint with the fewest attempts of this entry; a baseline."""

    def choose(self, candidates, random_state):
        """Return a candidate with the fewest own attempts.

        :param list[EndpointView] candidates: at least one.
        :param random.Random random_state: breaks ties.
        :rtype: EndpointView
        """
        return min(candidates, key=lambda e: (e.own_in_flight, random_state.random()))


@POLICIES.register("expected_wait")
class ExpectedWait:
    """Takes the shorter expected wait of two random endpoints.

    Two choices instead of all keep entries that see the same idle endpoint
    from rushing it together.
    """

    def choose(self, candidates, random_state):
        """Return the better of a random pair of candidates.

        :param list[EndpointView] candidates: at least one.
        :param random.Random random_state: draws the pair.
        :rtype: EndpointView
        """
        pair = random_state.sample(candidates, min(CHOICES, len(candidates)))
        return min(pair, key=expected_wait_s)
