"""Orders that come late, twice, or from orderers that race."""

import asyncio
import pathlib
import tempfile

from sequoiagap import agent, base, members, platform, settings, standins
from tests import support

ENDPOINT = "north-model-0"
LATE_S = 0.15


class Bench:
    """An engine with an agent's order desk before it, and a platform."""

    def __init__(self, engine, platform_stand_in, client, endpoint):
        self.engine = engine
        self.platform = platform_stand_in
        self.store = members.FenceStore(client, timeout_s=1.0)
        self.endpoint = endpoint
        self.desk = None
        self.replace_agent()

    def replace_agent(self):
        """Put a fresh process in the agent's place."""
        self.desk = agent.OrderDesk(self.endpoint, ENDPOINT, self.store, timeout_s=1.0)

    async def take_number(self, order_id):
        """Take the fencing number of an order."""
        kind = members.OrderKind.LOAD_VERSION
        return await self.store.issue(ENDPOINT, order_id, kind, "ann")

    def order(self, order_id, number):
        """Return the order that makes the engine load a version of its id."""
        return members.EndpointOrder(
            order_id, number, "load_version", {"version": order_id}
        )

    async def deliver(self, order_id, number):
        """Deliver an order to the agent; return what became of it."""
        order = self.order(order_id, number)
        async with self.desk.lock_:
            return (await self.desk.run(order)).outcome

    def loaded(self):
        """Return the version that the engine has."""
        return self.engine.state_by_kind.get("load_version", {}).get("version")


class OrdersTest(support.AsyncCase):
    async def make_bench(self, checks_fencing):
        support.silence_logs()
        engine = standins.EngineOrders(checks_fencing, order_s=0.05)
        runner, port = await standins.start(engine)
        self.addAsyncCleanup(runner.cleanup)
        stand_in = standins.PlatformStandIn()
        platform_runner, platform_port = await standins.start(stand_in)
        self.addAsyncCleanup(platform_runner.cleanup)
        url = f"http://127.0.0.1:{platform_port}"
        client = platform.PlatformClient(url, timeout_s=0.3)
        self.addAsyncCleanup(client.close)
        endpoint = settings.EndpointSettings(
            kind="model", url=f"http://127.0.0.1:{port}", serves=["desk"]
        )
        return Bench(engine, stand_in, client, endpoint)

    async def test_the_later_order_stays(self):
        cases = [
            self.late_delivery,
            self.paused_orderer,
            self.racing_orderers,
            self.replaced_agent,
            self.agent_killed_with_an_order_at_work,
            self.the_same_order_twice,
        ]
        for checks_fencing in (True, False):
            for case in cases:
                with self.subTest(case.__name__, checks=checks_fencing):
                    bench = await self.make_bench(checks_fencing)
                    await case(bench)
                    self.assertEqual(bench.loaded(), "second")
                    self.assertEqual(bench.engine.applied_[-1], 2)

    async def late_delivery(self, bench):
        first = await bench.take_number("first")
        second = await bench.take_number("second")
        self.assertEqual(await bench.deliver("second", second), "done")
        self.assertEqual(await bench.deliver("first", first), "refused")

    async def paused_orderer(self, bench):
        """Pause an orderer between its number and its order, past any lease."""
        first = await bench.take_number("first")
        paused = asyncio.create_task(self._deliver_late(bench, "first", first))
        second = await bench.take_number("second")
        self.assertEqual(await bench.deliver("second", second), "done")
        self.assertEqual(await paused, "refused")

    async def racing_orderers(self, bench):
        names = ["first", "second"]
        numbers = [await bench.take_number(name) for name in names]
        delivered = [bench.deliver(*item) for item in zip(names, numbers, strict=True)]
        outcomes = await asyncio.gather(*delivered)
        self.assertEqual(outcomes[1], "done")
        taken = await asyncio.gather(*(bench.take_number(f"o{i}") for i in range(6)))
        self.assertEqual(sorted(taken), list(range(3, 9)))

    async def replaced_agent(self, bench):
        """Replace the agent; the fresh one learns the last number first."""
        first = await bench.take_number("first")
        second = await bench.take_number("second")
        self.assertEqual(await bench.deliver("second", second), "done")
        bench.replace_agent()
        self.assertEqual(await bench.deliver("first", first), "refused")
        bench.replace_agent()
        bench.platform.faults_.set({"down": True})
        self.assertEqual(await bench.deliver("first", first), "refused")

    async def agent_killed_with_an_order_at_work(self, bench):
        """Lose the agent while the engine goes on with its order."""
        bench.engine.order_s = 0.4
        first = await bench.take_number("first")
        lost = asyncio.create_task(bench.deliver("first", first))
        await asyncio.sleep(LATE_S)
        lost.cancel()
        bench.replace_agent()
        bench.engine.order_s = 0.0
        second = await bench.take_number("second")
        self.assertEqual(await bench.deliver("second", second), "done")
        await asyncio.sleep(0.5)

    async def the_same_order_twice(self, bench):
        first = await bench.take_number("first")
        self.assertEqual(await bench.deliver("first", first), "done")
        second = await bench.take_number("second")
        self.assertEqual(await bench.take_number("second"), second)
        for _ in range(2):
            self.assertEqual(await bench.deliver("second", second), "done")
        self.assertEqual(bench.engine.applied_, [1, 2])

    async def _deliver_late(self, bench, order_id, number):
        await asyncio.sleep(LATE_S)
        return await bench.deliver(order_id, number)

    async def test_without_the_agent_a_late_order_undoes_a_later_one(self):
        """Show what the fence is for, on an engine that checks no numbers."""
        for checks_fencing, loaded in ((False, "first"), (True, "second")):
            with self.subTest(checks=checks_fencing):
                bench = await self.make_bench(checks_fencing)
                for order_id, number in (("second", 2), ("first", 1)):
                    await bench.desk._send(bench.order(order_id, number))
                self.assertEqual(bench.loaded(), loaded)

    async def test_an_order_on_the_wire_of_a_killed_agent(self):
        """An engine that checks refuses it; another may carry it out late."""
        for checks_fencing, loaded in ((False, "first"), (True, "second")):
            with self.subTest(checks=checks_fencing):
                bench = await self.make_bench(checks_fencing)
                port = int(bench.endpoint.url.rpartition(":")[2])
                relay = standins.Relay(port)
                await relay.start()
                self.addAsyncCleanup(relay.close)
                direct = bench.endpoint
                url = f"http://127.0.0.1:{relay.port_}"
                bench.endpoint = direct.model_copy(update={"url": url})
                bench.replace_agent()
                relay.set_mode(standins.LinkMode.SILENT)
                first = await bench.take_number("first")
                on_wire = asyncio.create_task(
                    bench.desk._send(bench.order("first", first))
                )
                await asyncio.sleep(LATE_S)
                on_wire.cancel()
                bench.endpoint = direct
                bench.replace_agent()
                second = await bench.take_number("second")
                self.assertEqual(await bench.deliver("second", second), "done")
                relay.heal()
                await asyncio.sleep(2 * LATE_S)
                self.assertEqual(bench.loaded(), loaded)

    async def test_numbers_are_settled_truthfully(self):
        bench = await self.make_bench(False)
        bench.platform.faults_.set({"lose_answers": 1})
        self.assertEqual(await bench.take_number("a"), 1)
        self.assertEqual(await bench.take_number("b"), 2)
        for switches in ({"down": True}, {"silent": True}):
            with self.subTest(switches):
                bench.platform.faults_.set(switches)
                with self.assertRaises(base.PlatformError):
                    await bench.take_number("c")
                bench.platform.faults_.__init__()
        self.assertEqual(await bench.take_number("d"), 3)

    async def test_an_engine_that_does_not_answer_leaves_the_outcome_unknown(self):
        bench = await self.make_bench(False)
        bench.engine.order_s = 1.5
        number = await bench.take_number("first")
        self.assertEqual(await bench.deliver("first", number), "unknown")
        second = await bench.take_number("second")
        bench.engine.order_s = 0.0
        self.assertEqual(await bench.deliver("second", second), "done")
        self.assertEqual(bench.engine.applied_, [1, 2])


