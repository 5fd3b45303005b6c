"""Minimal HTTP/1.1 server on asyncio streams, as the stand-ins need it."""

import asyncio
import dataclasses
import socket
import struct

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 256 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Request:
    """A request as it was read.

    :ivar dict headers: values by lower-case name.
    """

    method: str
    target: str
    headers: dict
    body: bytes


class WebServer:
    """Serves requests on a loopback address.

    :param handle: coroutine function that takes a request and its stream writer, and
        returns status, headers and body; ``None`` if it has written the answer itself.
    """

    def __init__(self, handle):
        self.handle = handle
        self._server = None
        self._writers = set()

    async def start(self, address, port):
        """Listen at an address."""
        self._server = await asyncio.start_server(
            self._serve, address, port, limit=MAX_HEAD_BYTES
        )

    def stop(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._answer_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_one(self, reader, writer):
        request = await read_request(reader)
        answer = await self.handle(request, writer)
        if answer is None:
            return False
        status, headers, body = answer
        writer.write(make_head(status, {**headers, "Content-Length": len(body)}) + body)
        await writer.drain()
        return request.headers.get("connection", "").lower() != "close"


async def read_request(reader):
    """Return the next request of a connection."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    request_line, *lines = head.strip().split("\r\n")
    method, target, _ = request_line.split(" ")
    headers = _read_headers(lines)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


async def read_head(reader):
    """Return status and headers of the next answer of a connection."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    status_line, *lines = head.strip().split("\r\n")
    return int(status_line.split(" ")[1]), _read_headers(lines)


async def read_chunk(reader):
    """Return the next chunk of a body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def call(address, port, method, path, headers, body=b"", timeout_s=5.0):
    """Send a request over a new connection; return status, headers and body.

    :raises OSError: if the connection failed or ended before the answer did.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(address, port)
        try:
            sent = {"Host": f"{address}:{port}", **headers, "Connection": "close"}
            if body:
                sent["Content-Length"] = len(body)
            writer.write(make_request(method, path, sent) + body)
            status, received = await read_head(reader)
            return status, received, await _read_body(reader, received)
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("the connection ended early") from error
        finally:
            writer.close()


async def _read_body(reader, headers):
    if headers.get("transfer-encoding") == "chunked":
        pieces = []
        while piece := await read_chunk(reader):
            pieces.append(piece)
        return b"".join(pieces)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def make_request(method, path, headers):
    """Return the head of a request."""
    return _make(f"{method} {path} HTTP/1.1", headers)


def make_head(status, headers):
    """Return the head of an answer."""
    return _make(f"HTTP/1.1 {status} Status", headers)


def reset(writer):
    """Close a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def _make(first_line, headers):
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _read_headers(lines):
    pairs = (line.partition(":") for line in lines)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}
