"""Requests with idempotency keys at a steady rate, for longer than a claim lasts.

Usage: ``python -m benchmarks.claims_sustained [--rate R] [--seconds S]``. One shard
of a service runs on a virtual clock against an in-memory platform with a delay of
4 ms per call. Prints the number of claims by decision, the writes and bytes per
second, the memory of the agent's claims, and the reads, time and memory that a newly
started agent needs for its first claim.
"""

import argparse
import asyncio
import dataclasses
import json
import random
import tracemalloc

from simulations import claims_platform, virtual
from tests import support

from sequoiagap import outcome
from sequoiagap.outcome import _affinity

TIMEOUT_S = 2.0


class CountingPlatform(claims_platform.ClaimsPlatform):
    """In-memory platform that counts reads and the bytes of writes."""

    def __init__(self):
        super().__init__()
        self.reads = 0
        self.written_bytes = 0

    async def get(self, name):
        """Read an object and count the read; the value is decoded from JSON text."""
        self.reads += 1
        stored = await super().get(name)
        if stored is None:
            return None
        value = json.loads(json.dumps(stored.value))
        return dataclasses.replace(stored, value=value)

    async def put(self, name, value, expected_version):
        """Write an object and count its bytes."""
        self.written_bytes += len(json.dumps(value))
        return await super().put(name, value, expected_version)


def make_proposal(store, random_state):
    """Return the proposal of a claim that belongs to shard 0."""
    while True:
        identity = f"{random_state.getrandbits(128):032x}"
        if _affinity.shard_of(identity) == 0:
            break
    nonce = f"att-{random_state.getrandbits(80):020x}"
    digest = f"{random_state.getrandbits(128):032x}"
    return store.with_expiry(outcome.Claim(identity, "a", "inc", nonce, digest, 0.0))


async def run(rate, seconds):
    """Claim keys at a steady rate and print the results.

    :param float rate: claims per second.
    :param float seconds: length of the run, in seconds of the virtual clock.
    """
    platform, random_state = CountingPlatform(), random.Random(1)
    loop = asyncio.get_running_loop()
    count_by_decision = {}

    async def claim(store):
        answer = await store.claim(make_proposal(store, random_state), TIMEOUT_S)
        count_by_decision[answer.decision] = (
            count_by_decision.get(answer.decision, 0) + 1
        )

    store = outcome.ClaimStore(platform, "orders", wall_clock=loop.time)
    async with asyncio.TaskGroup() as group:
        while loop.time() < seconds:
            group.create_task(claim(store))
            await asyncio.sleep(random_state.expovariate(rate))
    print({str(decision): count for decision, count in count_by_decision.items()})
    print(f"writes/s {store.writes_ / seconds:.2f}")
    print(f"KB/s {platform.written_bytes / seconds / 1000:.1f}")
    segments = len(platform.object_by_name) - 1
    largest = max(len(json.dumps(o.value)) for o in platform.object_by_name.values())
    print(f"segments {segments}, largest object {largest / 1000:.1f} KB")
    fresh = outcome.ClaimStore(platform, "orders", wall_clock=loop.time)
    platform.reads, started_at = 0, loop.time()
    tracemalloc.start()
    await fresh.claim(make_proposal(fresh, random_state), TIMEOUT_S)
    held_bytes = tracemalloc.get_traced_memory()[0]
    print(
        f"fresh agent: {platform.reads} reads, {loop.time() - started_at:.2f} s, "
        f"{held_bytes / 1e6:.2f} MB held"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=17.0)
    parser.add_argument("--seconds", type=float, default=1200.0)
    options = parser.parse_args()
    support.silence_logs()
    virtual.run(run(options.rate, options.seconds))
