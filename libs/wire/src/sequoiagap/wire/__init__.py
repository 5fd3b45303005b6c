"""Wire protocol between processes: messages, framing, handshake, connections."""

from sequoiagap.wire._bounded_response import BoundedResponse
from sequoiagap.wire._codec import MESSAGE_TYPES_BY_NUMBER, decode, encode, message
from sequoiagap.wire._connection import (
    Connection,
    accept,
    connect,
    listen,
    try_send,
)
from sequoiagap.wire._framing import MAX_FRAME_BYTES, read_frame, write_frame
from sequoiagap.wire._handlers import HandlerTable
from sequoiagap.wire._messages import (
    PROTOCOL_VERSION,
    AgentClock,
    Attach,
    Cancel,
    Chunk,
    Credit,
    Execute,
    Final,
    Goodbye,
    Head,
    Hello,
    Load,
    Ping,
    Pong,
    Proof,
    Refused,
    Revoked,
    StateReply,
    StateRequest,
)
from sequoiagap.wire._pending_requests import PendingRequests
from sequoiagap.wire._send_once import send_once

__all__ = [
    "MAX_FRAME_BYTES",
    "MESSAGE_TYPES_BY_NUMBER",
    "PROTOCOL_VERSION",
    "AgentClock",
    "Attach",
    "BoundedResponse",
    "Cancel",
    "Chunk",
    "Connection",
    "Credit",
    "Execute",
    "Final",
    "Goodbye",
    "HandlerTable",
    "Head",
    "Hello",
    "Load",
    "Ping",
    "Pong",
    "Proof",
    "PendingRequests",
    "Refused",
    "Revoked",
    "StateReply",
    "StateRequest",
    "accept",
    "connect",
    "decode",
    "encode",
    "listen",
    "message",
    "read_frame",
    "send_once",
    "try_send",
    "write_frame",
]
