"""Serving of one admitted request: attempts, retries and the final outcome."""

import asyncio
import time

from sequoiagap import base, routes
from sequoiagap.gateway import (
    _admission,
    _attempt,
    _attempt_notes,
    _headers,
    _host_watch,
    _loads,
    _outage,
    _ports,
    _refusals,
    _request,
)

MAX_TRIES = 4  # endpoints that are looked at for one request, unreachable ones too
FIRST_BYTE_SHARE = 0.45  # of the time left, where another endpoint may be asked
STREAM_FIRST_BYTE_S = 2.2  # a stalled group answers within its own stall time
STREAM_SILENCE_S = 1.9
RETRY_AFTER_S = 0.25
LOST_REACH_RETRY_S = 0.1  # another entry may well reach the endpoints
LOST_REACH = 4  # failed connections in a row
MIN_ATTEMPT_S = 0.02


class Reach:
    """Whether endpoints can be reached from here at all.

    :ivar int failures: connections that failed since one was opened.
    """

    def __init__(self):
        self.failures = 0

    def note(self, is_connected):
        """Take how an attempt to connect ended."""
        self.failures = 0 if is_connected else self.failures + 1

    def is_lost(self):
        """Return whether so many have failed that callers are better off elsewhere.

        :rtype: bool
        """
        return self.failures >= LOST_REACH


