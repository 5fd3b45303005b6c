"""Choice of the endpoint for an attempt."""

import time

from sequoiagap import outcome, routing


class EndpointChooser:
    """Chooses an endpoint by the configured routing policy.

    Requests with a claim go to the endpoint that their idempotency key hashes to.

    :param AgentLinks links: links to the agents.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param random.Random random_state: source of randomness.
    :param str failure_domain: failure domain of this entry.

    .. code-block:: python

        view = chooser.choose(request, tried={"north-model-0"}, owner="")
    """

    def __init__(self, links, holder, random_state, failure_domain):
        self.links = links
        self.holder = holder
        self.random_state = random_state
        self.failure_domain = failure_domain
        self._policy_by_name = {}

    def choose(self, request, tried, owner):
        """Return the endpoint for the next attempt, or ``None`` if there is none.

        :param Request request: the request.
        :param set tried: ids of the endpoints that received an attempt.
        :param str owner: id of the agent that holds the claim on the idempotency key
            and is the only candidate, or empty.
        :rtype: sequoiagap.routing.EndpointView | None
        """
        candidates = self.links.candidates(request.target, tried, owner)
        by_id = {view.endpoint_id: view for view in candidates}
        if owner:
            return by_id.get(owner)
        untried = [view for view in candidates if view.endpoint_id not in tried]
        if not untried:
            return None
        if request.is_claimed:
            return by_id[_first_for_key(request, untried)]
        context = routing.make_context(
            time.monotonic(), self.failure_domain, request.target, request.body
        )
        return self._policy().choose(untried, self.random_state, context)

    def _policy(self):
        name = self.holder.current_.document.routing.policy
        if name not in self._policy_by_name:
            self._policy_by_name[name] = routing.POLICIES.get(name)()
        return self._policy_by_name[name]


def _first_for_key(request, views):
    identity = outcome.claim_id(
        request.account, request.target, request.idempotency_key
    )
    ids = [view.endpoint_id for view in views]
    return outcome.rank_by_affinity(identity, ids)[0]
