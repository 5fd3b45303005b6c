"""Typed messages and connections between the processes of the system."""

from sequoiagap.wire._codec import MESSAGE_TYPES_BY_NUMBER, decode, encode, message
from sequoiagap.wire._connection import Connection, accept, connect
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
    Refused,
    Revoked,
    StateReply,
    StateRequest,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "MESSAGE_TYPES_BY_NUMBER",
    "PROTOCOL_VERSION",
    "AgentClock",
    "Attach",
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
    "Refused",
    "Revoked",
    "StateReply",
    "StateRequest",
    "accept",
    "connect",
    "decode",
    "encode",
    "message",
    "read_frame",
    "write_frame",
]
