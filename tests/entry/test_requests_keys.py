"""Requests that must not be repeated, with and without an idempotency key."""

import asyncio
import dataclasses
import signal

from sequoiagap import outcome
from tests import support
from tests.entry import callers

WORK_S = 0.4
DEADLINE_SLACK_S = 1.0  # longest delay of an answer after the deadline


class NonRepeatableRequestsTest(support.FleetCase):
    """Runs a table of cases on one fleet, each with its own idempotency keys."""

    plan = dataclasses.replace(
        callers.ONE_DOMAIN_PLAN, services_per_domain=2, service={"work_s": WORK_S}
    )

    async def test_cases(self):
        for case in (
            self._concurrent_duplicates_at_two_entries_run_once,
            self._second_call_gets_the_stored_answer,
            self._same_key_with_another_body_is_rejected,
            self._keys_are_separate_by_account,
            self._request_without_key_is_not_resent,
            self._lost_answer_of_claim_write_is_resolved_by_reading,
            self._disconnected_caller_gets_the_answer_by_key,
            self._platform_down_is_not_run,
            self._platform_slower_than_the_deadline_is_not_run,
            self._agent_paused_during_its_claim_runs_at_most_once,
            self._unreachable_endpoint_is_not_run,
            self._key_of_stopped_agent_is_reported_as_already_run,
            self._key_of_killed_agent_is_not_run_again,
        ):
            with self.subTest(case.__name__.strip("_")):
                await case()
                await self.fleet.set_faults("platform", slow_s=0, down=False)
                counts = await self.fleet.executions()
                self.assertEqual(set(counts.values()), {1})

    async def _count(self, key):
        return (await self.fleet.executions()).get(key, 0)

    def _owner(self, key, account="caller"):
        names = [n for n in self.fleet.endpoint_names() if "desk" in n]
        identity = outcome.claim_id(account, "orders", key)
        return outcome.rank_by_affinity(identity, names)[0]

    async def _concurrent_duplicates_at_two_entries_run_once(self):
        answers = await asyncio.gather(
            *(
                callers.post_order(self.fleet, 1, "raced", f"entry-{i % 2}")
                for i in range(6)
            )
        )
        self.assertEqual({a.status for a in answers}, {200})
        self.assertEqual(len({a.text for a in answers}), 1)
        self.assertEqual(await self._count("raced"), 1)

    async def _second_call_gets_the_stored_answer(self):
        first = await callers.post_order(self.fleet, 2, "held")
        second = await callers.post_order(self.fleet, 2, "held", "entry-1")
        self.assertEqual((first.status, second.text), (200, first.text))

    async def _same_key_with_another_body_is_rejected(self):
        await callers.post_order(self.fleet, 3, "mismatch")
        other = await callers.post_order(self.fleet, 4, "mismatch", "entry-1")
        self.assertEqual(other.status, 422)
        self.assertEqual(other.error["type"], "idempotency_mismatch")

    async def _keys_are_separate_by_account(self):
        self.assertNotEqual(
            outcome.claim_id("a", "orders", "k"), outcome.claim_id("b", "orders", "k")
        )

    async def _request_without_key_is_not_resent(self):
        for name in self.fleet.endpoint_names():
            if "desk" in name:
                await self.fleet.set_faults(f"{name}-target", lose_answers=1)
        for _ in range(2):
            answer = await callers.post_order(self.fleet, 5)
            if answer.status != 200:
                self.assertEqual(answer.error["outcome"], "outcome_unknown")
        for name in self.fleet.endpoint_names():
            if "desk" in name:
                await self.fleet.set_faults(f"{name}-target", lose_answers=0)

    async def _lost_answer_of_claim_write_is_resolved_by_reading(self):
        await self.fleet.set_faults("platform", lose_answers=1)
        answer = await callers.post_order(self.fleet, 6, "lost-answer")
        self.assertEqual(answer.status, 200, answer.text)
        self.assertEqual(await self._count("lost-answer"), 1)

    async def _disconnected_caller_gets_the_answer_by_key(self):
        task = asyncio.create_task(callers.post_order(self.fleet, 7, "left"))
        await asyncio.sleep(WORK_S / 2)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        answer = await callers.post_order(self.fleet, 7, "left", "entry-1")
        self.assertEqual(answer.status, 200, answer.text)
        self.assertEqual(await self._count("left"), 1)

    async def _platform_down_is_not_run(self):
        await self.fleet.set_faults("platform", down=True)
        answer = await callers.post_order(self.fleet, 8, "down")
        await self.fleet.set_faults("platform", down=False)
        self.assertEqual(answer.error["type"], "platform_down", answer.text)
        self.assertEqual(answer.error["outcome"], "not_run")
        self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)
        self.assertEqual(await self._count("down"), 0)
        await self._check_runs_later(8, "down")

    async def _platform_slower_than_the_deadline_is_not_run(self):
        await self.fleet.set_faults("platform", slow_s=2.0)
        answer = await callers.post_order(self.fleet, 9, "slow", timeout_ms=700)
        self.assertLess(answer.seconds, 0.7 + DEADLINE_SLACK_S)
        self.assertEqual(answer.error["outcome"], "not_run", answer.text)
        await self.fleet.set_faults("platform", slow_s=0)
        self.assertEqual(await self._count("slow"), 0)
        await self._check_runs_later(9, "slow")

    async def _check_runs_later(self, number, key):
        """Check that the key of a withdrawn claim can be used again."""

        async def is_answered():
            answer = await callers.post_order(self.fleet, number, key)
            return answer.status == 200

        await self.fleet.wait_until(is_answered, 2 * support.FEW_SECONDS_S)
        self.assertEqual(await self._count(key), 1)

    async def _agent_paused_during_its_claim_runs_at_most_once(self):
        agent = self.fleet.process_by_name[self._owner("paused")]
        await self.fleet.set_faults("platform", slow_s=0.4)
        task = asyncio.create_task(
            callers.post_order(self.fleet, 10, "paused", timeout_ms=1500)
        )
        await asyncio.sleep(0.2)
        agent.send_signal(signal.SIGSTOP)
        answer = await task
        self.assertLess(answer.seconds, 1.5 + DEADLINE_SLACK_S)
        await self.fleet.set_faults("platform", slow_s=0)
        repeated = await callers.post_order(self.fleet, 10, "paused", "entry-1")
        agent.send_signal(signal.SIGCONT)
        await asyncio.sleep(WORK_S + 0.5)
        count = await self._count("paused")
        self.assertLessEqual(count, 1)
        if 200 in (answer.status, repeated.status):
            self.assertEqual(count, 1)
        if answer.error.get("outcome") == "not_run" and repeated.status != 200:
            self.assertEqual(count, 0)
        if count == 0:
            await self._check_runs_later(10, "paused")

    async def _unreachable_endpoint_is_not_run(self):
        owner = self._owner("unreached")
        target = self.fleet.process_by_name[f"{owner}-target"]
        port = target.ready_["port"]
        counts = await callers.executions(self.fleet, owner)
        await target.kill()
        answer = await callers.post_order(self.fleet, 11, "unreached")
        await self.fleet.start_stand_in(
            f"{owner}-target", "service", {"work_s": WORK_S, "port": port}
        )
        self.assertNotIn("unreached", counts)
        if answer.status != 200:
            self.assertEqual(answer.error["outcome"], "not_run", answer.text)
        self.assertEqual(await self._count("unreached"), int(answer.status == 200))

    async def _key_of_stopped_agent_is_reported_as_already_run(self):
        owner = self._owner("stopped")
        first = await callers.post_order(self.fleet, 13, "stopped")
        agent = self.fleet.process_by_name[owner]
        agent.send_signal(signal.SIGTERM)
        await agent.wait()
        for entry in ("entry-0", "entry-1"):
            repeated = await callers.post_order(self.fleet, 13, "stopped", entry)
            self.assertEqual(repeated.error["type"], "already_ran", repeated.text)
            self.assertEqual(repeated.error["outcome"], "outcome_unknown")
        self.assertEqual((first.status, await self._count("stopped")), (200, 1))
        await self.fleet.start_agent(owner)
        await self.fleet.wait_ready()

    async def _key_of_killed_agent_is_not_run_again(self):
        owner = self._owner("dead")
        first = await callers.post_order(self.fleet, 12, "dead")
        await self.fleet.process_by_name[owner].kill()
        for entry in ("entry-0", "entry-1"):
            repeated = await callers.post_order(self.fleet, 12, "dead", entry)
            self.assertNotEqual(repeated.status, 200)
            self.assertEqual(
                repeated.error["outcome"], "outcome_unknown", repeated.text
            )
        self.assertEqual((first.status, await self._count("dead")), (200, 1))
