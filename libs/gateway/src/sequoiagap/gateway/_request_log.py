"""Log lines and metrics of callers' requests."""

import time

from sequoiagap import base, routes
from sequoiagap.gateway import _attempt_result

MILLISECONDS = 1000
MAX_PROOF_AGE_S = 1e6  # in the log, for a configuration that was never proved

_log = base.get_logger("front")


class RequestLog:
    """Records callers' requests in the log and in the metrics.

    :param state: object with ``table`` and ``freshness`` in force.
    :param base.Metrics metrics: metrics of the process.
    """

    def __init__(self, state, metrics):
        self.state = state
        self.metrics = metrics

    def record_admitted(self, request, timeout_s):
        """Record an admitted request.

        :param Request request: the request.
        :param float timeout_s: time until its final answer is due, in seconds.
        """
        self.metrics.count("admitted_total", account=request.account)
        _log.emit(
            base.Event.REQUEST_ADMITTED,
            request_id=request.request_id,
            config_version=self.state.table.version,
            account=request.account,
            route=request.route.name,
            service=request.service,
            kind=str(request.route.kind),
            timeout_ms=round(timeout_s * MILLISECONDS),
            proof_age_s=self._proof_age(),
        )

    def record_refused(self, refusal, request_id, began):
        """Record a refused request.

        :param sequoiagap.base.Refusal refusal: the refusal.
        :param str request_id: the caller's id; empty if missing.
        :param float began: when it arrived, monotonic seconds.
        """
        self.metrics.count("refused_total", kind=str(refusal.kind))
        _log.emit(
            base.Event.REQUEST_REFUSED,
            request_id=request_id,
            config_version=self.state.table.version,
            kind=str(refusal.kind),
            outcome=str(refusal.outcome),
            reason=refusal.message,
            setting=refusal.setting,
            retry_after_s=round(refusal.retry_after_s, 3),
            elapsed_ms=_elapsed_ms(began),
            proof_age_s=self._proof_age(),
        )

    def record_answered(self, request, result, began):
        """Record a complete answer.

        :param Request request: the request.
        :param result: its :class:`Answer`, or ``None`` for a stream.
        :param float began: when it arrived, monotonic seconds.
        """
        status = result.status if isinstance(result, _attempt_result.Answer) else 200
        elapsed_s = time.monotonic() - began
        self.metrics.count("answered_total")
        self.metrics.observe("request_seconds", elapsed_s, target=request.service)
        _log.emit(
            base.Event.REQUEST_ANSWERED,
            request_id=request.request_id,
            config_version=self.state.table.version,
            status=status,
            elapsed_ms=_elapsed_ms(began),
        )

    def record_cut(self, request, refusal, began):
        """Record a stream that was cut short.

        :param Request request: the request.
        :param sequoiagap.base.Refusal refusal: why.
        :param float began: when it arrived, monotonic seconds.
        """
        self.metrics.count("cut_total")
        _log.emit(
            base.Event.REQUEST_CUT,
            request_id=request.request_id,
            config_version=self.state.table.version,
            kind=str(refusal.kind),
            outcome=str(refusal.outcome),
            reason=refusal.message,
            elapsed_ms=_elapsed_ms(began),
        )

    def record_caller_left(self, request, sink, began, error):
        """Record a caller that closed its connection.

        :param Request request: the request.
        :param StreamSink sink: its stream.
        :param float began: when it arrived, monotonic seconds.
        :param BaseException error: how this was noticed.
        """
        self.metrics.count("caller_left_total")
        _log.emit(
            base.Event.CALLER_LEFT,
            request_id=request.request_id,
            config_version=self.state.table.version,
            reason=type(error).__name__,
            started=sink.started,
            elapsed_ms=_elapsed_ms(began),
        )

    def _proof_age(self):
        age_s = self.state.freshness.age(routes.suspend_aware_time())
        return round(min(age_s, MAX_PROOF_AGE_S), 2)


def _elapsed_ms(began):
    return round((time.monotonic() - began) * MILLISECONDS)
