"""Tests that each fault switch has its documented effect, and only while it is set."""

import asyncio
import dataclasses
import json
import time
import unittest

import aiohttp

from sequoiagap.standins import _engine, _faults, _platform, _serve, _service

# ANSWER_S bounds any answer, also on a busy machine. A call without an answer for
# SILENCE_S counts as unanswered.
ANSWER_S = 15.0
SILENCE_S = 0.5
PAUSE_S = 0.3
EFFECT_DELAY_S = 3.0
LIST_LAG_S = 2.0
COMPLETE = "/v1/chat/completions"


class StandInCase(unittest.IsolatedAsyncioTestCase):
    """Runs one stand-in of each kind in this process."""

    async def asyncSetUp(self):
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.url_by_kind = {}
        stand_ins = {
            "platform": _platform.PlatformStandIn(list_lag_s=LIST_LAG_S),
            "engine": _engine.EngineStandIn(
                step_s=0.001, cold_s=0.0, load_lag_s=PAUSE_S, recover_s=PAUSE_S
            ),
            "service": _service.ServiceStandIn(work_s=0.001),
        }
        for kind, stand_in in stand_ins.items():
            runner, port = await _serve.start(stand_in)
            self.addAsyncCleanup(runner.cleanup)
            self.url_by_kind[kind] = f"http://127.0.0.1:{port}"

    async def call(
        self, kind, method, path, body=None, headers=None, timeout_s=ANSWER_S
    ):
        """Send a request to a stand-in; return status, body and headers.

        :raises TimeoutError: if no complete answer arrives in time.
        """
        url = self.url_by_kind[kind] + path
        async with asyncio.timeout(timeout_s):
            async with self.session.request(
                method, url, json=body, headers=headers
            ) as answer:
                return answer.status, await answer.text(), answer.headers

    async def measure_call(self, *arguments):
        """Send a request; return the seconds until the complete answer."""
        began = time.monotonic()
        await self.call(*arguments)
        return time.monotonic() - began

    async def put(self, name, expected_version, value=1, timeout_s=ANSWER_S):
        """Write an object of the platform; return the status."""
        body = {"expected_version": expected_version, "value": {"n": value}}
        call = ("platform", "PUT", f"/objects/{name}", body)
        status, _, _ = await self.call(*call, timeout_s=timeout_s)
        return status

    async def get(self, name):
        """Return the value of an object of the platform, or ``None``."""
        url = f"{self.url_by_kind['platform']}/objects/{name}"
        async with self.session.get(url) as answer:
            return (await answer.json()).get("value")

    async def wait_for(self, name):
        """Wait until an object of the platform exists."""
        async with asyncio.timeout(ANSWER_S):
            while await self.get(name) is None:  # noqa: ASYNC110 - polls over HTTP
                await asyncio.sleep(0.01)

    async def count_executions(self, kind):
        """Return the number of executions at a stand-in."""
        url = f"{self.url_by_kind[kind]}/executions"
        async with self.session.get(url) as answer:
            return sum((await answer.json()).values())

    async def set_faults(self, kind, **switches):
        """Set fault switches of a stand-in."""
        url = f"{self.url_by_kind[kind]}/faults"
        async with self.session.post(url, json=switches) as answer:
            self.assertEqual(answer.status, 200)


