"""Stand-in for clients: one attempt over a connection of its own."""

import asyncio
import dataclasses
import itertools
import secrets

from standins_2 import http, programs

HOST = "desk.example"
READY_CHECK_S = 0.1

_numbers = itertools.count(1)


@dataclasses.dataclass
class Outcome:
    """What a client has seen of one attempt.

    :param int status: the status; 0 for no answer.
    :param bool is_complete: whether the answer came to its end.
    """

    request_id: str
    status: int = 0
    is_complete: bool = False
    body: bytes = b""
    headers: object = None


async def call(
    address, path, record, *, method="POST", key="", headers=(), body=b"", timeout_s=8.0
):
    """Send a request to a gateway and return its :class:`Outcome`."""
    outcome = Outcome(f"{next(_numbers):04x}{secrets.token_hex(6)}")
    sent = [
        ("Host", HOST),
        ("Request-Id", outcome.request_id),
        ("Deadline-Ms", int(timeout_s * 1000)),
        *headers,
    ]
    if key:
        sent.append(("Authorization", f"Token {key}"))
    record.write("sent", id=outcome.request_id, to=address, path=path, key=key or "-")
    writer = None
    try:
        async with asyncio.timeout(timeout_s + 1.0):
            reader, writer = await asyncio.open_connection(address, programs.FRONT_PORT)
            writer.write(http.write(f"{method} {path} HTTP/1.1", sent, body))
            await _read_answer(reader, outcome)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    record.write(
        "answered",
        id=outcome.request_id,
        status=outcome.status,
        complete=outcome.is_complete,
        body=outcome.body[:120],
    )
    return outcome


async def is_ready(address):
    """Return whether a gateway says that it is ready."""
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(address, programs.READY_PORT)
            writer.write(http.write("GET /api/readiness HTTP/1.1", [("Host", address)]))
            head = await http.read_head(reader)
            return head is not None and head.status == 200
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.close()


async def until_ready(address, timeout_s=20.0):
    """Wait until a gateway says that it is ready.

    :raises TimeoutError: if it doesn't in time.
    """
    for _ in range(round(timeout_s / READY_CHECK_S)):
        if await is_ready(address):
            return
        await asyncio.sleep(READY_CHECK_S)
    raise TimeoutError(f"{address} is not ready after {timeout_s} s")


async def _read_answer(reader, outcome):
    head = await http.read_head(reader)
    if head is None:
        return
    outcome.status, outcome.headers = head.status, head
    if head.get("Transfer-Encoding").lower() == "chunked":
        while piece := await http.read_chunk(reader):
            outcome.body += piece
    else:
        outcome.body = await reader.readexactly(int(head.get("Content-Length", "0")))
    outcome.is_complete = True
