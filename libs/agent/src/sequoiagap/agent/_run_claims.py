"""Claims of idempotency keys, made before a run starts."""

import asyncio

from sequoiagap import outcome

CLAIM_MARGIN_S = 0.1
MILLISECONDS = 1000


class RunClaims:
    """Claims the idempotency keys of runs, with one store per service.

    :param sequoiagap.platform.PlatformClient platform_client: stores claims.
    :param str node_id: id of the endpoint.
    :param str incarnation: incarnation of the agent.
    """

    def __init__(self, platform_client, node_id, incarnation):
        self.platform_client = platform_client
        self.node_id = node_id
        self.incarnation = incarnation
        self._store_by_service = {}

    @property
    def writes_(self):
        """Number of conditional writes made."""
        return sum(store.writes_ for store in self._store_by_service.values())

    @property
    def reads_(self):
        """Number of reads made."""
        return sum(store.reads_ for store in self._store_by_service.values())

    def make_proposal(self, order):
        """Return the claim that an order needs before it runs, or ``None``.

        :param sequoiagap.wire.Execute order: the order.
        :rtype: sequoiagap.outcome.Claim | None
        """
        if order.repeatable or not order.idempotency_key:
            return None
        return outcome.Claim(
            identity=outcome.claim_id(
                order.account, order.target, order.idempotency_key
            ),
            agent=self.node_id,
            incarnation=self.incarnation,
            nonce=order.attempt_id,
            digest=outcome.body_digest(order.method, order.path, order.body),
            expires_at=0.0,
        )

    async def claim(self, run):
        """Claim the key of a run before the deadline of its request.

        :param Run run: the run; the expiry time of its proposal is set.
        :rtype: sequoiagap.outcome.ClaimResult
        """
        store = self._store(run.order.target)
        now = asyncio.get_running_loop().time()
        remaining_s = run.order.expires_at_ms / MILLISECONDS - now - CLAIM_MARGIN_S
        run.proposal = store.with_expiry(run.proposal)
        return await store.claim(run.proposal, max(remaining_s, 0.0))

    def finish(self, run):
        """Mark the claim of a run that started as done; release the claim otherwise.

        :param Run run: the run, which has ended.
        """
        store = self._store(run.order.target)
        if run.started_:
            store.mark_done(run.proposal)
        else:
            store.release(run.proposal)

    async def close(self):
        """Wait for pending writes within a timeout, then stop writing."""
        for store in self._store_by_service.values():
            await store.close()

    def _store(self, service):
        if service not in self._store_by_service:
            store = outcome.ClaimStore(self.platform_client, service)
            self._store_by_service[service] = store
        return self._store_by_service[service]
