"""Claims that runs need before they may start."""

import asyncio

from sequoiagap import outcome

CLAIM_MARGIN_S = 0.1
MILLISECONDS = 1000


class ClaimDesk:
    """Claims the keys of runs, in one store for each service.

    :param sequoiagap.platform.PlatformClient platform_client: keeps claims.
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
        """Conditional writes made."""
        return sum(store.writes_ for store in self._store_by_service.values())

    @property
    def reads_(self):
        """Reads made."""
        return sum(store.reads_ for store in self._store_by_service.values())

    def wish(self, order):
        """Return the claim that an order needs before it may run, or ``None``.

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
        """Claim the key of a run within the time that its caller grants.

        :param Run run: the run; its wish is stamped with its expiry.
        :rtype: sequoiagap.outcome.ClaimResult
        """
        store = self._store(run.order.target)
        now = asyncio.get_running_loop().time()
        left_s = run.order.expires_at_ms / MILLISECONDS - now - CLAIM_MARGIN_S
        run.wish = store.with_expiry(run.wish)
        return await store.claim(run.wish, max(left_s, 0.0))

    def finish(self, run):
        """Mark the claim of a run that started, give up that of another.

        :param Run run: the run, which has ended.
        """
        store = self._store(run.order.target)
        if run.started_:
            store.mark_done(run.wish)
        else:
            store.release(run.wish)

    async def close(self):
        """Let writes under way end within a bound, and stop writing."""
        for store in self._store_by_service.values():
            await store.close()

    def _store(self, service):
        if service not in self._store_by_service:
            store = outcome.ClaimStore(self.platform_client, service)
            self._store_by_service[service] = store
        return self._store_by_service[service]
