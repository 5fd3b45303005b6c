"""Connections behind the agent go silent: to its endpoint and to the platform."""

import asyncio
import dataclasses

from sequoiagap import standins
from tests import support
from tests.entry import callers

STEP_S = 0.02
FOUND_S = 2.0
IDLE = 8  # connections that are kept alive


class ConnectionsBehindAgentsTest(support.FleetCase):
    plan = dataclasses.replace(
        callers.ONE_DOMAIN,
        entries=1,
        engine={"step_s": STEP_S, "cold_s": 0.0, "holds_streams": True},
        service={"work_s": 0.1},
        endpoint={"resumes": True},
    )

    async def test_cases(self):
        model = await self._relay(f"{callers.MODEL}-target")
        store = await self._relay("platform")
        await self._restart(callers.MODEL, endpoint={"url": _url(model)})
        platform = {"url": _url(store), "timeout_s": 0.5}
        await self._restart(callers.DESK, agent={"platform": platform})
        for case, relay in (
            (self._idle_connections_to_the_engine, model),
            (self._stream_under_way, model),
            (self._idle_connections_to_the_platform, store),
        ):
            for fault in (relay.silence_open, relay.cut_open):
                with self.subTest(case.__name__.strip("_"), fault=fault.__name__):
                    await case(fault)

    async def _idle_connections_to_the_engine(self, break_link):
        await asyncio.gather(*(callers.stream(self.fleet, 4) for _ in range(IDLE)))
        break_link()
        await asyncio.sleep(FOUND_S)
        answer = await callers.stream(self.fleet, 4)
        self.assertEqual(len(answer.words), 4, answer.text)
        self.assertLess(answer.seconds, FOUND_S)

    async def _stream_under_way(self, break_link):
        on_data = callers.once_at_event(5, break_link)
        answer = await callers.stream(self.fleet, 40, on_data=on_data)
        self.assertEqual(answer.words, [f"token{i}" for i in range(40)])
        self.assertLess(answer.seconds, 40 * STEP_S + FOUND_S + 1.0)

    async def _idle_connections_to_the_platform(self, break_link):
        key = f"behind-{break_link.__name__}"
        await asyncio.gather(
            *(callers.order(self.fleet, 1, f"{key}-{i}") for i in range(IDLE))
        )
        break_link()
        answer = await callers.order(self.fleet, 2, key)
        self.assertEqual(answer.status, 200, answer.text)
        self.assertLess(answer.seconds, FOUND_S)
        counts = await callers.executions(self.fleet, callers.DESK)
        self.assertEqual(counts[key], 1)

    async def _relay(self, name):
        port = self.fleet.process_by_name[name].ready_["port"]
        relay = standins.Relay(port)
        await relay.start()
        self.addAsyncCleanup(relay.close)
        return relay

    async def _restart(self, name, **plan):
        """Start an agent again with other settings and wait for the entry."""
        await self.fleet.process_by_name[name].kill()
        changed = {k: getattr(self.fleet.plan, k) | v for k, v in plan.items()}
        whole, self.fleet.plan = (
            self.fleet.plan,
            dataclasses.replace(self.fleet.plan, **changed),
        )
        await self.fleet.start_agent(name)
        self.fleet.plan = whole

        async def is_usable():
            _, state = await self.fleet.call("entry-0", "GET", "/state")
            seen = state["endpoints"].get(name, {})
            return seen.get("connected") and seen["limit"] > 0

        await asyncio.sleep(1.0)  # the list lags
        await self.fleet.wait_until(is_usable, 10.0)


def _url(relay):
    return f"http://127.0.0.1:{relay.port_}"
