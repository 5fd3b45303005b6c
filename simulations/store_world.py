"""Simulates a gateway and a store that has outages and is restored from old copies.

The gateway's real feed, pool and freshness proofs run on a virtual clock. Operators
revoke keys and drain failure domains, endpoints leave and join. After a restore,
operators and endpoints rewrite within some seconds what the copy lacks.
"""

import asyncio
import random
import time
from unittest import mock

from sequoiagap import base, gateway, routes, settings, standins

KEY_PROOF_MS = 5000
ANSWER_S = 0.3  # maximum in each direction
LOSS_SHARE = 0.1  # share of readings whose answer is lost
CHECK_INTERVAL_S = 0.05  # between two checks of the gateway
CHANGE_INTERVAL_S = 0.6  # mean time between two changes
MAX_OUTAGE_S = 1.0
MAX_COPY_AGE_S = 5.0
OPERATOR_S = 0.8  # maximum time from a restore until operators have rewritten
ENDPOINT_S = 1.8  # the same for endpoints
EXPIRY_S = 3.6  # after a restore, until records of departed endpoints are gone
SETTLE_S = 12.0
DOMAINS = ("north", "south", "west")


class InvariantError(AssertionError):
    """Raised if the gateway uses a revoked key, drained domain or departed endpoint."""


class UnreliableStore(standins.DirectStore):
    """Delays its answers and loses some of them.

    :param random.Random source: source of randomness.

    :ivar bool is_reliable: whether answers are no longer lost.
    """

    def __init__(self, source):
        super().__init__()
        self.source = source
        self.is_reliable = False

    async def read(self, topic, may_be_old=False):
        """Return a reading of a topic at some moment during the call."""
        await asyncio.sleep(ANSWER_S * self.source.random())
        reading = await super().read(topic, may_be_old)
        if not self.is_reliable and self.source.random() < LOSS_SHARE:
            raise base.PlatformError("the answer was lost", "Retry the read")
        await asyncio.sleep(ANSWER_S * self.source.random())
        return reading


