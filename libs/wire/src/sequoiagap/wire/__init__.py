"""Typed messages and connections between the processes of the system."""

from sequoiagap.wire._codec import MESSAGE_TYPES_BY_NUMBER, decode, encode, message
from sequoiagap.wire._connection import Connection, accept, connect, listen
from sequoiagap.wire._framing import MAX_FRAME_BYTES, read_frame, write_frame
from sequoiagap.wire._handlers import HandlerTable
from sequoiagap.wire._messages import (
    PROTOCOL_VERSION,
    Cancel,
    Chunk,
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
    Revoke,
    Revoked,
    StateReply,
    StateRequest,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "MESSAGE_TYPES_BY_NUMBER",
    "PROTOCOL_VERSION",
    "Cancel",
    "Chunk",
    "Connection",
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
    "Refused",
    "Revoke",
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
    "write_frame",
]
