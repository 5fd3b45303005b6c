"""Bytes that one watcher of the platform reads for a configuration change.

Usage: ``python -m benchmarks.watch_bytes [--changes N] [--interval-s S]``.
"""

import argparse
import asyncio
import time

from benchmarks import sizes

from sequoiagap import config, platform, standins
from sequoiagap.entry import _config_watch

CHUNK_BYTES = 65_536
IDLE_S = 12.0
CHANGES_A_SECOND = 39_000 / 86_400
CALL_TIMEOUT_S = 2.0


class CountingRelay:
    """Passes connections on and counts their bytes, headers included.

    :param int target_port: where to.

    :ivar int bytes_: bytes passed so far, both ways.
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.bytes_ = 0

    async def serve(self, reader, writer):
        """Serve one connection until both ends close it."""
        onward = await asyncio.open_connection("127.0.0.1", self.target_port)
        await asyncio.gather(
            self._pump(reader, onward[1]), self._pump(onward[0], writer)
        )

    async def _pump(self, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            self.bytes_ += len(data)
            writer.write(data)
            await writer.drain()
        writer.close()


async def measure(changes, interval_s):
    """Print bytes a second of an idle watcher and bytes for each change.

    :param int changes: how many changes to accept.
    :param float interval_s: time between two of them, in seconds.
    """
    runner, port = await standins.start(standins.PlatformStandIn())
    relay = CountingRelay(port)
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    relay_port = server.sockets[0].getsockname()[1]
    url = f"http://127.0.0.1:{relay_port}"
    watched = platform.PlatformClient(url, CALL_TIMEOUT_S)
    operator = platform.PlatformClient(f"http://127.0.0.1:{port}", CALL_TIMEOUT_S)
    store = config.ConfigStore(operator)
    first = config.Patch("first", 0, sizes.make_document(), "ann")
    await store.submit(first)
    holder = config.ConfigHolder()
    duty = config.WatchSchedule(time.monotonic())
    replica = config.ConfigReplica(holder)
    watch = _config_watch.ConfigWatch(watched, holder, replica, duty, lambda: 0)
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(2.0)
    idle = await _count(relay, asyncio.sleep(IDLE_S))
    print(f"idle: {idle / IDLE_S:.0f} bytes a second")
    began = time.monotonic()
    busy = await _count(relay, _change(store, changes, interval_s))
    took_s = time.monotonic() - began
    await asyncio.sleep(1.0)
    print(f"with {changes / took_s:.2f} changes a second: {busy / took_s:.0f} bytes")
    per_change = (busy - idle / IDLE_S * took_s) / changes
    worked_out = idle / IDLE_S + per_change * CHANGES_A_SECOND
    print(f"for each change: {per_change:.0f} bytes")
    print(f"worked out at {CHANGES_A_SECOND:.2f} changes a second: {worked_out:.0f}")
    print(f"in force: {holder.current_.number} of {changes + 1}")
    task.cancel()
    await watched.close()
    await operator.close()
    server.close()
    await runner.cleanup()


async def _count(relay, awaitable):
    before = relay.bytes_
    await awaitable
    return relay.bytes_ - before


async def _change(store, changes, interval_s):
    for number in range(1, changes + 1):
        name = f"client-account-{number:04d}"
        document = {"client_accounts": {name: {"weight": number % 9 + 1}}}
        await store.submit(config.Patch(f"p{number}", number, document, "ann"))
        await asyncio.sleep(interval_s)


def main():
    """Read the arguments and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--interval-s", type=float, default=2.0)
    arguments = parser.parse_args()
    asyncio.run(measure(arguments.changes, arguments.interval_s))


if __name__ == "__main__":
    main()