class FaultsTest(StandInCase):
    CALLS = (
        ("platform", "GET", "/hosts", None),
        ("engine", "GET", "/load", None),
        ("engine", "POST", COMPLETE, {"messages": []}),
        ("service", "POST", "/file", {"n": 1}),
    )

    async def test_each_switch(self):
        for field in dataclasses.fields(_faults.Faults):
            with self.subTest(field.name):
                await getattr(self, f"check_{field.name}")()
                for kind in self.url_by_kind:
                    await self.set_faults(kind, **{field.name: field.default})
                for call in self.CALLS:
                    status, _, _ = await self.call(*call)
                    self.assertEqual(status, 200, f"after {field.name}")

    async def test_unknown_switch_is_rejected(self):
        for kind in self.url_by_kind:
            status, text, _ = await self.call(kind, "POST", "/faults", {"dwon": True})
            self.assertEqual((status, "dwon" in text), (400, True))

    async def check_down(self):
        for call in self.CALLS:
            await self.set_faults(call[0], down=True)
            status, _, _ = await self.call(*call)
            self.assertEqual(status, 503)

    async def check_slow_s(self):
        for call in self.CALLS:
            await self.set_faults(call[0], slow_s=PAUSE_S)
            self.assertGreaterEqual(await self.measure_call(*call), PAUSE_S)
            await self.set_faults(call[0], slow_s=0.0)

    async def check_silent(self):
        for call in self.CALLS:
            await self.set_faults(call[0], silent=True)
            with self.assertRaises(TimeoutError):
                await self.call(*call, timeout_s=SILENCE_S)

    async def check_refuse_next(self):
        for call in self.CALLS:
            await self.set_faults(call[0], refuse_next=1)
            statuses = [(await self.call(*call))[0] for _ in range(2)]
            self.assertEqual(statuses, [500, 200])

    async def check_lose_answers(self):
        await self.set_faults("platform", lose_answers=1)
        with self.assertRaises(TimeoutError):
            await self.put("lost", 0, timeout_s=SILENCE_S)
        self.assertEqual(await self.get("lost"), {"n": 1})
        self.assertEqual(await self.put("next", 0), 200)
        before = await self.count_executions("service")
        await self.set_faults("service", lose_answers=1)
        with self.assertRaises(aiohttp.ClientError):
            await self.call("service", "POST", "/file", {"n": 1})
        self.assertEqual(await self.count_executions("service"), before + 1)

    async def check_late_s(self):
        await self.set_faults("platform", late_s=EFFECT_DELAY_S)
        write = asyncio.create_task(self.put("late", 0))
        await self.wait_for("late")
        self.assertFalse(write.done())
        self.assertEqual(await write, 200)

    async def check_stall_s(self):
        for kind, path in (("engine", COMPLETE), ("service", "/file")):
            await self.set_faults(kind, stall_s=PAUSE_S)
            before = await self.count_executions(kind)
            elapsed = await self.measure_call(kind, "POST", path, {"messages": []})
            self.assertGreaterEqual(elapsed, PAUSE_S)
            self.assertEqual(await self.count_executions(kind), before + 1)

    async def check_cut_answers(self):
        await self.set_faults("engine", cut_answers=1)
        body = {"messages": [], "stream": True}
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.call("engine", "POST", COMPLETE, body)
        _, text, _ = await self.call("engine", "POST", COMPLETE, body)
        self.assertIn("[DONE]", text)

    async def check_crossed(self):
        for kind, path in (("engine", COMPLETE), ("service", "/file")):
            call = (kind, "POST", path, {"messages": []}, {"X-Request-Id": "own"})
            _, _, headers = await self.call(*call)
            self.assertEqual(headers["X-Request-Id"], "own")
            await self.set_faults(kind, crossed=True)
            _, _, headers = await self.call(*call)
            self.assertNotEqual(headers["X-Request-Id"], "own")

    async def check_lose_watches(self):
        self.assertIsNotNone(await self._watch_change("watched", ANSWER_S))
        await self.set_faults("platform", lose_watches=True)
        self.assertIsNone(await self._watch_change("unwatched"))

    async def check_gap_watches(self):
        await self.set_faults("platform", gap_watches=1)
        self.assertIsNone(await self._watch_change("gap"))
        self.assertEqual(await self.get("gap"), {"n": 1})

    async def check_stale_reads(self):
        await self.put("stale", 0, value=1)
        version = (await self._read("stale"))["version"]
        await self.put("stale", version, value=2)
        self.assertEqual(await self.get("stale"), {"n": 2})
        await self.set_faults("platform", stale_reads=True)
        self.assertEqual(await self.get("stale"), {"n": 1})

    async def check_late_writes_s(self):
        await self.set_faults("platform", late_writes_s=EFFECT_DELAY_S)
        with self.assertRaises(TimeoutError):
            await self.put("behind", 0, timeout_s=SILENCE_S)
        self.assertIsNone(await self.get("behind"))
        await self.wait_for("behind")

    async def _read(self, name):
        url = f"{self.url_by_kind['platform']}/objects/{name}"
        async with self.session.get(url) as answer:
            return await answer.json()

    async def _watch_change(self, name, timeout_s=SILENCE_S):
        """Change a watched object; return the answer of the watch, or ``None``."""
        path = f"/objects/{name}/watch?after=0&timeout_s={ANSWER_S}"
        before = await self._count_watches()
        watch = asyncio.create_task(self.call("platform", "GET", path))
        async with asyncio.timeout(ANSWER_S):
            while await self._count_watches() == before:  # noqa: ASYNC110 - polls over HTTP
                await asyncio.sleep(0.01)
        self.assertEqual(await self.put(name, 0), 200)
        done, _ = await asyncio.wait([watch], timeout=timeout_s)
        if not done:
            watch.cancel()
        return watch.result() if done else None

    async def _count_watches(self):
        """Return the number of watch requests to the platform."""
        _, text, _ = await self.call("platform", "GET", "/calls")
        return json.loads(text).get("watch", 0)


class BehaviourTest(StandInCase):
    """Tests behaviour without faults that the platform and engines have too."""

    async def test_host_list_lags(self):
        await self.call("platform", "PUT", "/hosts/h1", {"host_id": "h1"})
        self.assertNotIn("h1", (await self.call("platform", "GET", "/hosts"))[1])
        async with asyncio.timeout(ANSWER_S):
            while not await self._is_listed("h1"):  # noqa: ASYNC110 - polls over HTTP
                await asyncio.sleep(0.05)

    async def _is_listed(self, name):
        return name in (await self.call("platform", "GET", "/hosts"))[1]

    async def test_conditional_update(self):
        self.assertEqual(await self.put("a", 0), 200)
        self.assertEqual(await self.put("a", 0), 409)
        self.assertEqual(await self.get("a"), {"n": 1})

    async def test_overloaded_cold_engine_fails_and_recovers(self):
        engine = _engine.EngineStandIn(cold_s=60.0, cold_capacity=1, recover_s=PAUSE_S)
        runner, port = await _serve.start(engine)
        self.addAsyncCleanup(runner.cleanup)
        self.url_by_kind["engine"] = f"http://127.0.0.1:{port}"
        body = {"messages": [], "max_tokens": 100}
        answers = await asyncio.gather(
            *(self.call("engine", "POST", COMPLETE, body) for _ in range(3))
        )
        self.assertGreater([status for status, _, _ in answers].count(500), 0)
        await asyncio.sleep(PAUSE_S)
        status, _, _ = await self.call("engine", "POST", COMPLETE, body)
        self.assertEqual(status, 200)

    async def test_restart_shows_in_the_load_report(self):
        before = (await self.call("engine", "GET", "/load"))[1]
        await self.call("engine", "POST", "/restart")
        after = (await self.call("engine", "GET", "/load"))[1]
        self.assertNotEqual(before, after)
