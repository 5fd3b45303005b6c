"""Requests are served while a failure domain leaves and returns, and under overload."""

import asyncio
import random
import signal

from sequoiagap import standins
from tests import support

DOMAIN = "south"
RATE = 15.0
OVERLOAD_RATE = 100.0
SMALL_RATE = 4.0
PHASE_S = 1.5
PARTITION_S = support.FEW_SECONDS_S + PHASE_S
CALLER_TIMEOUT_S = 30.0
MAX_ATTEMPT_RATIO = 1.1
SEED = 5
LONG_TOKENS = 1000


class DomainChangesTest(support.FleetCase):
    """Runs six engines of two slots: 60 requests per second, 40 without a domain."""

    plan = standins.FleetPlan(
        entries=3,
        relays=True,
        engines_per_domain=2,
        services_per_domain=0,
        accounts=("large", "small"),
        engine={
            "step_s": 0.02,
            "tokens": 10,
            "cold_capacity": 1,
            "capacity": 2,
            "cold_s": 0.5,
        },
        endpoint={"warm_limit": 2, "cold_limit": 1, "warm_up_s": 0.5},
    )

    async def test_no_repeatable_request_fails_when_a_domain_leaves_and_returns(self):
        cases = {
            "ordered out and in": (self._order_out, self._order_in),
            "ordered, platform down": (
                self._order_out_then_outage,
                self._end_outage_and_order_in,
            ),
            "suspended, platform down": (self._suspend_in_outage, self._resume),
            "partitioned from the others": (self._partition, self._heal),
            "partitioned without connection errors": (
                self._partition_silently,
                self._heal,
            ),
            "killed and restarted": (self._kill, self._restart),
        }
        for name, (remove, restore) in cases.items():
            with self.subTest(name):
                # Requests on both sides of a partition must complete before it ends.
                outage_s = PARTITION_S if restore == self._heal else PHASE_S
                load = standins.AccountLoad("large", RATE, stream=False)
                generator = self._generator([load], support.FEW_SECONDS_S)
                sending = asyncio.create_task(generator.run(PHASE_S * 2 + outage_s))
                await asyncio.sleep(PHASE_S / 2)
                await remove()
                await asyncio.sleep(outage_s)
                await restore()
                results = await sending
                total = results.total()
                self.assertEqual(total.count_by_result, {"answered": total.sent})
                await self.fleet.wait_until(self._all_usable, 15.0)

    async def test_overload_in_an_outage_does_not_affect_a_small_account(self):
        await self._kill()
        await asyncio.sleep(support.FEW_SECONDS_S)
        before = await self._count_attempts()
        loads = [
            standins.AccountLoad("large", OVERLOAD_RATE, stream=False),
            standins.AccountLoad("small", SMALL_RATE, stream=False),
        ]
        results = await self._generator(loads).run(support.FEW_SECONDS_S)
        large, small = (results.total(account=load.name) for load in loads)
        self.assertEqual(small.count_by_result, {"answered": small.sent})
        self.assertEqual(set(large.refusals()), {"overloaded"})
        self.assertEqual(large.unknown, 0)
        delays_s = [round(seconds, 3) for seconds in large.retry_after_s]
        self.assertEqual(len(delays_s), large.refused)
        self.assertGreater(len(set(delays_s)), len(delays_s) * 0.8)
        attempts = await self._count_attempts() - before
        self.assertLessEqual(attempts, MAX_ATTEMPT_RATIO * results.total().sent)

    async def test_usage_at_one_entry_counts_at_others_until_it_fails(self):
        changes = {"client_accounts": {"small": {"max_in_flight": 1}}}
        status, document = await self.fleet.patch_config(changes)
        self.assertEqual(status, 200, document)
        long_request = asyncio.create_task(
            self.post_model("entry-0", key="small-key", max_tokens=LONG_TOKENS)
        )
        self.addAsyncCleanup(asyncio.gather, long_request, return_exceptions=True)
        await self.fleet.wait_until(self._small_is_limited, support.FEW_SECONDS_S)
        await self.fleet.process_by_name["entry-0"].kill()
        await self.fleet.wait_until(self._small_is_served, support.FEW_SECONDS_S)

    async def _small_is_limited(self):
        status, text = await self.post_model("entry-1", key="small-key", max_tokens=1)
        return status == 429 and "account_limit" in text

    async def _small_is_served(self):
        status, _ = await self.post_model("entry-1", key="small-key", max_tokens=1)
        return status == 200

    def _generator(self, loads, timeout_s=CALLER_TIMEOUT_S):
        urls = [self.fleet.url(name) for name in self.fleet.entry_names()]
        return standins.LoadGenerator(urls, loads, random.Random(SEED), timeout_s)

    async def _set_domain_state(self, state):
        changes = {"failure_domains": {DOMAIN: {"state": state}}}
        status, document = await self.fleet.patch_config(changes)
        self.assertEqual(status, 200, document)

    async def _order_out(self):
        await self._set_domain_state("out")

    async def _order_in(self):
        await self._set_domain_state("in")

    async def _order_out_then_outage(self):
        await self._set_domain_state("out")
        await self.fleet.set_faults("platform", down=True)

    async def _end_outage_and_order_in(self):
        await self.fleet.set_faults("platform", down=False)
        await self._set_domain_state("in")

    async def _suspend_in_outage(self):
        await self.fleet.set_faults("platform", down=True)
        self._signal_domain(signal.SIGSTOP)

    async def _resume(self):
        self._signal_domain(signal.SIGCONT)
        await self.fleet.set_faults("platform", down=False)

    async def _partition_silently(self):
        await self._partition(standins.LinkMode.SILENT)

    async def _partition(self, mode=standins.LinkMode.CUT):
        inside = ["entry-2", *self._domain_endpoints()]
        all_names = [*self.fleet.entry_names(), *self.fleet.endpoint_names()]
        outside = [name for name in all_names if name not in inside]
        self.fleet.relays_.cut_between(inside, outside, mode)
        self.fleet.relays_.cut_platform(inside)

    async def _heal(self):
        self.fleet.relays_.heal()

    async def _kill(self):
        names = [n for n in self.fleet.process_by_name if n.startswith(DOMAIN)]
        await asyncio.gather(*(self.fleet.process_by_name[n].kill() for n in names))

    async def _restart(self):
        for name in self._domain_endpoints():
            await self.fleet.start_stand_in(
                f"{name}-target", "engine", self.plan.engine
            )
            await self.fleet.start_agent(name)

    def _domain_endpoints(self):
        return [n for n in self.fleet.endpoint_names() if n.startswith(DOMAIN)]

    def _signal_domain(self, number):
        for name, process in self.fleet.process_by_name.items():
            if name.startswith(DOMAIN):
                process.send_signal(number)

    async def _all_usable(self):
        for name in self.fleet.entry_names():
            _, state = await self.fleet.call(name, "GET", "/state")
            views = state["endpoints"].values()
            usable = [v for v in views if v["connected"] and v["limit"] > 0]
            if len(usable) < len(self.fleet.endpoint_names()):
                return False
        return True

    async def _count_attempts(self):
        total = 0
        for name in self.fleet.entry_names():
            _, state = await self.fleet.call(name, "GET", "/state")
            counters = state["metrics"]["counters"]
            total += counters["first_attempts_total"] + counters["retries_total"]
        return total
