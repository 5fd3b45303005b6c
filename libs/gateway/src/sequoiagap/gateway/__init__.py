"""Entry that sends requests straight to endpoints by routes."""

from sequoiagap.gateway._gateway import Gateway, run
from sequoiagap.gateway._messages import EndpointReport, ReadReply, ReadRequest
from sequoiagap.gateway._ports import (
    AnswerHead,
    Dialect,
    LoadSample,
    Node,
    PassOn,
    RequestHead,
    Snapshot,
    Store,
)

__all__ = [
    "AnswerHead",
    "Dialect",
    "EndpointReport",
    "Gateway",
    "LoadSample",
    "Node",
    "PassOn",
    "ReadReply",
    "ReadRequest",
    "RequestHead",
    "Snapshot",
    "Store",
    "run",
]