class StoreWorld:
    """Simulates operators, endpoints, the store and a gateway, and checks invariants.

    :param int seed: seed of all random choices.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.store = UnreliableStore(self.random)
        self.version = 0
        self.keys = {f"key-{number}" for number in range(4)}
        self.revoked_at_by_key = {}
        self.domains_out = set()
        self._out_since_by_domain = {}
        self.endpoint_by_id = {}
        self.departed_ids = set()
        self.copies_ = 0
        self._copies = []
        self._number = 0
        self._tasks = base.TaskSet()
        self._seen_out = frozenset()
        self._seen_endpoints = set()
        self._seen_departed = set()
        self._seen_version = 0
        self.gateway = _make_gateway(self.store)

    async def run(self, duration_s):
        """Run with changes and restores, then without faults, and check the invariants.

        :param float duration_s: duration of the faulty part, in seconds.
        :raises InvariantError: if the gateway violates an invariant.
        """
        now = asyncio.get_running_loop().time
        with (
            mock.patch.object(time, "monotonic", now),
            mock.patch.object(routes, "suspend_aware_time", now),
        ):
            await self._run_phases(duration_s)

    async def _run_phases(self, duration_s):
        for _ in range(4):
            self._join()
        self._write_config()
        self._tasks.start(self.gateway.feed.run(), "feed")
        self._tasks.start(self._change_forever(), "changes")
        self._tasks.start(self._copy_forever(), "copies")
        await self._check_for(duration_s)
        await self._tasks.close()
        self.store.is_reliable, self.store.is_unreachable = True, False
        self._write_all()
        self._tasks.start(self.gateway.feed.run(), "feed")
        await self._check_for(SETTLE_S)
        self._check_converged()
        await self._tasks.close()

    async def _check_for(self, duration_s):
        until = time.monotonic() + duration_s
        while time.monotonic() < until:
            self._check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _change_forever(self):
        while True:
            await asyncio.sleep(2 * CHANGE_INTERVAL_S * self.random.random())
            if self.store.is_unreachable:
                continue
            self.random.choice(
                (self._revoke_key, self._toggle_domain, self._join, self._leave)
            )()

    async def _copy_forever(self):
        while True:
            self._copies.append((time.monotonic(), self.store.make_copy()))
            await asyncio.sleep(0.5 + MAX_COPY_AGE_S * self.random.random())
            self.store.is_unreachable = True
            await asyncio.sleep(MAX_OUTAGE_S * self.random.random())
            recent = [
                copy
                for made_at, copy in self._copies
                if time.monotonic() - made_at <= MAX_COPY_AGE_S
            ]
            self._copies = []
            if recent:
                self.store.restore(self.random.choice(recent))
                self.copies_ += 1
                self._tasks.start(self._rewrite_later(), "again")
            self.store.is_unreachable = False

    async def _rewrite_later(self):
        await asyncio.sleep(OPERATOR_S * self.random.random())
        self._write_config()
        self.store.put("domains", frozenset(self.domains_out))
        await asyncio.sleep((ENDPOINT_S - OPERATOR_S) * self.random.random())
        stale = {
            name: endpoint
            for name, endpoint in self._listed().items()
            if name in self.departed_ids
        }
        self.store.put("endpoints", stale | self.endpoint_by_id)
        await asyncio.sleep(EXPIRY_S - ENDPOINT_S)
        self.store.put("endpoints", dict(self.endpoint_by_id))

    def _listed(self):
        return self.store.snapshot_by_topic["endpoints"].value

    def _write_all(self):
        self._write_config()
        self.store.put("domains", frozenset(self.domains_out))
        self.store.put("endpoints", dict(self.endpoint_by_id))

    def _write_config(self):
        accounts = tuple(
            routes.ClientAccount(f"account-{key}", (key,)) for key in sorted(self.keys)
        )
        table = routes.RouteTable(version=max(self.version, 1), accounts=accounts)
        self.store.put("config", table)

    def _revoke_key(self):
        key = self.random.choice(sorted(self.keys)) if self.keys else None
        self._number += 1
        new_key = f"new-{self._number}"
        self.keys.add(new_key)
        if key is not None:
            self.keys.discard(key)
            self.revoked_at_by_key[key] = time.monotonic()
        self.version = max(self.version, 1) + 1
        self._write_config()

    def _toggle_domain(self):
        domain = self.random.choice(DOMAINS)
        self.domains_out ^= {domain}
        self._out_since_by_domain[domain] = time.monotonic()
        self.store.put("domains", frozenset(self.domains_out))

    def _join(self):
        self._number += 1
        name = f"e{self._number}"
        self.endpoint_by_id[name] = routes.Endpoint(
            name,
            "desk",
            "127.0.0.1",
            10_000 + self._number,
            self.random.choice(DOMAINS),
            routes.EndpointState.READY,
            slots=4,
            started_ms=self._number,
        )
        self._put_endpoints()

    def _leave(self):
        if not self.endpoint_by_id:
            return
        name = self.random.choice(sorted(self.endpoint_by_id))
        del self.endpoint_by_id[name]
        self.departed_ids.add(name)
        self._put_endpoints()

    def _put_endpoints(self):
        self.store.put("endpoints", dict(self.endpoint_by_id))

    def _check(self):
        self._check_version()
        self._check_keys()
        self._check_domains()
        self._check_endpoints()

    def _check_version(self):
        version = self.gateway.table.version
        if version < self._seen_version:
            raise InvariantError(f"version {version} after {self._seen_version}")
        self._seen_version = version

    def _check_keys(self):
        now = time.monotonic()
        if not self.gateway.freshness.is_fresh(now):
            return
        for key, revoked_at in self.revoked_at_by_key.items():
            is_expired = now - revoked_at > KEY_PROOF_MS / 1000
            if is_expired and self.gateway.table.find_account(key) is not None:
                raise InvariantError(
                    f"{key} is accepted, although revoked at {revoked_at}"
                )

    def _check_domains(self):
        out = self.gateway.pool.domains_out_
        # A reading in flight may be older than the newest drain order.
        oldest_reading = time.monotonic() - 2 * ANSWER_S - CHECK_INTERVAL_S
        readmitted = (self._seen_out - out) & self.domains_out
        if any(
            self._out_since_by_domain[domain] < oldest_reading for domain in readmitted
        ):
            raise InvariantError(f"{sorted(readmitted)} in service although drained")
        self._seen_out = out & self.domains_out

    def _check_endpoints(self):
        current = set(self.gateway.pool.load_by_id)
        returned = current & self._seen_departed
        if returned:
            raise InvariantError(
                f"{sorted(returned)} are in use again after they departed"
            )
        self._seen_endpoints |= current
        self._seen_departed |= self.departed_ids & self._seen_endpoints - current

    def _check_converged(self):
        """Check that the gateway has converged to the expected state."""
        target = self.gateway
        expected = (max(self.version, 1), self.domains_out, set(self.endpoint_by_id))
        seen = (
            target.table.version,
            set(target.pool.domains_out_),
            set(target.pool.load_by_id),
        )
        if seen != expected:
            raise InvariantError(f"{seen} in force, expected {expected}")
        if not target.freshness.is_fresh(time.monotonic()):
            raise InvariantError("no freshness proof although the store answers")


def _make_gateway(store):
    loaded = settings.GatewaySettings.model_construct(
        role="gateway",
        node_id="g1",
        deployment="test",
        region="r",
        failure_domain="north",
        address="127.0.0.1",
        port=1,
        metrics_port=0,
        front_address="127.0.0.1:1",
        ready_address="127.0.0.1:1",
        key_proof_ms=KEY_PROOF_MS,
    )
    return gateway.Gateway(loaded, store, standins.DirectDialect())
