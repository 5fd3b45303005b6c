"""Handling of orders, credit, lost connections and duplicates by the agent.

Guards against attempts that run twice, answers that are lost after a reconnect, and
runs that continue although no entry needs them.
"""

import asyncio
import unittest

from simulations import requests_fakes, virtual

from sequoiagap import config, outcome, wire
from sequoiagap.agent import _attempt_control, _executor, _run_table, _runs
from tests import support

EXPIRES_S = 60.0


class FakeConnection:
    """Records what was sent to an entry."""

    def __init__(self):
        self.sent = []

    async def send(self, item):
        self.sent.append(item)

    def mark_busy(self, busy):
        self.busy = busy

    def of_type(self, kind):
        return [item for item in self.sent if isinstance(item, kind)]


class FakeEndpoint:
    """Produces chunks at a fixed rate and records which attempts it ran."""

    def __init__(self, chunks=5, step_s=1.0):
        self.chunks = chunks
        self.step_s = step_s
        self.started = []
        self.sent_chunks = 0
        self.ended = []

    async def call(self, order, on_head, on_data):
        self.started.append(order.attempt_id)
        try:
            await on_head(200, {})
            for _ in range(self.chunks):
                await asyncio.sleep(self.step_s)
                await on_data(bytes(1024))
                self.sent_chunks += 1
        finally:
            self.ended.append(order.attempt_id)


def order(attempt_id="a1", repeatable=True, expires_s=EXPIRES_S, key=""):
    """Return an order to run an attempt."""
    return wire.Execute(
        request_id="r",
        attempt_id=attempt_id,
        account="guild",
        target="orders",
        method="POST",
        path="/file",
        headers={},
        body=b"",
        expires_at_ms=int(expires_s * 1000),
        repeatable=repeatable,
        idempotency_key=key,
    )


