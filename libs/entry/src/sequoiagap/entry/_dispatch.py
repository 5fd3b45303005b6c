"""Attempts of a request: choice, sending, settling and retrying."""

import asyncio
import dataclasses
import time

import expression

from sequoiagap import base, outcome, routing, wire
from sequoiagap.entry import _link

MAX_ATTEMPTS = 4
MILLISECONDS = 1000

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
        self._policy_by_name = {}

    async def dispatch(self, request, sink):
        """Run a request and pass its answer to a sink.

        :param Request request: the request.
        :param sink: object with coroutine methods ``head(status, headers)`` and
            ``data(bytes)`` and a flag ``started``: once set, bytes have reached
            the caller and no other attempt may follow.
        :returns: nothing for a whole answer, else the refusal.
        :rtype: expression.Result[None, sequoiagap.base.Refusal]
        """
        self.budget.record_first_attempt()
        tried = set()
        refusal = None
        for number in range(MAX_ATTEMPTS):
            if number and not self.budget.try_spend():
                break
            view = self._choose(request, tried)
            if view is None:
                break
            tried.add(view.endpoint_id)
            refusal = await self._attempt(request, view, sink)
            if refusal is None:
                return expression.Ok(None)
            if not self._may_retry(request, refusal, sink):
                break
        return expression.Error(refusal or self._no_endpoint(request))

    def _choose(self, request, tried):
        candidates = self.links.candidates(request.target)
        fresh = [view for view in candidates if view.endpoint_id not in tried]
        if not fresh:
            return None
        context = routing.make_context(
            time.monotonic(), self.failure_domain, request.target, request.body
        )
        return self._policy().choose(fresh, self.random_state, context)

    def _policy(self):
        name = self.holder.current_.document.routing.policy
        if name not in self._policy_by_name:
            self._policy_by_name[name] = routing.POLICIES.get(name)()
        return self._policy_by_name[name]

    def _may_retry(self, request, refusal, sink):
        if sink.started or time.monotonic() >= request.deadline:
            return False
        if refusal.outcome == base.Outcome.NOT_RUN:
            return True
        return request.repeatable

    async def _attempt(self, request, view, sink):
        """Run one attempt; return ``None`` for a whole answer, else a refusal."""
        link = self.links.by_id[view.endpoint_id]
        incarnation = link.member.incarnation
        order = self._order(request)
        self._note(request, "attempt_sent", order.attempt_id, view)
        try:
            events = await link.execute(order)
            async with asyncio.timeout_at(self._loop_deadline(request)):
                refusal = await self._follow(order, events, sink)
        except base.WireError as error:
            refusal = _lost(error.message)
        except TimeoutError:
            await link.cancel(order.attempt_id)
            refusal = _past_deadline()
        except asyncio.CancelledError:
            await link.cancel(order.attempt_id)
            raise
        finally:
            link.forget(order.attempt_id)
        if refusal is not None and refusal.kind == base.RefusalKind.ENDPOINT_LOST:
            refusal = await self._settle(link, order, incarnation, refusal)
        self._note_end(request, order, view, refusal)
        return refusal

    async def _follow(self, order, events, sink):
        assembly = outcome.AnswerAssembly(order.attempt_id)
        while True:
            event = await events.get()
            match event:
                case wire.Head():
                    await sink.head(event.status, event.headers)
                case wire.Chunk():
                    if assembly.accept(event.sequence, event.data):
                        await sink.data(event.data)
                case wire.Final():
                    if assembly.is_whole(event.chunks, event.size):
                        return None
                    return _lost("the answer is not whole")
                case wire.Refused():
                    return _from_agent(event)
                case _link.LinkLost():
                    return _lost("the connection to the agent was lost")

    async def _settle(self, link, order, incarnation, refusal):
        """Learn by revocation what became of an attempt whose link was lost."""
        standing = await link.revoke(order.attempt_id, incarnation)
        if standing != outcome.Standing.NEVER_STARTED:
            return refusal
        return dataclasses.replace(
            refusal,
            outcome=base.Outcome.NOT_RUN,
            remedy="The request was not run; send it again",
        )

    def _order(self, request):
        left_s = request.deadline - time.monotonic()
        return wire.Execute(
            request_id=request.request_id,
            attempt_id=base.new_id("att"),
            account=request.account,
            target=request.target,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            deadline_ms=max(int(left_s * MILLISECONDS), 1),
            repeatable=request.repeatable,
            idempotency_key=request.idempotency_key,
            priority=request.priority,
            config_version=self.holder.current_.number,
        )

    def _loop_deadline(self, request):
        return asyncio.get_running_loop().time() + request.deadline - time.monotonic()

    def _no_endpoint(self, request):
        version = self.holder.current_.number
        return base.Refusal(
            base.RefusalKind.NO_ENDPOINT,
            f"no endpoint can take work for {request.target}",
            "Come back later; operators: look at endpoints and failure domains",
            retry_after_s=1.0,
            config_version=version,
            setting="failure_domains",
        )

    def _note(self, request, step, attempt_id, view):
        version = self.holder.current_.number
        self.journal.record(
            request.request_id,
            step,
            version,
            attempt_id=attempt_id,
            endpoint=view.endpoint_id,
            failure_domain=view.failure_domain,
        )
        _log.emit(
            base.Event.ATTEMPT_SENT,
            request_id=request.request_id,
            attempt_id=attempt_id,
            endpoint=view.endpoint_id,
            config_version=version,
        )

    def _note_end(self, request, order, view, refusal):
        result = base.Outcome.ANSWERED if refusal is None else refusal.outcome
        kind = "" if refusal is None else str(refusal.kind)
        self.journal.record(
            request.request_id,
            "attempt_ended",
            order.config_version,
            attempt_id=order.attempt_id,
            endpoint=view.endpoint_id,
            outcome=str(result),
            kind=kind,
        )
        _log.emit(
            base.Event.ATTEMPT_ENDED,
            request_id=request.request_id,
            attempt_id=order.attempt_id,
            outcome=str(result),
            kind=kind,
            config_version=order.config_version,
        )


def _from_agent(event):
    return base.Refusal(
        base.RefusalKind(event.kind),
        event.text,
        event.remedy,
        outcome=base.Outcome(event.outcome),
        retry_after_s=event.retry_after_ms / MILLISECONDS,
        config_version=event.config_version,
        setting=event.setting,
    )


def _lost(reason):
    return base.Refusal(
        base.RefusalKind.ENDPOINT_LOST,
        reason,
        "The request may have run; check before sending it again",
        outcome=base.Outcome.UNKNOWN,
    )


def _past_deadline():
    return base.Refusal(
        base.RefusalKind.DEADLINE,
        "no whole answer came before the deadline",
        "The request may have run; check before sending it again",
        outcome=base.Outcome.UNKNOWN,
    )
