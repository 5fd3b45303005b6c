"""Entry that sends requests straight to endpoints by routes.

The program is loaded where it is first used: agents need the types alone, and start
the sooner.
"""

import importlib

from sequoiagap.gateway._messages import EndpointReport, ReadReply, ReadRequest
from sequoiagap.gateway._ports import (
    AnswerHead,
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
    """Return a name of the program."""
    if name in _PROGRAM_NAMES:
        return getattr(importlib.import_module(_PROGRAM), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
