"""Dispatch of one admitted request: attempts, retries and the final outcome."""

import asyncio
import time

from sequoiagap import base, routes
from sequoiagap.gateway import (
    _answer_memory,
    _attempt,
    _attempt_log,
    _attempt_result,
    _endpoint_feedback,
    _headers,
    _host_watch,
    _loads,
    _outage,
    _pauses,
    _ports,
    _reachability,
    _refusals,
    _request,
    _selection,
    _send_gate,
)

MAX_ENDPOINTS_PER_REQUEST = 4  # unreachable ones included
FIRST_BYTE_SHARE = 0.45  # of the remaining time, if a retry is possible
STREAM_FIRST_BYTE_S = 2.2  # a stalled group answers within its own stall timeout
STREAM_SILENCE_S = 1.9
RETRY_AFTER_S = 0.25
UNREACHABLE_RETRY_S = 0.1  # another entry may be able to reach the endpoints
MIN_ATTEMPT_S = 0.02


class Dispatcher:
    """Runs requests at endpoints and retries failed attempts.

    :param state: object with ``table``, ``pool``, ``freshness`` in force, and with
        ``record_misdirected(endpoint_id)`` and ``gateway_count()``.
    :param Dialect dialect: names of headers.
    :param EndpointChooser chooser: chooses endpoints.
    :param SharedBudgets budgets: limits shared with other gateways.
    :param RateLimits rate_limits: limits that endpoints state.
    :param CrashEvidence crash_evidence: tells which requests crash endpoints.
    :param base.Metrics metrics: metrics of the process.
    :param random.Random random_state: adds jitter to retry delays.

    :ivar EndpointPauses pauses: endpoints that want no requests for now.
    :ivar AnswerMemory answer_memory: memory of the answers that are buffered.
    :ivar Reachability reachability: whether endpoints can be reached from here.
    """

    def __init__(
        self,
        state,
        dialect,
        chooser,
        budgets,
        rate_limits,
        crash_evidence,
        metrics,
        random_state,
    ):
        self.state = state
        self.dialect = dialect
        self.budgets = budgets
        self.rate_limits = rate_limits
        self.crash_evidence = crash_evidence
        self.metrics = metrics
        self.random_state = random_state
        self.pauses = _pauses.EndpointPauses()
        self._attempt_log = _attempt_log.AttemptLog(
            metrics, lambda: state.table.version
        )
        self._selector = _selection.EndpointSelector(
            state,
            chooser,
            _send_gate.SendGate(self.pauses, rate_limits, budgets),
            self._attempt_log,
            random_state,
        )
        self._feedback = _endpoint_feedback.EndpointFeedback(
            state, self._selector, rate_limits, self.pauses, crash_evidence
        )
        self.answer_memory = _answer_memory.AnswerMemory()
        self._session = None
        self._open_timeouts = set()
        self.reachability = _reachability.Reachability()

    async def start(self):
        """Open the client session for connections to endpoints."""
        self._session = _attempt.open_session()

    async def stop(self):
        """Close all connections to endpoints."""
        if self._session is not None:
            await self._session.close()

    async def dispatch(self, request, sink):
        """Run a request until it is answered, refused or out of time.

        :param Request request: the request.
        :param StreamSink sink: receives the events of a stream.
        :returns: the complete answer, a refusal, or ``None`` if the sink received a
            complete stream.
        :rtype: Answer | sequoiagap.base.Refusal | None
        """
        now = time.monotonic()
        self.budgets.retries(request.service, now).record_first_attempt()
        progress = _request.Progress()
        timeout = asyncio.timeout_at(_loop_time(request.deadline))
        self._open_timeouts.add(timeout)
        try:
            async with timeout:
                return await self._run_attempts(request, sink, progress)
        except TimeoutError:
            return self._timeout_result(progress)
        finally:
            self._open_timeouts.discard(timeout)

    def limit_deadlines(self, latest):
        """End all requests in flight at a certain time, unless they end before.

        :param float latest: the time, monotonic seconds.
        """
        limit = _loop_time(latest)
        for timeout in self._open_timeouts:
            if timeout.when() > limit and not timeout.expired():
                timeout.reschedule(limit)

    async def _run_attempts(self, request, sink, progress):
        for _ in range(MAX_ENDPOINTS_PER_REQUEST):
            refusal = self._check_quarantine(request)
            if refusal is None:
                if not progress.may_have_run:
                    await self._selector.wait_out_outage(request)
                refusal = self._check_sendable(request)
            if refusal is not None:
                return _refusals.final_refusal(progress, refusal)
            load = self._selector.choose(request, progress)
            if isinstance(load, base.Refusal):
                return _refusals.final_refusal(progress, load)
            result = await self._attempt(request, load, sink, progress)
            if result.outcome == _attempt_result.AttemptOutcome.ANSWERED:
                return result.answer
            if not self._may_retry(request, result, progress):
                break
        if progress.failed_answer is not None:
            return progress.failed_answer
        reason = f"no endpoint of the service accepted the request: {progress.reason}"
        return _refusals.final_refusal(
            progress, _refusals.overloaded(reason, self._retry_after(request))
        )

    def _check_sendable(self, request):
        """Return why a request must not be sent now, a refusal, or ``None``."""
        if request.needs_key and not self._is_key_fresh():
            return _refusals.key_not_proved(self._retry_after(request))
        return self._check_quarantine(request)

    def _check_quarantine(self, request):
        now = routes.suspend_aware_time()
        suspicion = self.crash_evidence.quarantine.find(request.parts, now)
        if suspicion is None:
            return None
        return _refusals.quarantined(suspicion, suspicion.until - now)

    async def _attempt(self, request, load, sink, progress):
        endpoint = load.endpoint
        now = time.monotonic()
        remaining_s = request.deadline - now
        is_repeat = progress.sent > 0
        outgoing = self._build_outgoing(request, endpoint, remaining_s, sink)
        first_byte_timeout_s, idle_timeout_s = self._timeouts(
            request, remaining_s, progress
        )
        asked_at = routes.suspend_aware_time()
        lease = self.answer_memory.lease(endpoint.endpoint_id)
        request.resources.callback(lease.release)
        attempt = _attempt.Attempt(
            self._session,
            self.dialect,
            outgoing,
            lease,
            first_byte_timeout_s,
            idle_timeout_s,
            lambda head: self._feedback.record_head(load, head, asked_at),
        )
        attempt_id = f"{request.request_id}.{len(progress.tried)}"
        progress.tried.add(endpoint.endpoint_id)
        expected = load.expected(now)
        load.sent_at_by_attempt[attempt_id] = now
        if load.cold_until > routes.suspend_aware_time():
            load.cold_sends.append(now)
        self.rate_limits.record_sent(load)
        may_have_run = progress.may_have_run
        self.crash_evidence.quarantine.record_sent(
            request.parts, routes.suspend_aware_time()
        )
        self._attempt_log.record_sent(request, attempt_id, load, expected, is_repeat)
        try:
            result = await _host_watch.run_watched(
                attempt,
                load,
                sink if request.is_stream else None,
                lambda: self._may_reroute(request, progress),
            )
        except asyncio.CancelledError:
            self._attempt_log.record_abandoned(request, attempt_id, load, attempt, now)
            raise
        finally:
            load.sent_at_by_attempt.pop(attempt_id, None)
            progress.sent += attempt.is_sent_
            if attempt.is_sent_:
                progress.may_have_run = True
        if result.outcome == _attempt_result.AttemptOutcome.NOT_RUN:
            progress.may_have_run = may_have_run
        self.reachability.record(attempt.is_sent_)
        self._feedback.record_end(load, attempt, result, time.monotonic() - now)
        await self._feedback.record_output(request, load, attempt, result)
        progress.reason = result.reason
        if result.answer is not None:
            progress.failed_answer = result.answer
        self._attempt_log.record_end(request, attempt_id, load, attempt, result, now)
        return result

    def _build_outgoing(self, request, endpoint, timeout_s, sink):
        resume_after = sink.last_id if request.is_stream else None
        if resume_after is None:
            resume_after = request.head.last_event_id
        forward_head = _ports.ForwardHead(
            endpoint_id=endpoint.endpoint_id,
            remaining_s=max(timeout_s, 0.0),
            account=request.account,
            resume_after=resume_after if request.is_stream else None,
        )
        return _attempt_result.Outgoing(
            request_id=request.request_id,
            method=request.method,
            url=f"http://{endpoint.host_and_port}{request.path}",
            headers=self.dialect.write_request(
                _headers.end_to_end(request.headers), forward_head
            ),
            body=request.body,
            resume_after=resume_after if request.is_stream else None,
        )

    def _timeouts(self, request, remaining_s, progress):
        """Return the timeouts for the first byte and between two pieces, in seconds."""
        if not _has_another_attempt(request, progress):
            return remaining_s, remaining_s
        if request.is_stream:
            return STREAM_FIRST_BYTE_S, STREAM_SILENCE_S
        return remaining_s * FIRST_BYTE_SHARE, remaining_s

    def _may_reroute(self, request, progress):
        """Return whether a request may move to another endpoint during an attempt.

        The retry that this reserves from the budget is used by the following attempt.
        """
        if not _has_another_attempt(request, progress):
            return False
        progress.is_retry_reserved = self._spend_retry(request, progress)
        return progress.is_retry_reserved

    def _may_retry(self, request, result, progress):
        """Return whether the request may be sent to another endpoint."""
        if result.outcome == _attempt_result.AttemptOutcome.NOT_SENT:
            return True
        if progress.sent >= request.route.max_attempts:
            return False
        is_unknown = result.outcome == _attempt_result.AttemptOutcome.UNKNOWN
        if is_unknown and not request.route.is_idempotent:
            return False
        if request.deadline - time.monotonic() < MIN_ATTEMPT_S:
            return False
        is_reserved, progress.is_retry_reserved = progress.is_retry_reserved, False
        return is_reserved or self._spend_retry(request, progress)

    def _spend_retry(self, request, progress):
        """Take a further attempt from the retry budget; return whether it has one."""
        budget = self.budgets.retries(request.service, time.monotonic())
        is_granted = budget.try_spend()
        number = len(progress.tried) + 1
        self._attempt_log.record_retry(request, number, budget, is_granted)
        return is_granted

    def _is_key_fresh(self):
        return self.state.freshness.is_fresh(routes.suspend_aware_time())

    def _retry_after(self, request=None):
        """Return the retry delay in seconds; it is longer during an outage."""
        spread = 1.0 + self.random_state.random()
        if self.reachability.is_lost():
            return UNREACHABLE_RETRY_S * spread
        if request is None:
            return RETRY_AFTER_S * spread
        now = time.monotonic()
        if _loads.is_down(self.state.pool.candidates(request.service), now):
            return _outage.outage_retry_delay_s(
                request.deadline - now, self.random_state
            )
        return RETRY_AFTER_S * spread

    def _timeout_result(self, progress):
        if progress.failed_answer is not None:
            return progress.failed_answer
        if progress.may_have_run:
            return _refusals.deadline_exceeded()
        reason = "no endpoint could be reached before the deadline"
        return _refusals.overloaded(reason, self._retry_after())


def _loop_time(at):
    """Return a monotonic time on the clock of the event loop."""
    return asyncio.get_running_loop().time() + at - time.monotonic()


def _has_another_attempt(request, progress):
    """Return whether a further attempt is allowed after the current one."""
    route = request.route
    return route.is_idempotent and progress.sent + 1 < route.max_attempts