class ExecutorTest(unittest.TestCase):
    def setUp(self):
        support.silence_logs()

    def run_on(self, scenario, **endpoint):
        async def run():
            self.endpoint = FakeEndpoint(**endpoint)
            self.gate = requests_fakes.Gate()
            self.executor = _executor.Executor(
                self.endpoint,
                self.gate,
                outcome.Ledger("inc"),
                config.ConfigHolder(),
                "agent-0",
                "north",
                None,
            )
            self.handlers = wire.HandlerTable()
            self.executor.attach(self.handlers)
            self.entry = FakeConnection()
            await scenario()
            await self.executor.close()

        virtual.run(run())

    async def send(self, item, entry=None):
        await self.handlers.handle(entry or self.entry, item)

    def attach(self, attempt_id="a1", incarnation="inc", next_sequence=0):
        expires_at_ms = int(EXPIRES_S * 1000)
        return wire.Attach(attempt_id, incarnation, expires_at_ms, next_sequence)

    def test_repeatable_run_of_a_lost_entry_is_stopped_after_the_grace_time(self):
        async def scenario():
            await self.send(order())
            await asyncio.sleep(1.5)
            self.executor.forget_connection(self.entry)
            await asyncio.sleep(_attempt_control.REATTACH_GRACE_S - 0.1)
            self.assertEqual(self.endpoint.ended, [])
            await asyncio.sleep(0.2)
            self.assertEqual(self.endpoint.ended, ["a1"])
            self.assertEqual(self.gate.in_flight_, 0)

        self.run_on(scenario, chunks=100)

    def test_reconnected_entry_gets_the_rest(self):
        async def scenario():
            await self.send(order())
            await asyncio.sleep(2.5)
            self.executor.forget_connection(self.entry)
            reconnected = FakeConnection()
            await asyncio.sleep(1.0)
            await self.send(self.attach(next_sequence=2), reconnected)
            await asyncio.sleep(10.0)
            self.assertEqual(
                [c.sequence for c in reconnected.of_type(wire.Chunk)], [2, 3, 4]
            )
            self.assertEqual(
                reconnected.of_type(wire.Final), [wire.Final("a1", 5, 5 * 1024)]
            )
            self.assertEqual(self.endpoint.started, ["a1"])

        self.run_on(scenario)

    def test_run_that_is_not_repeatable_completes_without_its_entry(self):
        async def scenario():
            await self.send(order(repeatable=False))
            await asyncio.sleep(0.5)
            await self.send(wire.Cancel("a1", int(EXPIRES_S * 1000)))
            self.executor.forget_connection(self.entry)
            await asyncio.sleep(9.0)
            self.assertEqual(self.endpoint.sent_chunks, 5)
            reconnected = FakeConnection()
            await self.send(self.attach(), reconnected)
            await asyncio.sleep(1.0)
            self.assertEqual(len(reconnected.of_type(wire.Chunk)), 5)

        self.run_on(scenario)

    def test_slow_caller_blocks_only_its_own_run(self):
        async def scenario():
            await self.send(order("slow"))
            await asyncio.sleep(30.0)
            sent = len(self.entry.of_type(wire.Chunk))
            self.assertEqual(sent, _runs.WINDOW_CHUNKS)
            self.assertEqual(self.endpoint.sent_chunks, _runs.BUFFER_BYTES // 1024)
            await self.send(order("other"))
            await self.send(wire.Credit("slow", sent))
            await asyncio.sleep(0.1)
            by_id = [c.attempt_id for c in self.entry.of_type(wire.Chunk)]
            self.assertEqual(by_id.count("slow"), 2 * sent)
            self.assertGreater(by_id.count("other"), 0)

        self.run_on(scenario, chunks=5000, step_s=0.001)

    def test_answers_to_orders_that_do_not_run(self):
        later = int((EXPIRES_S + 3600) * 1000)
        table = {
            "revoked before": ([self.attach()], 0.0, order(), "not_run"),
            "cancelled before": ([wire.Cancel("a1", later)], 0.0, order(), "not_run"),
            "after its deadline": ([], EXPIRES_S + 1, order(), "not_run"),
            "long after it": ([], EXPIRES_S + 600, order(), "outcome_unknown"),
        }
        for name, (before, wait_s, late, expected) in table.items():
            with self.subTest(name):

                async def scenario(
                    before=before, wait_s=wait_s, late=late, expected=expected
                ):
                    for item in before:
                        await self.send(item)
                    await asyncio.sleep(wait_s)
                    await self.send(late)
                    await asyncio.sleep(1.0)
                    self.assertEqual(self.endpoint.started, [])
                    (refused,) = self.entry.of_type(wire.Refused)
                    self.assertEqual(refused.outcome, expected)

                self.run_on(scenario)

    def test_duplicate_of_a_run_is_dropped(self):
        async def scenario():
            await self.send(order())
            await asyncio.sleep(0.5)
            await self.send(order())
            await asyncio.sleep(9.0)
            await self.send(order())
            await asyncio.sleep(1.0)
            self.assertEqual(self.endpoint.started, ["a1"])
            self.assertEqual(self.entry.of_type(wire.Refused), [])
            self.assertEqual(len(self.entry.of_type(wire.Final)), 1)

        self.run_on(scenario)

    def test_answers_to_attach(self):
        table = {
            "never came": (None, 0.0, {}, "never_started"),
            "another incarnation": (order(), 1.0, {"incarnation": "old"}, "unknown"),
            "answer dropped": (order(), 2 * _run_table.RETENTION_S, {}, "finished"),
        }
        for name, (first, wait_s, changes, expected) in table.items():
            with self.subTest(name):

                async def scenario(
                    first=first, wait_s=wait_s, changes=changes, expected=expected
                ):
                    if first is not None:
                        await self.send(first)
                    await asyncio.sleep(wait_s)
                    self.executor.table_.drop_old(asyncio.get_running_loop().time())
                    await self.send(self.attach(**changes))
                    (revoked,) = self.entry.of_type(wire.Revoked)
                    self.assertEqual(revoked.standing, expected)

                self.run_on(scenario)

    def test_stopping_refuses_waiting_entries_after_the_timeout(self):
        async def scenario():
            await self.send(order())
            await asyncio.sleep(1.0)
            self.executor.stopping_ = True
            await self.executor.wait_idle(2.0)
            (refused,) = self.entry.of_type(wire.Refused)
            self.assertEqual(refused.outcome, "outcome_unknown")
            self.assertEqual(asyncio.get_running_loop().time(), 3.0)

        self.run_on(scenario, chunks=100)
