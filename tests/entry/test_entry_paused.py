"""An entry is suspended for longer than the silence timeout of its connections."""

import asyncio
import json
import signal

from sequoiagap import standins
from tests import support

PAUSE_S = 3.0
REQUESTS = 12
LONG_TOKENS = 250
DONE = "data: [DONE]\n\n"


class PausedEntryTest(support.FleetCase):
    plan = standins.FleetPlan(
        domains=("north",),
        entries=2,
        engines_per_domain=3,
        services_per_domain=0,
        engine={"cold_s": 0.0},
    )

    async def test_callers_get_correct_outcomes_and_entry_serves_again(self):
        paused = self.fleet.process_by_name["entry-0"]
        calls = [
            asyncio.create_task(self._call(index % 2 == 0)) for index in range(REQUESTS)
        ]
        await asyncio.sleep(0.3)
        paused.send_signal(signal.SIGSTOP)
        calls += [asyncio.create_task(self._call(False)) for _ in range(REQUESTS)]
        await asyncio.sleep(PAUSE_S)
        paused.send_signal(signal.SIGCONT)
        await self.fleet.wait_until(self._is_serving, support.FEW_SECONDS_S)
        for status, text, is_stream in await asyncio.gather(*calls):
            self._check_outcome(status, text, is_stream)

    async def _call(self, is_stream):
        tokens = LONG_TOKENS if is_stream else 40
        status, text = await self.post_model(stream=is_stream, max_tokens=tokens)
        return status, text, is_stream

    def _check_outcome(self, status, text, is_stream):
        """Check for a complete answer, or an error that reports the outcome."""
        if is_stream and status == 200:
            is_ended = text.endswith(DONE) or '"outcome"' in text.splitlines()[-2]
            self.assertTrue(is_ended, text[-300:])
            return
        document = json.loads(text)
        if status == 200:
            self.assertIn("choices", document)
            return
        self.assertIn(document["error"]["outcome"], ("not_run", "unknown"))

    async def _is_serving(self):
        status, _ = await self.post_model(max_tokens=5)
        return status == 200
