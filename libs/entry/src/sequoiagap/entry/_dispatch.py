"""Dispatch of a request: attempts, retries and the final outcome."""

import asyncio
import dataclasses
import time

import expression

from sequoiagap import base, wire
from sequoiagap.entry import _attempt, _decision_log, _endpoint_chooser, _link

MAX_ATTEMPTS = 4
RECLAIM_DELAY_S = 0.3  # time for the owner of a claim to release it or to reconnect
RETRY_BUDGET_WAIT_S = 2.0
RETRY_BUDGET_POLL_S = 0.05

_FINAL_KINDS = frozenset(
    {
        base.RefusalKind.ALREADY_RAN,
        base.RefusalKind.DEADLINE,
        base.RefusalKind.IDEMPOTENCY_MISMATCH,
        base.RefusalKind.PLATFORM_DOWN,
        base.RefusalKind.TOO_LARGE,
    }
)

_log = base.get_logger("dispatch")


@dataclasses.dataclass(frozen=True)
class Request:
    """An authenticated and validated request of a caller.

    :param str request_id: unique id of the request.
    :param str account: client account of the caller.
    :param str target: name of the model or service.
    :param str method: HTTP method.
    :param str path: HTTP path and query on the endpoint.
    :param dict headers: HTTP headers for the endpoint.
    :param bytes body: HTTP body.
    :param float deadline: time at which the caller gives up, in seconds on the
        monotonic clock.
    :param bool repeatable: whether the request is safe to execute more than once.
    :param str idempotency_key: idempotency key from the caller, or empty.
    :param int priority: priority; higher values run first.
    :param str setting: path of the setting that declares the request repeatable.
    :param bool for_model: whether the target is a model rather than a service.
    """

    request_id: str
    account: str
    target: str
    method: str
    path: str
    headers: dict
    body: bytes
    deadline: float
    repeatable: bool
    idempotency_key: str = ""
    priority: int = 0
    setting: str = ""
    for_model: bool = False

    @property
    def is_claimed(self):
        """Whether a claim on its idempotency key limits it to one execution."""
        return not self.repeatable and bool(self.idempotency_key)


@dataclasses.dataclass
class _Progress:
    """State of a running request across its attempts.

    :param set tried: ids of the endpoints that received an attempt.
    :param set unresolved_ids: ids of attempts that may have executed without
        returning a complete answer.
    :param str owner: id of the agent that holds the claim on the idempotency key
        and gets the next attempt, or empty.
    """

    tried: set = dataclasses.field(default_factory=set)
    unresolved_ids: set = dataclasses.field(default_factory=set)
    owner: str = ""

    def combine_outcomes(self, refusal):
        """Return the refusal with the combined outcome of all attempts.

        The outcome is unknown as long as any attempt may have executed.
        """
        if not self.unresolved_ids or refusal.outcome == base.Outcome.UNKNOWN:
            return refusal
        return dataclasses.replace(
            refusal,
            message=f"{refusal.message}; an earlier attempt may have run",
            remedy=_attempt.CHECK_BEFORE_RESENDING,
            outcome=base.Outcome.UNKNOWN,
            retry_after_s=0.0,
        )


