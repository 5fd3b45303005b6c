"""Overhead of the path through entry and agent over calling the engine directly.

Usage: ``python benchmarks/path_cost.py [--requests N]``. One entry, one agent and one
engine stand-in run on one machine; nothing is random. Prints the time that the path
adds to the first byte, and the processor time, bytes and messages per request and per
token between entry and agent.
"""

import argparse
import asyncio
import dataclasses
import os
import pathlib
import statistics
import tempfile
import time

from sequoiagap import standins

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STEP_S = 0.005
TOKENS = (1, 20, 100)
CONCURRENCY = 8
ENDPOINT_ID = "middle-model-0"
LENGTH_PREFIX_BYTES = 4


@dataclasses.dataclass
class Traffic:
    """Bytes and messages that a relay has forwarded."""

    size: int = 0
    messages: int = 0


class CountingRelay:
    """TCP relay that forwards framed messages and counts them.

    :param int target_port: port that connections are forwarded to.

    :ivar int port_: port of the relay, 0 before the start.
    :ivar Traffic traffic_: forwarded bytes and messages, in both directions.
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.port_ = 0
        self.traffic_ = Traffic()

    async def start(self):
        """Listen on a free port of the loopback address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port_ = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self.target_port
        )
        await asyncio.gather(
            self._forward(reader, target_writer), self._forward(target_reader, writer)
        )

    async def _forward(self, reader, writer):
        try:
            while True:
                prefix = await reader.readexactly(LENGTH_PREFIX_BYTES)
                payload = await reader.readexactly(int.from_bytes(prefix, "big"))
                self.traffic_.size += len(prefix) + len(payload)
                self.traffic_.messages += 1
                writer.write(prefix + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


def cpu_s(process):
    """Return the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{process.child_.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def time_first_byte(fleet, url, tokens):
    """Stream one answer; return the seconds until its first byte."""
    started_at = time.monotonic()
    body = {"model": "desk-model", "stream": True, "max_tokens": tokens}
    headers = {"Authorization": "Bearer caller-key"}
    path = f"{url}/v1/chat/completions"
    async with fleet.session_.post(path, json=body, headers=headers) as response:
        assert response.status == 200, await response.text()
        await response.content.readany()
        first = time.monotonic() - started_at
        await response.read()
    return first


async def run(fleet, url, tokens, requests):
    """Stream answers from concurrent callers; return sorted first-byte times."""
    remaining = iter(range(requests))
    times = []

    async def caller():
        for _ in remaining:
            times.append(await time_first_byte(fleet, url, tokens))

    await asyncio.gather(*(caller() for _ in range(CONCURRENCY)))
    return sorted(times)


async def measure_first_byte(fleet, requests):
    print("| way | requests | first byte p50 ms | p95 ms |")
    print("| --- | --- | --- | --- |")
    medians = []
    for name, url in (
        ("straight to the engine", fleet.url(f"{ENDPOINT_ID}-target")),
        ("through entry and agent", fleet.url("entry-0")),
    ):
        await run(fleet, url, 2, requests // 10)
        times = await run(fleet, url, 2, requests)
        medians.append(statistics.median(times))
        p95 = times[int(0.95 * len(times))]
        print(f"| {name} | {len(times)} | {medians[-1] * 1e3:.2f} | {p95 * 1e3:.2f} |")
    print(f"\nadded at the median: {(medians[1] - medians[0]) * 1e3:.2f} ms\n")


async def measure_slopes(fleet, relay, requests):
    processes = [fleet.process_by_name[n] for n in ("entry-0", ENDPOINT_ID)]
    rows = []
    print("| tokens | entry ms | agent ms | bytes | messages | for each request |")
    print("| --- | --- | --- | --- | --- | --- |")
    for tokens in TOKENS:
        before = [cpu_s(p) for p in processes]
        traffic = dataclasses.replace(relay.traffic_)
        count = max(requests * 4 // (tokens + 3), 200)
        await run(fleet, fleet.url("entry-0"), tokens, count)
        cpu = [(cpu_s(p) - b) / count for p, b in zip(processes, before, strict=True)]
        size = (relay.traffic_.size - traffic.size) / count
        messages = (relay.traffic_.messages - traffic.messages) / count
        rows.append((tokens, *cpu, size, messages))
        print(
            f"| {tokens} | {cpu[0] * 1e3:.2f} | {cpu[1] * 1e3:.2f} "
            f"| {size:.0f} | {messages:.1f} | {count} |"
        )
    print_slopes(rows)


def print_slopes(rows):
    first, last = rows[0], rows[-1]
    print("\n| cost | for each request | for each token |\n| --- | --- | --- |")
    names = ("entry processor ms", "agent processor ms", "bytes", "messages")
    for column, name in enumerate(names, start=1):
        scale = 1e3 if "processor" in name else 1.0
        slope = (last[column] - first[column]) / (last[0] - first[0])
        base = first[column] - slope * first[0]
        print(f"| {name} | {base * scale:.3f} | {slope * scale:.4f} |")


async def main(requests):
    plan = standins.FleetPlan(
        domains=("middle",),
        entries=1,
        services_per_domain=0,
        engine={"step_s": STEP_S, "cold_s": 0.0, "capacity": 256},
        endpoint={"warm_limit": 64, "cold_limit": 32},
        config={
            "client_accounts": {"caller": {"weight": 1, "max_in_flight": 1000}},
        },
    )
    with tempfile.TemporaryDirectory() as folder:
        async with standins.Fleet(plan, folder) as fleet:
            await measure_first_byte(fleet, requests)
            relay = CountingRelay(fleet.process_by_name[ENDPOINT_ID].ready_["port"])
            await relay.start()
            await use_relay(fleet, relay)
            await measure_slopes(fleet, relay, requests)


async def use_relay(fleet, relay):
    host = {
        "host_id": ENDPOINT_ID,
        "role": "agent",
        "address": "127.0.0.1",
        "port": relay.port_,
        "failure_domain": "middle",
        "state": "live",
        "serves": ["desk-model"],
    }
    await fleet.call("platform", "PUT", f"/hosts/{ENDPOINT_ID}", host)

    async def is_relayed():
        if relay.traffic_.messages == 0:
            return False
        _, state = await fleet.call("entry-0", "GET", "/state")
        return state["endpoints"][ENDPOINT_ID]["connected"]

    await fleet.wait_until(is_relayed, 10.0)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--requests", type=int, default=1000)
    options = parser.parse_args()
    asyncio.run(main(options.requests))
