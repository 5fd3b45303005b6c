"""Routing policies that choose an endpoint among candidates, registered by name."""

import xxhash

from sequoiagap import base
from sequoiagap.routing import _endpoint_view

POLICIES = base.Registry("policy")
NEAR_CHOICES = 2
FAR_CHOICES = 1
MEAN_SERVICE_TIME_WEIGHT = 0.02  # averages over about the last fifty samples
FAR_PENALTY_S = 0.005
COLD_PENALTY_S = 0.002
PREFILL_S_PER_BYTE = 25e-6
_COLD_STATES = frozenset({"cold", "warming"})


@POLICIES.register("round_robin")
class RoundRobin:
    """Baseline that chooses endpoints in turn."""

    def __init__(self):
        self._next = 0

    def choose(self, candidates, random_state, context):
        """Return the next candidate.

        :param list[EndpointView] candidates: at least one.
        :param random.Random random_state: not used.
        :param RouteContext context: not used.
        :rtype: EndpointView
        """
        self._next += 1
        return candidates[self._next % len(candidates)]


@POLICIES.register("least_in_flight")
class LeastInFlight:
    """Baseline that chooses the endpoint with the fewest attempts of this entry."""

    def choose(self, candidates, random_state, context):
        """Return a candidate with the fewest own attempts.

        :param list[EndpointView] candidates: at least one.
        :param random.Random random_state: breaks ties.
        :param RouteContext context: not used.
        :rtype: EndpointView
        """
        return min(candidates, key=lambda e: (e.own_in_flight, random_state.random()))


@POLICIES.register("expected_wait")
class ExpectedWait:
    """Chooses the endpoint with the lowest expected wait among a few samples.

    Samples two random endpoints of the entry's own failure domain and one of the other
    domains, and adds the endpoint that rendezvous hashing assigns to the prompt prefix.
    Comparing a few samples instead of all endpoints prevents entries that see the same
    idle endpoint from overloading it together. If all sampled endpoints are busy and
    slower than the mean, a second sample of the same size is added: the ranks of a slow
    group are many endpoints, which would otherwise keep all requests whose sample
    contains nothing else.

    :param float prefill_s_per_byte: prefill time saved by a cached prefix, in seconds
        per byte of the prompt.
    :param float far_penalty_s: cost of another failure domain, in seconds.

    :ivar float mean_service_time_s_: moving average of the service time of sampled
        endpoints, in seconds.
    """

    def __init__(
        self, prefill_s_per_byte=PREFILL_S_PER_BYTE, far_penalty_s=FAR_PENALTY_S
    ):
        self.prefill_s_per_byte = prefill_s_per_byte
        self.far_penalty_s = far_penalty_s
        self.mean_service_time_s_ = 0.0

    def choose(self, candidates, random_state, context):
        """Return the candidate with the lowest cost among the samples.

        :param list[EndpointView] candidates: at least one.
        :param random.Random random_state: generator for the samples.
        :param RouteContext context: failure domain and prefix of the request.
        :rtype: EndpointView
        """
        sampled = self._sample(candidates, random_state, context)
        if not any(view.free_slots(context.now) for view in sampled):
            sampled += self._sample_free(candidates, random_state, context)
        elif self._are_slower_than_mean(sampled, context):
            sampled += self._sample(candidates, random_state, context)
        saving_s = 0.0
        preferred = None
        if context.prefix:
            preferred = choose_by_prefix(candidates, context.prefix)
            saving_s = context.prompt_bytes * self.prefill_s_per_byte
            sampled.append(preferred)
        costs = [
            (self._cost_s(view, context) - saving_s * (view is preferred), i)
            for i, view in enumerate(sampled)
        ]
        return sampled[min(costs)[1]]

    def _sample(self, candidates, random_state, context):
        near = [e for e in candidates if e.failure_domain == context.failure_domain]
        far = [e for e in candidates if e.failure_domain != context.failure_domain]
        sampled = random_state.sample(near, min(NEAR_CHOICES, len(near)))
        far_count = FAR_CHOICES if near else NEAR_CHOICES
        return sampled + random_state.sample(far, min(far_count, len(far)))

    def _sample_free(self, candidates, random_state, context):
        """Sample among endpoints with a free slot, which are rare near saturation."""
        free = [view for view in candidates if view.free_slots(context.now)]
        return random_state.sample(free, min(NEAR_CHOICES, len(free)))

    def _are_slower_than_mean(self, sampled, context):
        """Update the mean service time and return whether all samples exceed it.

        Only endpoints with attempts in flight count as slower.
        """
        mean_s = sum(view.service_time_s for view in sampled) / len(sampled)
        if not self.mean_service_time_s_:
            self.mean_service_time_s_ = mean_s
        self.mean_service_time_s_ += MEAN_SERVICE_TIME_WEIGHT * (
            mean_s - self.mean_service_time_s_
        )
        return all(
            view.service_time_s > self.mean_service_time_s_
            and round(view.expected_in_flight(context.now)) > 0
            for view in sampled
        )

    def _cost_s(self, view, context):
        cost = view.expected_wait_s(context.now)
        if view.failure_domain != context.failure_domain:
            cost += self.far_penalty_s
        if view.state in _COLD_STATES:
            cost += COLD_PENALTY_S
        return cost


def filter_by_role(candidates):
    """Return the candidates whose role serves full requests.

    Policies choose among these only: an endpoint for prefill only or for decoding only
    cannot serve a request alone, however short its wait.

    :param list[EndpointView] candidates: endpoints of any role.
    :rtype: list[EndpointView]
    """
    return [
        view for view in candidates if view.role == _endpoint_view.FULL_REQUEST_ROLE
    ]


def choose_by_prefix(candidates, prefix):
    """Return the candidate that rendezvous hashing assigns to a prefix.

    All entries find the same endpoint without coordination, and when an endpoint
    leaves, only its own prefixes move.

    :param list[EndpointView] candidates: at least one.
    :param int prefix: hash of the start of the prompt.
    :rtype: EndpointView
    """
    return max(
        candidates,
        key=lambda view: xxhash.xxh64_intdigest(view.endpoint_id.encode(), prefix),
    )
