"""Log lines and metrics of the attempts of requests."""

import asyncio
import time

from sequoiagap import base
from sequoiagap.gateway import _attempt_result

CLOSE_CHECK_S = 0.1  # by then an abandoned attempt has closed its connection
MILLISECONDS = 1000

_log = base.get_logger("dispatch")


class AttemptLog:
    """Records attempts in the log and in the metrics.

    :param base.Metrics metrics: metrics of the process.
    :param config_version: function that returns the configuration version in force.
    """

    def __init__(self, metrics, config_version):
        self.metrics = metrics
        self.config_version = config_version

    def record_wait(self, request, outage_s, began):
        """Record that a request waited while its endpoints were down.

        :param Request request: the request.
        :param float outage_s: age of the outage when the wait began, in seconds.
        :param float began: when the wait began, monotonic seconds.
        """
        waited_s = time.monotonic() - began
        self.metrics.observe("outage_wait_seconds", waited_s, target=request.service)
        _log.emit(
            base.Event.REQUEST_WAITED,
            request_id=request.request_id,
            config_version=self.config_version(),
            outage_s=round(outage_s, 2),
            waited_ms=round(waited_s * MILLISECONDS),
        )

    def record_sent(self, request, attempt_id, load, expected, is_repeat):
        """Record that a request is about to be sent, and its endpoint's load.

        :param Request request: the request.
        :param str attempt_id: id of the attempt.
        :param EndpointLoad load: load of the endpoint.
        :param int expected: estimated number of requests at the endpoint.
        :param bool is_repeat: whether the request was sent before.
        """
        self.metrics.count("attempts_sent_total", service=request.service)
        _log.emit(
            base.Event.ATTEMPT_SENT,
            request_id=request.request_id,
            attempt_id=attempt_id,
            endpoint=load.endpoint.endpoint_id,
            failure_domain=load.endpoint.failure_domain,
            config_version=self.config_version(),
            expected=expected,
            own=len(load.sent_at_by_attempt),
            report_age_ms=_report_age_ms(load),
            repeat=is_repeat,
        )

    def record_retry(self, request, attempt_number, budget, is_granted):
        """Record that the retry budget granted or denied a further attempt.

        :param Request request: the request.
        :param int attempt_number: number of the further attempt; the first is 1.
        :param sequoiagap.admission.RetryBudget budget: budget of its service.
        :param bool is_granted: whether it was granted.
        """
        if is_granted:
            self.metrics.count("retries_total", service=request.service)
        else:
            self.metrics.count("retries_denied_total", service=request.service)
        _log.emit(
            base.Event.RETRY_DECIDED,
            request_id=request.request_id,
            config_version=self.config_version(),
            service=request.service,
            attempt_number=attempt_number,
            granted=is_granted,
            left=round(budget.saved_, 2),
            burst=round(budget.burst, 2),
            first_attempts=budget.first_attempts_,
            retries=budget.retries_,
        )

    def record_abandoned(self, request, attempt_id, load, attempt, began):
        """Record an attempt that was cancelled together with its request.

        The connection is checked a moment later and logged if it is still open.

        :param Request request: the request.
        :param str attempt_id: id of the attempt.
        :param EndpointLoad load: load of the endpoint.
        :param Attempt attempt: the attempt.
        :param float began: when it began, monotonic seconds.
        """
        outcome = _attempt_result.AttemptOutcome.UNKNOWN
        if not attempt.is_sent_:
            outcome = _attempt_result.AttemptOutcome.NOT_SENT
        result = _attempt_result.AttemptResult(outcome, "the request was cancelled")
        self.record_end(request, attempt_id, load, attempt, result, began)
        loop = asyncio.get_running_loop()
        loop.call_later(CLOSE_CHECK_S, _log_lingering, request, attempt_id, attempt)

    def record_end(self, request, attempt_id, load, attempt, result, began):
        """Record how an attempt ended.

        :param Request request: the request.
        :param str attempt_id: id of the attempt.
        :param EndpointLoad load: load of the endpoint.
        :param Attempt attempt: the attempt.
        :param AttemptResult result: its result.
        :param float began: when it began, monotonic seconds.
        """
        elapsed_s = time.monotonic() - began
        self.metrics.observe(
            "attempt_seconds",
            elapsed_s,
            outcome=str(result.outcome),
            target=request.service,
        )
        _log.emit(
            base.Event.ATTEMPT_ENDED,
            request_id=request.request_id,
            attempt_id=attempt_id,
            config_version=self.config_version(),
            endpoint=load.endpoint.endpoint_id,
            outcome=str(result.outcome),
            reason=result.reason,
            first_byte_ms=round(attempt.first_byte_s_ * MILLISECONDS),
            elapsed_ms=round(elapsed_s * MILLISECONDS),
            is_closed=attempt.is_closed_,
        )


def _log_lingering(request, attempt_id, attempt):
    """Log a connection that is still open after its attempt was abandoned."""
    if attempt.is_closed_:
        return
    _log.emit(
        base.Event.ATTEMPT_LINGERS,
        request_id=request.request_id,
        attempt_id=attempt_id,
        after_ms=round(CLOSE_CHECK_S * MILLISECONDS),
    )


def _report_age_ms(load):
    """Return the age of an endpoint's newest report; -1 if there is none."""
    if load.sample is None:
        return -1
    return round((time.monotonic() - load.sampled_at) * MILLISECONDS)
