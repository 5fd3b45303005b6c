"""Errors, log events, metrics, registries and parameter checks of all libraries."""

from sequoiagap.base._backoff import Backoff
from sequoiagap.base._check import (
    check_choice,
    check_fraction,
    check_name,
    check_non_negative,
    check_positive,
)
from sequoiagap.base._errors import (
    ConfigError,
    Outcome,
    PlatformError,
    Refusal,
    RefusalKind,
    SequoiagapError,
    WireError,
)
from sequoiagap.base._events import (
    CATALOGUE,
    Event,
    configure_logs,
    get_logger,
    suppressed_lines,
)
from sequoiagap.base._ids import new_id
from sequoiagap.base._line_limiter import LineLimiter
from sequoiagap.base._log_stream import BoundedStream
from sequoiagap.base._metric_catalogue import METRIC_CATALOGUE
from sequoiagap.base._metrics import QUANTILES, Metrics
from sequoiagap.base._program import run_program
from sequoiagap.base._registry import Registry
from sequoiagap.base._tasks import MAX_LOOP_LAG_S, TaskSet, cancel_and_wait
from sequoiagap.base._tls import TlsContexts
from sequoiagap.base._usage import Usage, collect_process_metrics, read_usage

__all__ = [
    "MAX_LOOP_LAG_S",
    "Backoff",
    "BoundedStream",
    "CATALOGUE",
    "METRIC_CATALOGUE",
    "ConfigError",
    "Event",
    "LineLimiter",
    "Metrics",
    "Outcome",
    "QUANTILES",
    "PlatformError",
    "Refusal",
    "RefusalKind",
    "Registry",
    "SequoiagapError",
    "TaskSet",
    "TlsContexts",
    "Usage",
    "WireError",
    "cancel_and_wait",
    "check_choice",
    "check_fraction",
    "check_name",
    "check_non_negative",
    "check_positive",
    "collect_process_metrics",
    "configure_logs",
    "get_logger",
    "new_id",
    "read_usage",
    "run_program",
    "suppressed_lines",
]
