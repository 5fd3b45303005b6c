"""Write rate, bytes and latency of the ways to store claims on idempotency keys.

Usage: ``python benchmarks/claims.py [--seconds S] [--seed N]``. A platform stand-in
with a delay of 4 ms per call runs in its own process; three agents of one service
claim keys at random times. The baseline writes one object per claim and deletes it
later.
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

PLATFORM_DELAY_S = 0.004
AGENTS = 3
CLAIMS_PER_S = (20, 100, 400, 1000)
TIMEOUT_S = 2.0


@dataclasses.dataclass
class RunCosts:
    """Writes, granted claims and latencies of one run."""

    writes: int = 0
    written_bytes: int = 0
    granted: int = 0
    latencies_s: list = dataclasses.field(default_factory=list)


class CountingClient(platform.PlatformClient):
    """Platform client that counts writes and their bytes."""

    def __init__(self, url, costs):
        super().__init__(url, TIMEOUT_S)
        self.costs = costs

    async def put(self, name, value, expected_version):
        """Write an object and count it."""
        self.costs.writes += 1
        self.costs.written_bytes += len(json.dumps(value))
        return await super().put(name, value, expected_version)

    async def delete(self, name, expected_version):
        """Delete an object and count it."""
        self.costs.writes += 1
        await super().delete(name, expected_version)


class ObjectPerClaimStore:
    """Baseline: stores one object per claim and deletes it on expiry."""

    def __init__(self, client):
        self.client = client
        self.tasks_ = base.TaskSet()

    async def claim(self, proposal, timeout_s):
        """Create the object of a claim and return the result."""
        value = dataclasses.asdict(proposal)
        stored = await self.client.put(f"claim-{proposal.identity}", value, 0)
        self.tasks_.start(self._expire(stored), "expire")
        return outcome.ClaimResult(outcome.ClaimDecision.HELD, proposal)

    async def close(self):
        """Wait until all objects are deleted."""
        await asyncio.gather(*self.tasks_.tasks_)

    async def _expire(self, stored):
        await asyncio.sleep(0.5)
        await self.client.delete(stored.name, stored.version)


async def measure_claim(store, proposal, costs):
    started_at = time.monotonic()
    answer = await store.claim(proposal, TIMEOUT_S)
    costs.latencies_s.append(time.monotonic() - started_at)
    costs.granted += answer.decision == outcome.ClaimDecision.HELD


async def run_variant(url, make_store, rate, seconds, random_state):
    costs = RunCosts()
    clients = [CountingClient(url, costs) for _ in range(AGENTS)]
    stores = {f"agent-{i}": make_store(client) for i, client in enumerate(clients)}
    started_at = time.monotonic()
    async with asyncio.TaskGroup() as group:
        while time.monotonic() - started_at < seconds:
            identity = f"{random_state.getrandbits(128):032x}"
            agent = outcome.rank_by_affinity(identity, list(stores))[0]
            nonce = f"{random_state.getrandbits(80):020x}"
            expires_at = time.time() + outcome.CLAIM_WINDOW_S
            proposal = outcome.Claim(
                identity, agent, "inc", nonce, identity, expires_at
            )
            group.create_task(measure_claim(stores[agent], proposal, costs))
            await asyncio.sleep(random_state.expovariate(rate))
    elapsed_s = time.monotonic() - started_at
    for store in stores.values():
        await store.close()
    for client in clients:
        await client.close()
    return costs, elapsed_s


def report(variant, rate, costs, elapsed_s, baseline):
    latencies = sorted(costs.latencies_s)
    writes = costs.writes / elapsed_s
    ratio = writes / baseline if baseline else 1.0
    print(
        f"| {variant} | {rate} | {len(latencies) / elapsed_s:.0f} | {writes:.0f} "
        f"| {ratio:.2f} | {costs.written_bytes / elapsed_s / 1000:.0f} "
        f"| {statistics.median(latencies) * 1000:.0f} "
        f"| {latencies[int(0.99 * len(latencies))] * 1000:.0f} "
        f"| {len(latencies) - costs.granted} |",
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
    for rate in CLAIMS_PER_S:
        baseline = 0.0
        for variant, shards, min_interval_s in (
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
                    await session.post(
                        f"{url}/faults", json={"slow_s": PLATFORM_DELAY_S}
                    )
                _affinity.SHARDS_PER_SERVICE = shards or 1
                costs, elapsed_s = await run_variant(
                    url,
                    lambda client, shard_count=shards, interval_s=min_interval_s: (
                        outcome.ClaimStore(client, "orders", interval_s)
                        if shard_count
                        else ObjectPerClaimStore(client)
                    ),
                    rate,
                    seconds,
                    random.Random(seed),
                )
                await process.kill()
            writes = report(variant, rate, costs, elapsed_s, baseline)
            baseline = baseline or writes


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    asyncio.run(main(options.seconds, options.seed))
