"""Keyed requests at a steady rate for longer than a claim lasts.

Usage: ``python -m benchmarks.claims_sustained [--rate R] [--seconds S]``. One shard
of a service on a virtual clock, before a platform in memory that needs 4 ms a call.
Prints what was refused, the writes and bytes a second, the memory that the agent's
claims take, and what a fresh agent needs for its first claim.
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
    """Counts reads and the bytes of writes."""

    def __init__(self):
        super().__init__()
        self.reads = 0
        self.written_bytes = 0

    async def get(self, name):
        """Read an object and count it; it comes as text."""
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


def make_wish(store, random_state):
    """Return a wish of shard 0."""
    while True:
        identity = f"{random_state.getrandbits(128):032x}"
        if _affinity.shard_of(identity) == 0:
            break
    nonce = f"att-{random_state.getrandbits(80):020x}"
    digest = f"{random_state.getrandbits(128):032x}"
    return store.with_expiry(outcome.Claim(identity, "a", "inc", nonce, digest, 0.0))


async def run(rate, seconds):
    """Claim keys at a steady rate and print the figures."""
    fake, random_state = CountingPlatform(), random.Random(1)
    loop = asyncio.get_running_loop()
    verdicts = {}

    async def claim(store):
        answer = await store.claim(make_wish(store, random_state), TIMEOUT_S)
        verdicts[answer.decision] = verdicts.get(answer.decision, 0) + 1

    store = outcome.ClaimStore(fake, "orders", wall_clock=loop.time)
    async with asyncio.TaskGroup() as group:
        while loop.time() < seconds:
            group.create_task(claim(store))
            await asyncio.sleep(random_state.expovariate(rate))
    print({str(verdict): count for verdict, count in verdicts.items()})
    print(f"writes/s {store.writes_ / seconds:.2f}")
    print(f"KB/s {fake.written_bytes / seconds / 1000:.1f}")
    segments = len(fake.object_by_name) - 1
    largest = max(len(json.dumps(o.value)) for o in fake.object_by_name.values())
    print(f"segments {segments}, largest object {largest / 1000:.1f} KB")
    fresh = outcome.ClaimStore(fake, "orders", wall_clock=loop.time)
    fake.reads, began = 0, loop.time()
    tracemalloc.start()
    await fresh.claim(make_wish(fresh, random_state), TIMEOUT_S)
    held = tracemalloc.get_traced_memory()[0]
    print(
        f"fresh agent: {fake.reads} reads, {loop.time() - began:.2f} s, "
        f"{held / 1e6:.2f} MB held"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=17.0)
    parser.add_argument("--seconds", type=float, default=1200.0)
    options = parser.parse_args()
    support.silence_logs()
    virtual.run(run(options.rate, options.seconds))