class Dispatcher:
    """Executes requests at endpoints, with a bounded number of attempts.

    :param AgentLinks links: links to the agents.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param sequoiagap.admission.RetryBudget budget: limits the share of retries.
    :param sequoiagap.outcome.Journal journal: records decisions for ``explain``.
    :param random.Random random_state: source of randomness.
    :param str failure_domain: failure domain of this entry.
    """

    def __init__(self, links, holder, budget, journal, random_state, failure_domain=""):
        self.failure_domain = failure_domain
        self.links = links
        self.holder = holder
        self.budget = budget
        self.journal = journal
        self.random_state = random_state
        self._chooser = _endpoint_chooser.EndpointChooser(
            links, holder, random_state, failure_domain
        )
        self._decisions = _decision_log.DecisionLog(journal, _log)
        self._timers = set()
        self._stopping = False

    async def dispatch(self, request, sink):
        """Execute a request and pass its answer to a sink.

        At the request's deadline the refusal is returned immediately.

        :param Request request: the request.
        :param sink: object with coroutine methods ``head(status, headers)`` and
            ``data(bytes)`` and a flag ``started``, which is set once bytes have
            been sent to the caller; after that no further attempt is made.
        :returns: ``None`` for a complete answer, else the refusal.
        :rtype: expression.Result[None, sequoiagap.base.Refusal]
        """
        self.budget.record_first_attempt()
        progress = _Progress()
        try:
            async with asyncio.timeout_at(request.deadline) as timer:
                self._timers.add(timer)
                try:
                    refusal = await self._try_endpoints(request, sink, progress)
                finally:
                    self._timers.discard(timer)
        except TimeoutError:
            refusal = self._aborted_refusal()
        if refusal is None:
            return expression.Ok(None)
        return expression.Error(
            self._with_config_version(progress.combine_outcomes(refusal))
        )

    def abort_all(self):
        """Abort all running requests immediately.

        Each gets a refusal that states whether it may have executed.
        """
        self._stopping = True
        now = asyncio.get_running_loop().time()
        for timer in self._timers:
            timer.reschedule(now)

    async def _try_endpoints(self, request, sink, progress):
        """Try one endpoint after another; return ``None`` for a complete answer."""
        refusal = None
        for number in range(MAX_ATTEMPTS):
            if number and not await self._spend_retry(request):
                break
            await self.links.ensure_reachable(
                request.target, progress.tried, progress.owner
            )
            view = self._choose(request, progress)
            if view is None:
                break
            progress.tried.add(view.endpoint_id)
            result = await self._run_attempt(request, view, sink, progress)
            if result.refusal is None:
                return None
            refusal = result.refusal
            if not await self._may_retry(request, result, sink, progress):
                break
        return refusal or self._no_endpoint(request)

    async def _spend_retry(self, request):
        """Take one retry from the budget; return whether that was possible.

        A repeatable request waits for the budget, for a limited time.
        """
        until = time.monotonic() + (RETRY_BUDGET_WAIT_S if request.repeatable else 0.0)
        while not self.budget.try_spend():
            if time.monotonic() >= until:
                return False
            await asyncio.sleep(RETRY_BUDGET_POLL_S)
        return True

    def _choose(self, request, progress):
        owner, progress.owner = progress.owner, ""
        return self._chooser.choose(request, progress.tried, owner)

    async def _may_retry(self, request, result, sink, progress):
        """Return whether another attempt may follow, after a delay if needed."""
        if sink.started:
            return False
        if result.owner:
            if result.owner in progress.tried:
                # The owner may be about to release the claim or to reconnect.
                await asyncio.sleep(RECLAIM_DELAY_S)
            progress.owner = result.owner
            return True
        if result.refusal.kind in _FINAL_KINDS:
            return False
        if (
            result.refusal.kind == base.RefusalKind.OVERLOADED
            and not progress.unresolved_ids
        ):
            return False  # the request is queued again instead, at no retry
        if result.refusal.outcome == base.Outcome.NOT_RUN:
            return True
        return request.repeatable or request.is_claimed

    async def _run_attempt(self, request, view, sink, progress):
        link = self.links.by_id[view.endpoint_id]
        try:
            order = self._make_execute(request, link)
        except _link.NotSentError as error:
            return _attempt.AttemptResult(_attempt.not_sent_refusal(error.message))
        self._record_sent(request, order.attempt_id, view)
        attempt = _attempt.Attempt(
            link, order, sink, request.for_model and request.repeatable
        )
        progress.unresolved_ids.add(order.attempt_id)
        result = await attempt.run()
        if not result.may_have_run:
            progress.unresolved_ids.discard(order.attempt_id)
        self._record_end(request, order, view, result, attempt.reattached_)
        return result

    def _make_execute(self, request, link):
        return wire.Execute(
            request_id=request.request_id,
            attempt_id=base.new_id("att"),
            account=request.account,
            target=request.target,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            expires_at_ms=link.expires_at_ms(request.deadline),
            repeatable=request.repeatable,
            idempotency_key=request.idempotency_key,
            priority=request.priority,
            config_version=self.holder.current_.number,
        )

    def _no_endpoint(self, request):
        return base.Refusal(
            base.RefusalKind.NO_ENDPOINT,
            f"no endpoint is available for {request.target}",
            "Retry later; operators: check the endpoints and failure domains",
            retry_after_s=1.0,
            setting="failure_domains",
        )

    def _aborted_refusal(self):
        """Return the refusal of a request that ends before its attempts do.

        Its outcome is ``NOT_RUN``, unless an attempt is unresolved: see
        ``combine_outcomes``.
        """
        if self._stopping:
            return base.Refusal(
                base.RefusalKind.DRAINING,
                "this entry is shutting down",
                "Send the request again",
                retry_after_s=1.0,
            )
        return base.Refusal(
            base.RefusalKind.DEADLINE,
            "no complete answer arrived before the deadline",
            "Send the request again with a longer deadline",
            retry_after_s=1.0,
        )

    def _with_config_version(self, refusal):
        if refusal.config_version:
            return refusal
        version = self.holder.current_.number
        return dataclasses.replace(refusal, config_version=version)

    def _record_sent(self, request, attempt_id, view):
        self._decisions.record(
            base.Event.ATTEMPT_SENT,
            request_id=request.request_id,
            config_version=self.holder.current_.number,
            attempt_id=attempt_id,
            endpoint=view.endpoint_id,
            failure_domain=view.failure_domain,
        )

    def _record_end(self, request, order, view, result, reattached):
        details = result.describe()
        if reattached:
            details["reattached"] = reattached
        self._decisions.record(
            base.Event.ATTEMPT_ENDED,
            request_id=request.request_id,
            config_version=order.config_version,
            attempt_id=order.attempt_id,
            endpoint=view.endpoint_id,
            **details,
        )
