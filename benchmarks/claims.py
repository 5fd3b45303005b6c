"""Ways to keep claims of keys: writes a second, bytes and latency.

Usage: ``python benchmarks/claims.py [--seconds S] [--seed N]``. A platform
stand-in that needs 4 ms a call runs in a process of its own; three agents of one
service claim keys at random moments. The baseline writes one object for each
claim and deletes it later.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import random
import statistics
import sys
import tempfile
import time

import aiohttp

from sequoiagap import base, outcome, platform, standins
from sequoiagap.outcome import _affinity

CALL_S = 0.004
AGENTS = 3
RATES = (20, 100, 400, 1000)
TIMEOUT_S = 2.0


@dataclasses.dataclass
class Tally:
    """What one run cost."""

    writes: int = 0
    written_bytes: int = 0
    held: int = 0
    latencies_s: list = dataclasses.field(default_factory=list)


class CountingClient(platform.PlatformClient):
    """Counts writes and their bytes."""

    def __init__(self, url, tally):
        super().__init__(url, TIMEOUT_S)
        self.tally = tally

    async def put(self, name, value, expected_version):
        """Write an object and count it."""
        self.tally.writes += 1
        self.tally.written_bytes += len(json.dumps(value))
        return await super().put(name, value, expected_version)

    async def delete(self, name, expected_version):
        """Delete an object and count it."""
        self.tally.writes += 1
        await super().delete(name, expected_version)


class EachStore:
    """The baseline: one object for each claim, deleted when it expires."""

    def __init__(self, client):
        self.client = client
        self.tasks_ = base.TaskSet()

    async def claim(self, wish, timeout_s):
        """Create the claim's object."""
        value = dataclasses.asdict(wish)
        stored = await self.client.put(f"claim-{wish.identity}", value, 0)
        self.tasks_.start(self._expire(stored), "expire")
        return outcome.ClaimResult(outcome.ClaimDecision.HELD, wish)

    async def close(self):
        """Wait for the deletions."""
        await asyncio.gather(*self.tasks_.tasks_)

    async def _expire(self, stored):
        await asyncio.sleep(0.5)
        await self.client.delete(stored.name, stored.version)


async def claim_one(store, wish, tally):
    began = time.monotonic()
    answer = await store.claim(wish, TIMEOUT_S)
    tally.latencies_s.append(time.monotonic() - began)
    tally.held += answer.decision == outcome.ClaimDecision.HELD


async def run_way(url, make_store, rate, seconds, random_state):
    tally = Tally()
    clients = [CountingClient(url, tally) for _ in range(AGENTS)]
    stores = {f"agent-{i}": make_store(client) for i, client in enumerate(clients)}
    began = time.monotonic()
    async with asyncio.TaskGroup() as group:
        while time.monotonic() - began < seconds:
            identity = f"{random_state.getrandbits(128):032x}"
            agent = outcome.rank_by_affinity(identity, list(stores))[0]
            nonce = f"{random_state.getrandbits(80):020x}"
            expires_at = time.time() + outcome.CLAIM_WINDOW_S
            wish = outcome.Claim(identity, agent, "inc", nonce, identity, expires_at)
            group.create_task(claim_one(stores[agent], wish, tally))
            await asyncio.sleep(random_state.expovariate(rate))
    elapsed = time.monotonic() - began
    for store in stores.values():
        await store.close()
    for client in clients:
        await client.close()
    return tally, elapsed


def report(way, rate, tally, elapsed, baseline):
    latencies = sorted(tally.latencies_s)
    writes = tally.writes / elapsed
    ratio = writes / baseline if baseline else 1.0
    print(
        f"| {way} | {rate} | {len(latencies) / elapsed:.0f} | {writes:.0f} "
        f"| {ratio:.2f} | {tally.written_bytes / elapsed / 1000:.0f} "
        f"| {statistics.median(latencies) * 1000:.0f} "
        f"| {latencies[int(0.99 * len(latencies))] * 1000:.0f} "
        f"| {len(latencies) - tally.held} |",
        flush=True,
    )
    return writes


async def main(seconds, seed):
    parameters = json.dumps({"list_lag_s": 0.5})
    command = [sys.executable, "-m", "sequoiagap.standins", "platform", parameters]
    print(
        "| way | wished/s | claims/s | writes/s | ratio | KB/s | p50 ms | p99 ms "
        "| refused |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for rate in RATES:
        baseline = 0.0
        for way, shards, pace in (
            ("an object each", 0, 0.0),
            ("64 shards, 0.2 s", 64, 0.2),
            ("16 shards, 0.2 s", 16, 0.2),
            ("4 shards, 0.2 s", 4, 0.2),
            ("16 shards, 0 s", 16, 0.0),
        ):
            with tempfile.TemporaryDirectory() as folder:
                log = pathlib.Path(folder) / "platform.log"
                process = standins.Process("platform", command, log)
                await process.start()
                url = f"http://127.0.0.1:{process.ready_['port']}"
                async with aiohttp.ClientSession() as session:
                    await session.post(f"{url}/faults", json={"slow_s": CALL_S})
                _affinity.SHARDS_PER_SERVICE = shards or 1
                tally, elapsed = await run_way(
                    url,
                    lambda c, s=shards, p=pace: (
                        outcome.ClaimStore(c, "orders", p) if s else EachStore(c)
                    ),
                    rate,
                    seconds,
                    random.Random(seed),
                )
                await process.kill()
            writes = report(way, rate, tally, elapsed, baseline)
            baseline = baseline or writes


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    asyncio.run(main(options.seconds, options.seed))
