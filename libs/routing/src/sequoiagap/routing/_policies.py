"""Registered policies; each takes candidates, a random generator and a context."""

import xxhash

from sequoiagap import base
from sequoiagap.routing import _endpoint_view

POLICIES = base.Registry("policy")
NEAR_CHOICES = 2
FAR_CHOICES = 1
MEAN_SERVICE_TIME_WEIGHT = (
    0.02  # the usual service time is that of the last fifty draws
)
FAR_PENALTY_S = 0.005
COLD_PENALTY_S = 0.002
PREFILL_S_PER_BYTE = 25e-6
_COLD_STATES = frozenset({"cold", "warming"})


@POLICIES.register("round_robin")
class RoundRobin:
    """Takes endpoints in turn; a baseline."""

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
    """Takes the endpoint with the fewest attempts of this entry; a baseline."""

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
    """Takes the least expected wait of a few endpoints.

    Two random endpoints of the entry's own failure domain, one of the others,
    and the one that prefers the prompt's prefix by rendezvous hashing. Few
    random choices instead of all keep entries that see the same idle endpoint
    from rushing it together. Where all of them are busy and slower than usual, as
    many again are drawn: the ranks of a slow group are many endpoints, and would
    else keep the share of the draws that meet nothing but them.

    :param float prefill_s_per_byte: time that a remembered prefix saves.
    :param float far_penalty_s: what another failure domain costs.

    :ivar float mean_service_time_s_: mean service time of the endpoints drawn lately, in seconds.
    """

    def __init__(
        self, prefill_s_per_byte=PREFILL_S_PER_BYTE, far_penalty_s=FAR_PENALTY_S
    ):
        self.prefill_s_per_byte = prefill_s_per_byte
        self.far_penalty_s = far_penalty_s
        self.mean_service_time_s_ = 0.0

    def choose(self, candidates, random_state, context):
        """Return the candidate with the least cost among the few.

        :param list[EndpointView] candidates: at least one.
        :param random.Random random_state: draws the few.
        :param RouteContext context: where the request came in, and its prefix.
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
        """Look further once the first few are full; near saturation few are not."""
        free = [view for view in candidates if view.free_slots(context.now)]
        return random_state.sample(free, min(NEAR_CHOICES, len(free)))

    def _are_slower_than_mean(self, sampled, context):
        """Learn the usual service time; tell whether all of these are slower."""
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
    """Return the candidates whose role serves a whole request.

    Every policy chooses among these only. An endpoint that only reads prompts or
    only decodes can't give an answer alone, however little there is to wait.

    :param list[EndpointView] candidates: endpoints of any role.
    :rtype: list[EndpointView]
    """
    return [
        view for view in candidates if view.role == _endpoint_view.FULL_REQUEST_ROLE
    ]


def choose_by_prefix(candidates, prefix):
    """Return the candidate that a prefix prefers, by rendezvous hashing.

    Each entry finds the same one without a word, and when an endpoint leaves,
    only its own prefixes move.

    :param list[EndpointView] candidates: at least one.
    :param int prefix: digest of the start of the prompt.
    :rtype: EndpointView
    """
    return max(
        candidates,
        key=lambda view: xxhash.xxh64_intdigest(view.endpoint_id.encode(), prefix),
    )
