"""Length-prefixed frames on a byte stream.

A frame is a big-endian unsigned 32-bit length, followed by that many bytes.
"""

import asyncio
import struct

from sequoiagap import base

MAX_FRAME_BYTES = 8 * 1024 * 1024
_LENGTH = struct.Struct(">I")


async def read_frame(reader, max_bytes=MAX_FRAME_BYTES):
    """Read one frame.

    :param asyncio.StreamReader reader: stream to read from.
    :param int max_bytes: maximum payload size in bytes.
    :returns: the payload, or ``None`` at a clean end of the stream.
    :rtype: bytes | None
    :raises sequoiagap.base.WireError: if the frame is too long or incomplete.
    """
    try:
        prefix = await reader.readexactly(_LENGTH.size)
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise base.WireError("frame length is cut off", "Reconnect") from error
    (length,) = _LENGTH.unpack(prefix)
    if length > max_bytes:
        raise base.WireError(
            f"frame of {length} bytes is over the limit of {max_bytes}",
            "Send smaller messages, or check that the peer speaks this protocol",
        )
    try:
        return await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise base.WireError("frame payload is cut off", "Reconnect") from error


def write_frame(writer, payload, max_bytes=MAX_FRAME_BYTES):
    """Queue one frame for sending.

    :param asyncio.StreamWriter writer: stream to write to.
    :param bytes payload: payload to send.
    :param int max_bytes: maximum payload size in bytes.
    :raises sequoiagap.base.WireError: if the payload is too long.
    """
    if len(payload) > max_bytes:
        raise base.WireError(
            f"message of {len(payload)} bytes is over the limit of {max_bytes}",
            "Send a smaller body",
        )
    writer.write(_LENGTH.pack(len(payload)) + payload)
