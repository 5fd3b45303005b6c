"""Attempts that the configuration forbids never reach the endpoint."""

import asyncio
import unittest

from sequoiagap import agent, base, config, wire
from tests import support

OUT = config.ConfigDocument(failure_domains={"north": {"state": "out"}})
DRAINED = config.ConfigDocument(endpoints={"e1": {"drain": True}})
FREE = config.ConfigDocument()


class FakeConnection:
    """Keeps what is sent; answers a pull with a document, if it has one."""

    def __init__(self, holder, answer=None):
        self.sent = []
        self.holder = holder
        self.answer = answer

    async def send(self, item):
        """Take a message."""
        self.sent.append(item)
        if isinstance(item, config.ConfigPull) and self.answer is not None:
            self.holder.adopt(self.answer, "entry")


def make_order(config_version):
    """Return an attempt decided under a version."""
    fields = dict.fromkeys(("request_id", "account", "method", "path"), "x")
    return wire.Execute(
        attempt_id="att-1",
        target="desk",
        headers={},
        body=b"",
        expires_at_ms=0,
        config_version=config_version,
        **fields,
    )


class GuardTest(unittest.IsolatedAsyncioTestCase):
    async def test_versions(self):
        support.silence_logs()
        north = "failure_domains.north.state"
        cases = [
            # own document, decided under, pulled, ready, refusal, forbidden by
            (FREE, 4, None, True, None, ""),
            (FREE, 3, None, True, None, ""),
            (FREE, 4, None, False, "not_ready", None),
            (OUT, 3, None, True, None, north),
            (DRAINED, 3, None, True, None, "endpoints.e1.drain"),
            (OUT, 5, FREE, True, None, ""),
            (FREE, 5, OUT, True, None, north),
            (FREE, 5, None, True, "not_ready", None),
        ]
        for own, decided, pulled, ready, kind, setting in cases:
            with self.subTest(own=own, decided=decided, pulled=pulled, ready=ready):
                seen, refusal = await self._execute(own, decided, pulled, ready)
                self.assertEqual(refusal and refusal.kind, kind)
                self.assertEqual(seen, [] if setting is None else [setting])
                if refusal is not None:
                    self.assertEqual(refusal.outcome, base.Outcome.NOT_RUN)

    async def _execute(self, own, decided, pulled, ready):
        """Run an attempt; return what forbade it when it passed, and its refusal."""
        seen = []
        holder = config.ConfigHolder()
        holder.adopt(config.ConfigVersion(4, own), "test")
        if ready:
            holder.ready_.set()

        async def look_at(connection, order):
            seen.append(holder.blocking_setting("north", "e1"))

        handlers = wire.HandlerTable()
        handlers.add(wire.Execute, look_at)
        guard = agent.ConfigGuard(holder, agent.ConfigSpread(holder, None))
        guard.attach(handlers)
        newer = None if pulled is None else config.ConfigVersion(5, pulled)
        connection = FakeConnection(holder, newer)
        await handlers.handle(connection, make_order(decided))
        async with asyncio.timeout(support.FEW_SECONDS_S):
            await guard.wait_idle()
        refusals = [item for item in connection.sent if isinstance(item, wire.Refused)]
        return seen, refusals[0] if refusals else None


class EmptyPlatform:
    """Answers that there is no configuration; counts how often it was asked."""

    def __init__(self):
        self.reads = 0
        self.was_read = asyncio.Event()

    async def get(self, name):
        """Return no object."""
        self.reads += 1
        self.was_read.set()


class LearnTest(unittest.IsolatedAsyncioTestCase):
    async def test_first_version_is_worked_under_before_the_platform_is_read_again(
        self,
    ):
        support.silence_logs()
        platform = EmptyPlatform()
        holder = config.ConfigHolder()
        learning = asyncio.create_task(agent.ConfigSpread(holder, platform).learn())
        await platform.was_read.wait()
        holder.adopt(config.ConfigVersion(1, FREE), "entry")
        async with asyncio.timeout(support.FEW_SECONDS_S):
            await learning
        self.assertTrue(holder.ready_.is_set())
        self.assertEqual(platform.reads, 1)
