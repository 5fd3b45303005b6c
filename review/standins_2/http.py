"""HTTP/1.1 on plain streams, as far as the stand-ins need it."""

import asyncio
import dataclasses

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request"}


@dataclasses.dataclass
class Message:
    """A request or an answer: its first line, headers and body."""

    first: str
    headers: list
    body: bytes = b""

    def get(self, name, default=""):
        """Return the first value of a header."""
        for known, value in self.headers:
            if known.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        """Status of an answer."""
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Return the head of the next message, or ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = [
        tuple(line.split(": ", 1)) if ": " in line else (line.rstrip(":"), "")
        for line in lines
    ]
    return Message(first, headers)


async def read_chunk(reader):
    """Return the next chunk of a body; empty for the last one."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, message):
    """Read the body that the headers announce."""
    if message.get("Transfer-Encoding").lower() == "chunked":
        pieces = []
        while piece := await read_chunk(reader):
            pieces.append(piece)
        message.body = b"".join(pieces)
    else:
        message.body = await reader.readexactly(int(message.get("Content-Length", "0")))
    return message


def write(first, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def answer(status, headers=(), body=b""):
    """Return the bytes of an answer with a length."""
    return write(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers, body)
