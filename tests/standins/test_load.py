"""Tests the counts of the load generator and the overload of a cold engine."""

import asyncio
import unittest

import aiohttp

from sequoiagap import standins
from sequoiagap.standins import _engine, load

ENGINE_PARAMETERS = {
    "cold_capacity": 2,
    "capacity": 8,
    "step_s": 0.01,
    "recover_s": 0.3,
}


class LoadToolTest(unittest.IsolatedAsyncioTestCase):
    async def start_engine(self, **parameters):
        engine = _engine.EngineStandIn(**ENGINE_PARAMETERS | parameters)
        runner, port = await standins.start(engine)
        self.addAsyncCleanup(runner.cleanup)
        return engine, f"http://127.0.0.1:{port}"

    async def test_phases_and_accounts_are_counted_separately(self):
        engine, url = await self.start_engine(cold_s=0.0, capacity=100)
        arguments = ["--url", url, "--account", "large:60", "--account", "small:20:k"]
        arguments += ["--phase", "one:0.5", "--phase", "two:0.5"]
        arguments += ["--prompt-kb", "2", "--prefixes", "2", "--seed", "3"]
        reports = await load.run(load.make_parser().parse_args(arguments))
        keys = {(p, a) for p in ("one", "two") for a in ("large", "small")}
        self.assertEqual(set(reports.by_phase_and_account), keys)
        total = reports.total()
        self.assertEqual(total.answered, total.sent)
        self.assertEqual(total.sent, sum(engine.executions_.count_by_key.values()))
        parts = [reports.total(account=name) for name in ("large", "small")]
        self.assertEqual(total.sent, sum(part.sent for part in parts))
        self.assertGreater(parts[0].sent, parts[1].sent)
        self.assertGreater(total.first_byte_ms(0.5), 0.0)
        self.assertIn("two", reports.to_table())
        self.assertGreater(engine._prefixes.hits_, engine._prefixes.misses_)

    async def test_bad_arguments_name_what_is_expected(self):
        for text in ("guild", "guild:0", "guild:fast"):
            with self.subTest(text), self.assertRaisesRegex(Exception, "NAME:RATE"):
                load.parse_account(text)

    async def test_cold_engine_is_overloaded_above_its_cold_capacity(self):
        cases = {
            "just started": ({"cold_s": 5.0}, 0.0),
            "cold without reporting it": ({"cold_s": 0.0}, 5.0),
        }
        for name, (parameters, chill_s) in cases.items():
            with self.subTest(name):
                engine, url = await self.start_engine(**parameters)
                async with aiohttp.ClientSession() as session:
                    if chill_s:
                        body = {"seconds": chill_s}
                        await session.post(f"{url}/chill", json=body)
                    async with session.get(f"{url}/load") as response:
                        report = await response.json()
                    self.assertEqual(report["cold"], not chill_s)
                    statuses = await asyncio.gather(
                        *(self._complete(session, url) for _ in range(4))
                    )
                self.assertEqual(sorted(statuses), [200, 200, 500, 500])
                self.assertEqual(engine.overload_count_, 1)

    async def _complete(self, session, url):
        path = f"{url}/v1/chat/completions"
        async with session.post(path, json={"messages": []}) as response:
            await response.read()
            return response.status
