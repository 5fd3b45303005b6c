"""Attempts of a request: retrying and the final outcome."""

import asyncio
import dataclasses
import time

import expression

from sequoiagap import base, wire
from sequoiagap.entry import _attempt, _choice, _decisions, _link

MAX_ATTEMPTS = 4
RECLAIM_DELAY_S = 0.3
RETRY_WAIT_S = 2.0
RETRY_POLL_S = 0.05

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
    """A caller's request, admitted.

    :param str request_id: its id.
    :param str account: client account of the caller.
    :param str target: model or service.
    :param str method: HTTP method.
    :param str path: HTTP path and query on the endpoint.
    :param dict headers: HTTP headers for the endpoint.
    :param bytes body: HTTP body.
    :param float deadline: monotonic time at which the caller gives up.
    :param bool repeatable: whether running twice does no harm.
    :param str idempotency_key: key given by the caller, or empty.
    :param int priority: higher goes first.
    :param str setting: path of the setting that says whether it is repeatable.
    :param bool for_model: whether a model engine runs it, not a plain service.
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
        """Whether a claim of its key lets it run at most once."""
        return not self.repeatable and bool(self.idempotency_key)


@dataclasses.dataclass
class _Progress:
    """What is known of a request under way.

    :param set tried: endpoints that were asked.
    :param set open_ids: attempts that may have run and gave no whole answer.
    :param str owner: agent to ask next, as it holds the key's claim.
    """

    tried: set = dataclasses.field(default_factory=set)
    open_ids: set = dataclasses.field(default_factory=set)
    owner: str = ""

    def seal(self, refusal):
        """Return the refusal with the outcome of all attempts together."""
        if not self.open_ids or refusal.outcome == base.Outcome.UNKNOWN:
            return refusal
        return dataclasses.replace(
            refusal,
            message=f"{refusal.message}; an attempt before may have run",
            remedy=_attempt.CHECK_FIRST,
            outcome=base.Outcome.UNKNOWN,
            retry_after_s=0.0,
        )


class Dispatcher:
    """Runs requests at endpoints.

    :param AgentLinks links: links to the agents.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param sequoiagap.admission.RetryBudget budget: bounds retries.
    :param sequoiagap.outcome.Journal journal: remembers decisions.
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
        self._chooser = _choice.EndpointChooser(
            links, holder, random_state, failure_domain
        )
        self._decisions = _decisions.DecisionLog(journal, _log)
        self._timers = set()
        self._stopping = False

    async def dispatch(self, request, sink):
        """Run a request and pass its answer to a sink.

        At the request's deadline the refusal is given at once.

        :param Request request: the request.
        :param sink: object with coroutine methods ``head(status, headers)`` and
            ``data(bytes)`` and a flag ``started``: once set, bytes have reached
            the caller and no other attempt may follow.
        :returns: nothing for a whole answer, else the refusal.
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
            refusal = self._given_up()
        if refusal is None:
            return expression.Ok(None)
        return expression.Error(self._versioned(progress.seal(refusal)))

    def give_up_all(self):
        """End every request under way at once with a truthful refusal."""
        self._stopping = True
        now = asyncio.get_running_loop().time()
        for timer in self._timers:
            timer.reschedule(now)

    async def _try_endpoints(self, request, sink, progress):
        """Try endpoints in turn; return ``None`` for a whole answer."""
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
            end = await self._attempt(request, view, sink, progress)
            if end.refusal is None:
                return None
            refusal = end.refusal
            if not await self._may_retry(request, end, sink, progress):
                break
        return refusal or self._no_endpoint(request)

    async def _spend_retry(self, request):
        """Spend one retry; a repeatable request waits a little for it."""
        until = time.monotonic() + (RETRY_WAIT_S if request.repeatable else 0.0)
        while not self.budget.try_spend():
            if time.monotonic() >= until:
                return False
            await asyncio.sleep(RETRY_POLL_S)
        return True

    def _choose(self, request, progress):
        owner, progress.owner = progress.owner, ""
        return self._chooser.choose(request, progress.tried, owner)

    async def _may_retry(self, request, end, sink, progress):
        """Tell whether another attempt may follow; waits where it has to."""
        if sink.started:
            return False
        if end.owner:
            if end.owner in progress.tried:
                # It may be about to release the claim, or to come back.
                await asyncio.sleep(RECLAIM_DELAY_S)
            progress.owner = end.owner
            return True
        if end.refusal.kind in _FINAL_KINDS:
            return False
        if end.refusal.kind == base.RefusalKind.OVERLOADED and not progress.open_ids:
            return False  # it waits for its turn again and costs no retry
        if end.refusal.outcome == base.Outcome.NOT_RUN:
            return True
        return request.repeatable or request.is_claimed

    async def _attempt(self, request, view, sink, progress):
        link = self.links.by_id[view.endpoint_id]
        try:
            order = self._order(request, link)
        except _link.NotSentError as error:
            return _attempt.AttemptEnd(_attempt.not_sent(error.message))
        self._note_sent(request, order.attempt_id, view)
        attempt = _attempt.Attempt(
            link, order, sink, request.for_model and request.repeatable
        )
        progress.open_ids.add(order.attempt_id)
        end = await attempt.run()
        if not end.may_have_run:
            progress.open_ids.discard(order.attempt_id)
        self._note_end(request, order, view, end, attempt.reattached_)
        return end

    def _order(self, request, link):
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
            f"no endpoint can take work for {request.target}",
            "Come back later; operators: look at endpoints and failure domains",
            retry_after_s=1.0,
            setting="failure_domains",
        )

    def _given_up(self):
        """Return the refusal of a request that is ended before its attempts are.

        Its outcome is ``NOT_RUN`` unless an attempt is open, see ``seal``.
        """
        if self._stopping:
            return base.Refusal(
                base.RefusalKind.DRAINING,
                "this entry stops",
                "Send the request again",
                retry_after_s=1.0,
            )
        return base.Refusal(
            base.RefusalKind.DEADLINE,
            "no whole answer came before the deadline",
            "Send the request again with a longer deadline",
            retry_after_s=1.0,
        )

    def _versioned(self, refusal):
        if refusal.config_version:
            return refusal
        version = self.holder.current_.number
        return dataclasses.replace(refusal, config_version=version)

    def _note_sent(self, request, attempt_id, view):
        self._decisions.note(
            base.Event.ATTEMPT_SENT,
            request_id=request.request_id,
            config_version=self.holder.current_.number,
            attempt_id=attempt_id,
            endpoint=view.endpoint_id,
            failure_domain=view.failure_domain,
        )

    def _note_end(self, request, order, view, end, reattached):
        details = end.describe()
        if reattached:
            details["reattached"] = reattached
        self._decisions.note(
            base.Event.ATTEMPT_ENDED,
            request_id=request.request_id,
            config_version=order.config_version,
            attempt_id=order.attempt_id,
            endpoint=view.endpoint_id,
            **details,
        )
