"""Errors, events, metrics, registries and parameter checks shared by every library."""

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
from sequoiagap.base._events import CATALOGUE, Event, configure_logs, get_logger
from sequoiagap.base._ids import new_id
from sequoiagap.base._metrics import Metrics
from sequoiagap.base._registry import Registry
from sequoiagap.base._tasks import TaskSet, cancel_and_wait
from sequoiagap.base._tls import TlsContexts

__all__ = [
    "CATALOGUE",
    "ConfigError",
    "Event",
    "Metrics",
    "Outcome",
    "PlatformError",
    "Refusal",
    "RefusalKind",
    "Registry",
    "SequoiagapError",
    "TaskSet",
    "TlsContexts",
    "WireError",
    "cancel_and_wait",
    "check_choice",
    "check_fraction",
    "check_name",
    "check_non_negative",
    "check_positive",
    "configure_logs",
    "get_logger",
    "new_id",
]
