"""Load reports that end the wait for a first byte.

Guards against attempts that wait for an answer lost on a broken connection, and
against ending waits that may still succeed.
"""

import asyncio
import dataclasses
import itertools
import unittest

from simulations import virtual

from sequoiagap.agent import _first_bytes, _load_report

PROBE_INTERVAL_S = 0.25
TIMEOUT_S = 20.0


@dataclasses.dataclass
class Order:
    """Fields of an order that the watchdog reads."""

    attempt_id: str = "a1"
    repeatable: bool = False


def report(in_flight, running=None):
    """Return a load report of the endpoint."""
    return _load_report.LoadReport("start-1", False, in_flight, running)


class FirstByteWatchdogTest(unittest.TestCase):
    def test_when_waits_end(self):
        counted, none, other = report(1), report(0), report(1, ["a2"])
        table = {
            "runs": (False, [], [counted], None),
            "listed": (False, [], [report(1, ["a1"])], None),
            "runs no more": (False, [counted] * 8, [none], 3.0),
            "another runs": (False, [counted] * 8, [other], 3.0),
            "lacking for moments": (False, [], [counted, none, none, none], None),
            "not yet counted": (False, [counted] + [none] * 5, [counted], None),
            "never counted any": (False, [], [none], None),
            "silent, repeatable": (True, [counted] * 4, [None], 3.0),
            "silent, not repeatable": (False, [counted] * 4, [None], None),
            "never heard": (True, [], [None], None),
        }
        for name, (repeatable, first, then, expected) in table.items():
            with self.subTest(name):
                ended = virtual.run(self.wait(repeatable, first, then))
                if expected is None:
                    self.assertGreaterEqual(ended, TIMEOUT_S)
                else:
                    self.assertAlmostEqual(ended, expected, delta=2 * PROBE_INTERVAL_S)

    async def wait(self, repeatable, first, then):
        """Wait while reports arrive; return the duration in seconds."""
        loop = asyncio.get_running_loop()
        first_bytes = _first_bytes.FirstByteWatchdog()
        reports = itertools.chain(first, itertools.cycle(then))
        probes = asyncio.create_task(self.probe(first_bytes, reports))
        wait = first_bytes.begin(Order(repeatable=repeatable))
        try:
            async with asyncio.timeout(TIMEOUT_S) as wait.timer:
                await asyncio.sleep(2 * TIMEOUT_S)
        except TimeoutError:
            return loop.time()
        finally:
            probes.cancel()

    async def probe(self, first_bytes, reports):
        """Record a report each interval; ``None`` is a failed probe."""
        for item in reports:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if item is None:
                first_bytes.record_probe_failure()
            else:
                now = asyncio.get_running_loop().time()
                first_bytes.record_report(item, now)
