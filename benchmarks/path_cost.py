"""What the path through entry and agent costs, over calling the endpoint.

Usage: ``python benchmarks/path_cost.py [--requests N]``. One entry, one agent and
one engine stand-in on one machine; nothing is random. Prints the added time to
the first byte, and slopes of processor time, bytes and messages for each request
and for each token, between entry and agent.
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
MODEL = "middle-model-0"
PREFIX_BYTES = 4


@dataclasses.dataclass
class Traffic:
    """Bytes and messages that passed a relay."""

    size: int = 0
    messages: int = 0


class CountingRelay:
    """Passes framed messages on and counts them."""

    def __init__(self, port):
        self.port = port
        self.port_ = 0
        self.traffic_ = Traffic()

    async def start(self):
        """Listen on a port of the system's choice."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port_ = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.gather(
            self._pass_on(reader, far_writer), self._pass_on(far_reader, writer)
        )

    async def _pass_on(self, reader, writer):
        try:
            while True:
                prefix = await reader.readexactly(PREFIX_BYTES)
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


async def first_byte_s(fleet, url, tokens):
    """Stream one answer; return the time to its first byte."""
    began = time.monotonic()
    body = {"model": "desk-model", "stream": True, "max_tokens": tokens}
    headers = {"Authorization": "Bearer caller-key"}
    path = f"{url}/v1/chat/completions"
    async with fleet.session_.post(path, json=body, headers=headers) as response:
        assert response.status == 200, await response.text()
        await response.content.readany()
        first = time.monotonic() - began
        await response.read()
    return first


async def run(fleet, url, tokens, requests):
    """Stream many answers, a few at once; return first-byte times."""
    left = iter(range(requests))
    times = []

    async def caller():
        for _ in left:
            times.append(await first_byte_s(fleet, url, tokens))

    await asyncio.gather(*(caller() for _ in range(CONCURRENCY)))
    return sorted(times)


async def measure_first_byte(fleet, requests):
    print("| way | requests | first byte p50 ms | p95 ms |")
    print("| --- | --- | --- | --- |")
    medians = []
    for name, url in (
        ("straight to the engine", fleet.url(f"{MODEL}-target")),
        ("through entry and agent", fleet.url("entry-0")),
    ):
        await run(fleet, url, 2, requests // 10)
        times = await run(fleet, url, 2, requests)
        medians.append(statistics.median(times))
        p95 = times[int(0.95 * len(times))]
        print(f"| {name} | {len(times)} | {medians[-1] * 1e3:.2f} | {p95 * 1e3:.2f} |")
    print(f"\nadded at the median: {(medians[1] - medians[0]) * 1e3:.2f} ms\n")


async def measure_slopes(fleet, relay, requests):
    processes = [fleet.process_by_name[n] for n in ("entry-0", MODEL)]
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
            relay = CountingRelay(fleet.process_by_name[MODEL].ready_["port"])
            await relay.start()
            await use_relay(fleet, relay)
            await measure_slopes(fleet, relay, requests)


async def use_relay(fleet, relay):
    host = {
        "host_id": MODEL,
        "role": "agent",
        "address": "127.0.0.1",
        "port": relay.port_,
        "failure_domain": "middle",
        "state": "live",
        "serves": ["desk-model"],
    }
    await fleet.call("platform", "PUT", f"/hosts/{MODEL}", host)

    async def is_relayed():
        if relay.traffic_.messages == 0:
            return False
        _, state = await fleet.call("entry-0", "GET", "/state")
        return state["endpoints"][MODEL]["connected"]

    await fleet.wait_until(is_relayed, 10.0)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--requests", type=int, default=1000)
    options = parser.parse_args()
    asyncio.run(main(options.requests))