class Dispatcher:
    """Runs requests at endpoints.

    :param state: object with ``table``, ``pool``, ``freshness`` in force, and with
        ``note_misdirected(endpoint_id)`` and ``gateways()``.
    :param Dialect dialect: names of headers.
    :param EndpointChooser chooser: chooses endpoints.
    :param SharedBudgets budgets: bounds shared with other gateways.
    :param base.Metrics metrics: metrics of the process.
    :param random.Random random_state: spreads the times to come back at.

    :ivar Reach reach: whether endpoints can be reached from here.
    """

    def __init__(self, state, dialect, chooser, budgets, metrics, random_state):
        self.state = state
        self.dialect = dialect
        self.chooser = chooser
        self.budgets = budgets
        self.metrics = metrics
        self.random_state = random_state
        self._admission_by_service = {}
        self._notes = _attempt_notes.AttemptNotes(metrics, lambda: state.table.version)
        self._session = None
        self.reach = Reach()

    async def start(self):
        """Open the session to the endpoints."""
        self._session = _attempt.open_session()

    async def stop(self):
        """Close all connections to endpoints."""
        if self._session is not None:
            await self._session.close()

    async def dispatch(self, request, sink):
        """Run a request.

        :param Request request: the request.
        :param StreamSink sink: takes the events of a stream.
        :returns: the whole answer, a refusal, or ``None`` where the sink got a
            whole stream.
        :rtype: Answer | sequoiagap.base.Refusal | None
        """
        self.budgets.retries(request.service).record_first_attempt()
        progress = _request.Progress()
        loop = asyncio.get_running_loop()
        left_s = request.ends_at - time.monotonic()
        try:
            async with asyncio.timeout_at(loop.time() + left_s):
                return await self._try_endpoints(request, sink, progress)
        except TimeoutError:
            return self._given_up(progress)

    async def _try_endpoints(self, request, sink, progress):
        for _ in range(MAX_TRIES):
            await self._outlast_outage(request, progress)
            if request.needs_key and not self._is_key_fresh():
                refusal = _refusals.keys_unproved(self._retry_after(request))
                return _refusals.settle(progress, refusal)
            load = self._choose(request, progress)
            if isinstance(load, base.Refusal):
                return _refusals.settle(progress, load)
            end = await self._attempt(request, load, sink, progress)
            if end.outcome == _attempt.AttemptOutcome.ANSWERED:
                return end.answer
            if not self._may_go_on(request, end, progress):
                break
        if progress.failed_answer is not None:
            return progress.failed_answer
        reason = f"no endpoint of the service took it: {progress.reason}"
        return _refusals.settle(
            progress, _refusals.overloaded(reason, self._retry_after(request))
        )

    async def _outlast_outage(self, request, progress):
        """Wait while the endpoints' group does not serve, if the caller gains by it."""
        if progress.may_have_run:
            return
        began = time.monotonic()
        loads = self.state.pool.candidates(request.service)
        outage_s = self._blocked_for(request.service, loads, began)
        if outage_s is None:
            return
        judge = self.admission(request.service)
        caller = _outage.Caller(
            request.came_at,
            request.ends_at,
            request.route.timeout_s,
            request.route.patience_s,
        )
        places = sum(load.endpoint.slots for load in loads) // self.state.gateways()
        until = judge.queue.wait_deadline(
            caller, outage_s, judge.service_s, places, began
        )
        if until <= began:
            return
        with judge.queue:
            await self._wait_for_group(request.service, until)
        self._notes.waited(request, outage_s, began)

    async def _wait_for_group(self, service, until):
        while (now := time.monotonic()) < until:
            loads = self.state.pool.candidates(service)
            if self._blocked_for(service, loads, now) is None:
                return
            await asyncio.sleep(min(_outage.CHECK_INTERVAL_S, until - now))

    def _blocked_for(self, service_name, loads, now):
        """Return for how long no endpoint may take a request; ``None`` if one may.

        Endpoints that are back cold bear few requests a second at first; those that
        wait for one go on as each second's share allows.
        """
        if not loads:
            return None
        if _is_down(loads, now):
            return max(load.closed_for(now) for load in loads)
        if all(load.is_closed(now) for load in self._usable(service_name, loads, now)):
            return _loads.UNKNOWN_OUTAGE_S
        return None

    def _choose(self, request, progress):
        """Return the load of the endpoint to ask, or a refusal.

        :rtype: EndpointLoad | sequoiagap.base.Refusal
        """
        now = time.monotonic()
        known = self.state.pool.candidates(request.service)
        candidates = self._usable(request.service, known, now)
        verdict = self.admission(request.service).decide(
            candidates,
            request.route.target_latency_s,
            now,
            request.ends_at - now,
            known,
        )
        is_first = not progress.sent
        is_hopeless = not candidates or _is_down(candidates, now)
        if not verdict.is_admitted and (is_first or is_hopeless):
            return _refusals.overloaded(verdict.reason, verdict.retry_after_s)
        opened = [load for load in candidates if not load.is_closed(now)]
        return self.chooser.choose(opened or candidates, now, progress.tried)

    def _usable(self, service_name, loads, now):
        """Return the endpoints that have not yet got their share of this second."""
        service = self.state.table.service_by_name.get(service_name)
        return self.budgets.keep_cold_rate(service, loads, now)

    def admission(self, service):
        """Return the admission of a service.

        :param str service: its name.
        :rtype: ServiceAdmission
        """
        found = self._admission_by_service.get(service)
        if found is None:
            found = _admission.ServiceAdmission(self.random_state)
            self._admission_by_service[service] = found
        return found

    async def _attempt(self, request, load, sink, progress):
        endpoint = load.endpoint
        now = time.monotonic()
        left_s = request.ends_at - now
        is_repeat = progress.sent > 0
        outgoing = self._build(request, endpoint, left_s, sink)
        first_byte_s, silence_s = self._patience(request, left_s, progress)
        attempt = _attempt.Attempt(
            self._session, self.dialect, outgoing, first_byte_s, silence_s
        )
        attempt_id = f"{request.request_id}.{len(progress.tried)}"
        progress.tried.add(endpoint.endpoint_id)
        expected = load.expected(now)
        load.sent_at_by_attempt[attempt_id] = now
        if load.cold_until > routes.suspend_aware_time():
            load.cold_sends.append(now)
        may_have_run = progress.may_have_run
        self._notes.sent(request, attempt_id, load, expected, is_repeat)
        try:
            end = await _host_watch.run_watched(
                attempt,
                load,
                sink if request.is_stream else None,
                lambda: self._may_move(request, progress),
            )
        except asyncio.CancelledError:
            self._notes.given_up(request, attempt_id, load, attempt, now)
            raise
        finally:
            load.sent_at_by_attempt.pop(attempt_id, None)
            progress.sent += attempt.is_sent_
            if attempt.is_sent_:
                progress.may_have_run = True
        if end.outcome == _attempt.AttemptOutcome.NOT_RUN:
            progress.may_have_run = may_have_run
        self._learn(load, attempt, end, time.monotonic() - now)
        progress.reason = end.reason
        if end.answer is not None:
            progress.failed_answer = end.answer
        self._notes.ended(request, attempt_id, load, attempt, end, now)
        return end

    def _build(self, request, endpoint, left_s, sink):
        resume_after = sink.last_id if request.is_stream else None
        if resume_after is None:
            resume_after = request.head.last_event_id
        forward_head = _ports.ForwardHead(
            endpoint_id=endpoint.endpoint_id,
            remaining_s=max(left_s, 0.0),
            account=request.account,
            resume_after=resume_after if request.is_stream else None,
        )
        return _attempt.Outgoing(
            request_id=request.request_id,
            method=request.method,
            url=f"http://{endpoint.address}:{endpoint.port}{request.path}",
            headers=self.dialect.write_request(
                _headers.end_to_end(request.headers), forward_head
            ),
            body=request.body,
            resume_after=resume_after if request.is_stream else None,
        )

    def _patience(self, request, left_s, progress):
        """Return the longest waits for the first byte and between two pieces."""
        if not _has_another_try(request, progress):
            return left_s, left_s
        if request.is_stream:
            return STREAM_FIRST_BYTE_S, STREAM_SILENCE_S
        return left_s * FIRST_BYTE_SHARE, left_s

    def _may_move(self, request, progress):
        """Tell whether a request may be sent elsewhere while an attempt is under way.

        What this takes from the budget is left to the attempt that follows.
        """
        if not _has_another_try(request, progress):
            return False
        progress.is_retry_paid = self.budgets.retries(request.service).try_spend()
        return progress.is_retry_paid

    def _may_go_on(self, request, end, progress):
        """Tell whether another endpoint may be asked."""
        if end.outcome == _attempt.AttemptOutcome.NOT_SENT:
            return True
        if progress.sent >= request.route.max_attempts:
            return False
        is_unknown = end.outcome == _attempt.AttemptOutcome.UNKNOWN
        if is_unknown and not request.route.is_idempotent:
            return False
        if request.ends_at - time.monotonic() < MIN_ATTEMPT_S:
            return False
        is_paid, progress.is_retry_paid = progress.is_retry_paid, False
        if not is_paid and not self.budgets.retries(request.service).try_spend():
            self.metrics.count("retries_denied_total", service=request.service)
            return False
        self.metrics.count("retries_total", service=request.service)
        return True

    def _learn(self, load, attempt, end, elapsed_s):
        now = time.monotonic()
        self.reach.note(attempt.is_sent_)
        head = attempt.head_
        if head is not None and head.load is not None:
            load.record_sample(head.load, now)
        if head is not None and head.is_misdirected:
            self.state.note_misdirected(load.endpoint.endpoint_id)
        if head is not None and _names_another(head, load.endpoint):
            self.state.pool.note_group_down(load, now)
        if end.outcome == _attempt.AttemptOutcome.ANSWERED:
            load.note_success()
            self.admission(load.endpoint.service).record_answer(elapsed_s)
        elif end.answer is None:
            load.note_failure(now)

    def _is_key_fresh(self):
        return self.state.freshness.is_fresh(routes.suspend_aware_time())

    def _retry_after(self, request=None):
        """Return when to come back, in seconds: later while the endpoints are down."""
        spread = 1.0 + self.random_state.random()
        if self.reach.is_lost():
            return LOST_REACH_RETRY_S * spread
        if request is None:
            return RETRY_AFTER_S * spread
        now = time.monotonic()
        if _is_down(self.state.pool.candidates(request.service), now):
            return _outage.outage_retry_delay_s(
                request.ends_at - now, self.random_state
            )
        return RETRY_AFTER_S * spread

    def _given_up(self, progress):
        if progress.failed_answer is not None:
            return progress.failed_answer
        if progress.may_have_run:
            return _refusals.out_of_time()
        reason = "no endpoint could be reached in time"
        return _refusals.overloaded(reason, self._retry_after())


def _has_another_try(request, progress):
    """Return whether a request may be sent once more after the attempt at hand."""
    route = request.route
    return route.is_idempotent and progress.sent + 1 < route.max_attempts


def _is_down(loads, now):
    """Return whether there are endpoints, and their group is known not to serve."""
    return bool(loads) and all(load.is_closed(now) for load in loads)


def _names_another(head, endpoint):
    """Return whether an answer blames another rank of the endpoint's group."""
    named = head.faulty_endpoint
    return head.is_not_run and bool(named) and named != endpoint.endpoint_id