class OrderApiTest(support.FleetCase):
    plan = standins.FleetPlan(
        domains=("north",), entries=1, services_per_domain=1, engine={"order_s": 0.01}
    )

    async def test_operators_order_an_endpoint(self):
        path = f"/endpoints/{ENDPOINT}/orders"
        body = {"kind": "load_adapter", "arguments": {"name": "a"}, "order_id": "o1"}
        for _ in range(2):
            status, reply = await self.fleet.call("entry-0", "POST", path, body)
            self.assertEqual((status, reply["fencing"]), (200, 1), reply)
        cases = [
            (path, {"kind": "explode"}, 400, "bad_request"),
            (path, {"kind": "drain", "arguments": 3}, 400, "bad_request"),
            (path, None, 400, "bad_request"),
            ("/endpoints/nobody/orders", body, 404, "not_found"),
            ("/endpoints/north-desk-0/orders", body | {"order_id": "x"}, 409, None),
        ]
        for where, order, status, kind in cases:
            with self.subTest(where=where, order=order):
                found = await self.fleet.call("entry-0", "POST", where, order)
                self.assertEqual(found[0], status, found)
                if kind:
                    self.assertEqual(found[1]["error"]["type"], kind)
        await self.fleet.set_faults("platform", down=True)
        status, reply = await self.fleet.call(
            "entry-0", "POST", path, {"kind": "drain", "order_id": "o2"}
        )
        self.assertEqual((status, reply["error"]["outcome"]), (503, "not_run"))
        _, engine = await self.fleet.call(f"{ENDPOINT}-target", "GET", "/orders")
        self.assertEqual(engine["applied"], [1])


class OneAgentTest(support.AsyncCase):
    async def test_a_second_agent_cannot_start_on_the_same_port(self):
        support.silence_logs()
        secret = self._write_secret()
        first = agent.Agent(self._settings(secret, 0))
        await first.start()
        self.addAsyncCleanup(first.stop)
        second = agent.Agent(self._settings(secret, first.port_))
        self.addAsyncCleanup(second.client_.close)
        with self.assertRaises(OSError):
            await second.start()

    def _write_secret(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        secret = pathlib.Path(folder.name, "secret")
        secret.write_text("a shared secret of some length")
        return secret

    def _settings(self, secret, port):
        return settings.AgentSettings(
            role="agent",
            node_id=ENDPOINT,
            deployment="test",
            region="local",
            failure_domain="north",
            address="127.0.0.1",
            port=port,
            platform={"url": "http://127.0.0.1:1"},
            secret_file=str(secret),
            endpoint={"kind": "model", "url": "http://127.0.0.1:1", "serves": ["m"]},
            drain_bound_s=0.1,
        )
