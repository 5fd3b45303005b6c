"""What the end of an attempt tells of its endpoint."""

import time

from sequoiagap import routes
from sequoiagap.gateway import _attempt_result, _endpoint_check


class EndpointFeedback:
    """Records load, limits, pauses, departures, failures and crashes.

    :param state: object with ``pool`` in force, and with
        ``record_misdirected(endpoint_id)``.
    :param EndpointSelector selector: learns how long answers take.
    :param RateLimits rate_limits: limits that endpoints state.
    :param EndpointPauses pauses: endpoints that want no requests for now.
    :param CrashEvidence crash_evidence: tells which requests crash endpoints.
    """

    def __init__(self, state, selector, rate_limits, pauses, crash_evidence):
        self.state = state
        self.pauses = pauses
        self.selector = selector
        self.rate_limits = rate_limits
        self.crash_evidence = crash_evidence

    def record_head(self, load, head, asked_at):
        """Record what an endpoint states of itself in the head of an answer.

        :param EndpointLoad load: load of the endpoint.
        :param AnswerHead head: decoded head of the answer.
        :param float asked_at: when the request was sent, suspend-aware seconds.
        """
        if head.is_leaving:
            self.state.pool.record_leaving(
                head.leaving_endpoint or load.endpoint.endpoint_id, "answer"
            )
        if head.pause_s:
            now = routes.suspend_aware_time()
            self.pauses.record(load.endpoint, head.pause_s, now)
        if not head.is_misdirected:
            self.rate_limits.record_answer(load, head.max_requests_s, asked_at)

    def record_end(self, load, attempt, result, elapsed_s):
        """Record load and health of an endpoint after an attempt.

        :param EndpointLoad load: load of the endpoint.
        :param Attempt attempt: the attempt.
        :param AttemptResult result: its result.
        :param float elapsed_s: time that it took, in seconds.
        """
        now = time.monotonic()
        head = attempt.head_
        if head is not None and head.load is not None:
            load.record_sample(head.load, now)
        if head is not None and head.is_misdirected:
            self.state.record_misdirected(load.endpoint.endpoint_id)
        if head is not None and _blames_other_rank(head, load.endpoint):
            self.state.pool.record_group_down(load, now)
        if result.outcome == _attempt_result.AttemptOutcome.ANSWERED:
            load.record_success()
            self.selector.admission(load.endpoint.service).record_answer(elapsed_s)
        elif result.answer is None:
            load.record_failure(now)

    async def record_output(self, request, load, attempt, result):
        """Record whether an endpoint served a request, or may have crashed by it.

        :param Request request: the request.
        :param EndpointLoad load: load of the endpoint.
        :param Attempt attempt: the attempt.
        :param AttemptResult result: its result.
        """
        parts = request.parts
        now = routes.suspend_aware_time()
        if attempt.output_at_ is not None:
            age_s = time.monotonic() - attempt.output_at_
            self.crash_evidence.record_served(parts, now - age_s, now)
        elif result.answer is not None and result.answer.is_success:
            self.crash_evidence.record_served(parts, now, now)
        elif (
            result.outcome == _attempt_result.AttemptOutcome.UNKNOWN
            and not result.answer
        ):
            self.crash_evidence.record_cut(load.endpoint, parts, now)
            if attempt.is_disconnected_:
                await self._check_endpoint(load.endpoint)

    async def _check_endpoint(self, endpoint):
        """Find out whether an endpoint whose connection ended has crashed.

        Known before the request is repeated, a crash spares further endpoints.
        """
        if await _endpoint_check.refuses_connections(endpoint):
            self.crash_evidence.record_refused(endpoint, routes.suspend_aware_time())


def _blames_other_rank(head, endpoint):
    """Return whether an answer names another rank of the group as faulty."""
    named = head.faulty_endpoint
    return head.is_not_run and bool(named) and named != endpoint.endpoint_id
