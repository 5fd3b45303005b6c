"""Gateway: forwards callers' HTTP requests to endpoints along configured routes.

The process code is imported on first use: agents need only the data types and start
faster without it.
"""

import importlib

from sequoiagap.gateway._messages import EndpointReport, ReadReply, ReadRequest
from sequoiagap.gateway._ports import (
    AnswerHead,
    CrashRecord,
    Dialect,
    ForwardHead,
    LoadSample,
    Node,
    Reading,
    RequestHead,
    Snapshot,
    Store,
)
from sequoiagap.gateway._registration import Registration

_PROGRAM = "sequoiagap.gateway._gateway"
_PROGRAM_NAMES = ("Gateway", "run")

__all__ = [
    "AnswerHead",
    "CrashRecord",
    "Dialect",
    "EndpointReport",
    "ForwardHead",
    "Gateway",
    "LoadSample",
    "Node",
    "ReadReply",
    "ReadRequest",
    "Reading",
    "Registration",
    "RequestHead",
    "Snapshot",
    "Store",
    "run",
]


def __getattr__(name):
    """Return ``Gateway`` or ``run``, importing the process code on first use."""
    if name in _PROGRAM_NAMES:
        return getattr(importlib.import_module(_PROGRAM), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
