"""A gateway's readings of a store that is away at times and comes back from copies.

The gateway's real feed, pool and proofs run on a virtual clock. Operators withdraw
keys and take failure domains out, endpoints leave and join; what a copy lacks is
written again in a while, as operators and endpoints do.
"""

import asyncio
import random
import time
from unittest import mock

from sequoiagap import base, gateway, routes, settings, standins

KEY_PROOF_MS = 5000
ANSWER_S = 0.3  # each way at most
LOSS = 0.1  # share of the readings without an answer
STEP_S = 0.05  # between two looks at the gateway
ACTION_S = 0.6  # between two changes, on average
AWAY_S = 1.0  # at most
COPY_AGE_S = 5.0  # at most
OPERATOR_S = 0.8  # after a return, until operators have written again, at most
ENDPOINT_S = 1.8  # the same for endpoints
LAPSE_S = 3.6  # after a return, until entries of those that left are gone
CALM_S = 12.0
DOMAINS = ("north", "south", "west")


class BrokenPromiseError(AssertionError):
    """The gateway used what had been withdrawn, taken out or left."""


class UnreliableStore(standins.DirectStore):
    """A store whose answers take time, and of which some are lost.

    :param random.Random source: source of randomness.

    :ivar bool is_calm: whether no answer is lost any more.
    """

    def __init__(self, source):
        super().__init__()
        self.source = source
        self.is_calm = False

    async def read(self, topic, may_be_old=False):
        """Return the content of a topic as it was at some moment of the call."""
        await asyncio.sleep(ANSWER_S * self.source.random())
        reading = await super().read(topic, may_be_old)
        if not self.is_calm and self.source.random() < LOSS:
            raise base.PlatformError("the answer was lost", "Read again")
        await asyncio.sleep(ANSWER_S * self.source.random())
        return reading


class StoreWorld:
    """What operators and endpoints want, what the store holds, and a gateway.

    :param int seed: seed of every choice.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.store = UnreliableStore(self.random)
        self.version = 0
        self.keys = {f"key-{number}" for number in range(4)}
        self.withdrawn_at_by_key = {}
        self.domains_out = set()
        self._out_since_by_domain = {}
        self.endpoint_by_id = {}
        self.left_ids = set()
        self.copies_ = 0
        self._copies = []
        self._number = 0
        self._tasks = base.TaskSet()
        self._seen_out = frozenset()
        self._seen_known = set()
        self._seen_gone = set()
        self._seen_version = 0
        self.gateway = _make_gateway(self.store)

    async def run(self, duration_s):
        """Play changes and copies for a while, then wait for calm.

        :param float duration_s: time with changes, in seconds.
        :raises BrokenPromiseError: if the gateway breaks a promise.
        """
        now = asyncio.get_running_loop().time
        with (
            mock.patch.object(time, "monotonic", now),
            mock.patch.object(routes, "suspend_aware_time", now),
        ):
            await self._play(duration_s)

    async def _play(self, duration_s):
        for _ in range(4):
            self._join()
        self._write_config()
        self._tasks.start(self.gateway.feed.run(), "feed")
        self._tasks.start(self._change_forever(), "changes")
        self._tasks.start(self._copy_forever(), "copies")
        await self._watch(duration_s)
        await self._tasks.close()
        self.store.is_calm, self.store.is_unreachable = True, False
        self._write_all()
        self._tasks.start(self.gateway.feed.run(), "feed")
        await self._watch(CALM_S)
        self._check_calm()
        await self._tasks.close()

    async def _watch(self, duration_s):
        until = time.monotonic() + duration_s
        while time.monotonic() < until:
            self._check()
            await asyncio.sleep(STEP_S)

    async def _change_forever(self):
        while True:
            await asyncio.sleep(2 * ACTION_S * self.random.random())
            if self.store.is_unreachable:
                continue
            self.random.choice(
                (self._withdraw, self._switch_domain, self._join, self._leave)
            )()

    async def _copy_forever(self):
        while True:
            self._copies.append((time.monotonic(), self.store.make_copy()))
            await asyncio.sleep(0.5 + COPY_AGE_S * self.random.random())
            self.store.is_unreachable = True
            await asyncio.sleep(AWAY_S * self.random.random())
            recent = [
                copy
                for made_at, copy in self._copies
                if time.monotonic() - made_at <= COPY_AGE_S
            ]
            self._copies = []
            if recent:
                self.store.restore(self.random.choice(recent))
                self.copies_ += 1
                self._tasks.start(self._write_again(), "again")
            self.store.is_unreachable = False

    async def _write_again(self):
        await asyncio.sleep(OPERATOR_S * self.random.random())
        self._write_config()
        self.store.put("domains", frozenset(self.domains_out))
        await asyncio.sleep((ENDPOINT_S - OPERATOR_S) * self.random.random())
        stale = {
            name: endpoint
            for name, endpoint in self._listed().items()
            if name in self.left_ids
        }
        self.store.put("endpoints", stale | self.endpoint_by_id)
        await asyncio.sleep(LAPSE_S - ENDPOINT_S)
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

    def _withdraw(self):
        key = self.random.choice(sorted(self.keys)) if self.keys else None
        self._number += 1
        new_key = f"new-{self._number}"
        self.keys.add(new_key)
        if key is not None:
            self.keys.discard(key)
            self.withdrawn_at_by_key[key] = time.monotonic()
        self.version = max(self.version, 1) + 1
        self._write_config()

    def _switch_domain(self):
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
        self.left_ids.add(name)
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
            raise BrokenPromiseError(f"version {version} after {self._seen_version}")
        self._seen_version = version

    def _check_keys(self):
        now = time.monotonic()
        if not self.gateway.freshness.is_fresh(now):
            return
        for key, withdrawn_at in self.withdrawn_at_by_key.items():
            is_over = now - withdrawn_at > KEY_PROOF_MS / 1000
            if is_over and self.gateway.table.find_account(key) is not None:
                raise BrokenPromiseError(f"{key} is honoured, withdrawn {withdrawn_at}")

    def _check_domains(self):
        out = self.gateway.pool.domains_out_
        # A reading that is still under way may be older than the newest order.
        oldest = time.monotonic() - 2 * ANSWER_S - STEP_S
        let_in = (self._seen_out - out) & self.domains_out
        if any(self._out_since_by_domain[domain] < oldest for domain in let_in):
            raise BrokenPromiseError(f"{sorted(let_in)} let in while taken out")
        self._seen_out = out & self.domains_out

    def _check_endpoints(self):
        known = set(self.gateway.pool.load_by_id)
        back = known & self._seen_gone
        if back:
            raise BrokenPromiseError(f"{sorted(back)} are in use again")
        self._seen_known |= known
        self._seen_gone |= self.left_ids & self._seen_known - known

    def _check_calm(self):
        """Check that all that was wanted is in force once nothing goes wrong."""
        found = self.gateway
        wanted = (max(self.version, 1), self.domains_out, set(self.endpoint_by_id))
        seen = (
            found.table.version,
            set(found.pool.domains_out_),
            set(found.pool.load_by_id),
        )
        if seen != wanted:
            raise BrokenPromiseError(f"{seen} in force where {wanted} is wanted")
        if not found.freshness.is_fresh(time.monotonic()):
            raise BrokenPromiseError("no proof although the store answers")


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
