"""Server in a process of its own that writes without end, as fast as it can.

``python -m tests.gateway.endless_server`` reads two lines with the beginning and the
piece in hex, and prints its port. Each connection gets the beginning, then the piece
until it closes.
"""

import asyncio
import sys

REQUEST_END = b"\r\n\r\n"
MODULE = "tests.gateway.endless_server"
START_TIMEOUT_S = 10.0


class EndlessServer:
    """Handle on the process.

    :param bytes beginning: what each connection gets first.
    :param bytes piece: what it gets again and again.

    :ivar int port: where it listens.
    """

    def __init__(self, beginning, piece):
        self.beginning = beginning
        self.piece = piece
        self.port = 0
        self._process = None

    async def start(self):
        """Start the process and wait until it listens."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            MODULE,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        lines = f"{self.beginning.hex()}\n{self.piece.hex()}\n"
        self._process.stdin.write(lines.encode())
        async with asyncio.timeout(START_TIMEOUT_S):
            self.port = int(await self._process.stdout.readline())

    async def stop(self):
        """End the process."""
        self._process.kill()
        await self._process.wait()


async def _serve(beginning, piece):
    async def write_endlessly(reader, writer):
        try:
            await reader.readuntil(REQUEST_END)
            writer.write(beginning)
            while True:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)  # all connections progress alike
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(write_endlessly, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_serve(bytes.fromhex(input()), bytes.fromhex(input())))
