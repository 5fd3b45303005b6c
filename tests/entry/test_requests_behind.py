"""Connections behind the agent go silent: to its endpoint and to the platform."""

import asyncio
import dataclasses

from sequoiagap import standins
from tests import support
from tests.entry import callers

STEP_S = 0.02
FOUND_S = 2.0
WORK_S = 1.0
SLACK_S = 2.0
LONG_S = 4.0  # longer than any silence is
MODELS = ("middle-model-0", "middle-model-1")
IDLE = 8  # connections that are kept alive


class RelayedCase(support.FleetCase):
    """Agents that reach what is behind them through relays."""

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


class ConnectionsBehindAgentsTest(RelayedCase):
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


class FirstByteTest(RelayedCase):
    """Endpoints that can't resume go silent before their first byte."""

    plan = dataclasses.replace(
        callers.ONE_DOMAIN,
        entries=1,
        engines_per_domain=2,
        engine={"cold_s": 0.0},
        service={"work_s": WORK_S},
    )

    async def test_order_whose_connection_went_silent(self):
        relay = await self._relay(f"{callers.DESK}-target")
        await self._restart(callers.DESK, endpoint={"url": _url(relay)})
        for name, stall_s, break_link, lasts_s in (
            # It is in no report once it has ended, and reports lag.
            ("answer lost", 0.0, relay.silence_open, WORK_S + FOUND_S),
            ("host dead", LONG_S, lambda: _drop_all(relay), FOUND_S),
        ):
            with self.subTest(name):
                await self.fleet.set_faults(f"{callers.DESK}-target", stall_s=stall_s)
                task = asyncio.create_task(
                    callers.order(self.fleet, 1, name.replace(" ", "-"))
                )
                await asyncio.sleep(WORK_S / 3)
                break_link()
                answer = await task
                self.assertEqual(answer.error["type"], "endpoint_error", answer.text)
                self.assertEqual(answer.error["outcome"], "outcome_unknown")
                self.assertLess(answer.seconds, lasts_s + SLACK_S)
        await self.fleet.set_faults(f"{callers.DESK}-target", stall_s=0.0)
        later = await callers.order(self.fleet, 2, "later")
        self.assertEqual(later.status, 200, later.text)
        counts = await callers.executions(self.fleet, callers.DESK)
        self.assertEqual(set(counts.values()), {1})

    async def test_order_that_takes_long_is_waited_for(self):
        await self.fleet.set_faults(f"{callers.DESK}-target", stall_s=LONG_S)
        answer = await callers.order(self.fleet, 3, "long")
        self.assertEqual(answer.status, 200, answer.text)

    async def test_request_at_an_engine_that_answers_nobody_runs_elsewhere(self):
        relays = []
        for name in MODELS:
            relay = await self._relay(f"{name}-target")
            await self._restart(name, endpoint={"url": _url(relay)})
            relays.append(relay)
        body = {"model": "desk-model", "messages": [], "max_tokens": 200}  # 1 s
        path = "/v1/chat/completions"
        tasks = [
            asyncio.create_task(callers.call(self.fleet, path, body)) for _ in range(4)
        ]
        await asyncio.sleep(0.3)
        relays[0].set_mode(standins.LinkMode.SILENT)
        for answer in await asyncio.gather(*tasks):
            self.assertEqual(answer.status, 200, answer.text)
            self.assertLess(answer.seconds, FOUND_S + 1.0 + SLACK_S)


def _drop_all(relay):
    """Let the system acknowledge nothing to an agent, as a dead host does."""
    for writer in relay.writers:
        callers.drop_all(writer.get_extra_info("socket"))


def _url(relay):
    return f"http://127.0.0.1:{relay.port_}"
