"""Claims against a platform that loses answers, applies writes late or is down."""

import asyncio
import dataclasses
import unittest

from simulations import claims_platform, virtual

from sequoiagap import outcome
from sequoiagap.outcome import _affinity, _claims
from tests import support


class ClaimStoreTest(unittest.TestCase):
    def setUp(self):
        support.silence_logs()
        self.platform = claims_platform.ClaimsPlatform()
        self.now = 1000.0
        self.count = 0

    def store(self, min_flush_interval_s=0.05):
        return outcome.ClaimStore(
            self.platform, "orders", min_flush_interval_s, wall_clock=lambda: self.now
        )

    def make_claim(self, store, key="k", digest="d", agent="a"):
        self.count += 1
        nonce = f"n{self.count}"
        claim = outcome.Claim(key, agent, f"inc-{agent}", nonce, digest, 0.0)
        return store.with_expiry(claim)

    def run_scenario(self, scenario):
        virtual.run(scenario())

    def test_decisions_between_two_agents(self):
        async def scenario():
            one, two = self.store(), self.store()
            await two.claim(self.make_claim(two, "other"), 1.0)
            first = await one.claim(self.make_claim(one), 1.0)
            second = await two.claim(self.make_claim(two, agent="b"), 1.0)
            mismatch = await two.claim(self.make_claim(two, digest="e"), 1.0)
            self.assertEqual(first.decision, "held")
            self.assertEqual((second.decision, second.claim.agent), ("taken", "a"))
            self.assertEqual(mismatch.decision, "mismatch")

        self.run_scenario(scenario)

    def test_agent_that_saw_a_claim_gets_it_after_the_release(self):
        async def scenario():
            one, two = self.store(), self.store()
            proposal = self.make_claim(one)
            await one.claim(proposal, 1.0)
            seen = await two.claim(self.make_claim(two, agent="b"), 1.0)
            one.release(proposal)
            await asyncio.sleep(1.0)
            again = await two.claim(self.make_claim(two, agent="b"), 1.0)
            self.assertEqual((seen.decision, again.decision), ("taken", "held"))

        self.run_scenario(scenario)

    def test_race_has_one_winner(self):
        async def scenario():
            stores = [self.store() for _ in range(4)]
            answers = await asyncio.gather(
                *(
                    s.claim(self.make_claim(s, agent=str(i)), 2.0)
                    for i, s in enumerate(stores)
                )
            )
            decisions = sorted(a.decision for a in answers)
            self.assertEqual(decisions, ["held", "taken", "taken", "taken"])
            self.assertEqual(len({a.claim.nonce for a in answers}), 1)

        self.run_scenario(scenario)

    def test_write_of_unknown_effect(self):
        for fault in ("lost", "late"):
            with self.subTest(fault):
                self.platform = claims_platform.ClaimsPlatform()

                async def scenario(fault=fault):
                    store = self.store()
                    self.platform.faults = [fault]
                    proposal = self.make_claim(store)
                    self.assertEqual(
                        (await store.claim(proposal, 1.0)).decision, "held"
                    )
                    await asyncio.sleep(5.0)  # the late write must not take effect
                    again = await self.store().claim(
                        self.make_claim(store, agent="b"), 1.0
                    )
                    self.assertEqual(again.claim.nonce, proposal.nonce)

                self.run_scenario(scenario)

    def test_withdrawn_proposal_leaves_no_claim(self):
        for faults in (["late"], ["lost"], []):
            with self.subTest(faults=faults):
                self.platform = claims_platform.ClaimsPlatform()

                async def scenario(faults=faults):
                    store = self.store()
                    self.platform.faults = list(faults)
                    # The timeout ends while the write is in progress.
                    answer = await store.claim(
                        self.make_claim(store), 1.5 * claims_platform.DELAY_S
                    )
                    self.assertEqual(answer.decision, "too_late")
                    await asyncio.sleep(5.0)
                    other = self.store()
                    again = await other.claim(self.make_claim(other, agent="b"), 1.0)
                    self.assertEqual(again.decision, "held")

                self.run_scenario(scenario)

    def test_close_stores_the_ends_of_runs(self):
        async def scenario():
            store = self.store()
            proposals = [self.make_claim(store, key) for key in map(str, range(64))]
            await asyncio.gather(
                *(store.claim(proposal, 1.0) for proposal in proposals)
            )
            for proposal in proposals:
                store.mark_done(proposal)
            await asyncio.sleep(1.0)
            before = self.platform.writes
            await store.close()
            written = self.platform.writes - before
            self.assertLessEqual(written, _affinity.SHARDS_PER_SERVICE)
            other = self.store()
            for key in ("0", "63"):
                again = await other.claim(self.make_claim(other, key, agent="b"), 1.0)
                self.assertEqual((again.decision, again.claim.state), ("taken", "done"))
            for proposal in proposals:
                other.mark_done(proposal)  # already stored as done
            self.platform.down = True
            async with asyncio.timeout(support.FEW_SECONDS_S):
                await other.close()

        self.run_scenario(scenario)

    def test_platform_down_is_reported_and_leaves_no_claim(self):
        async def scenario():
            store = self.store()
            self.platform.down = True
            answer = await store.claim(self.make_claim(store), 2.0)
            self.assertEqual(answer.decision, "platform_down")
            self.platform.down = False
            await asyncio.sleep(1.0)
            again = await store.claim(self.make_claim(store), 2.0)
            self.assertEqual(again.decision, "held")

        self.run_scenario(scenario)

    def test_many_claims_share_a_write(self):
        async def scenario():
            store = self.store(min_flush_interval_s=0.2)
            proposals = [self.make_claim(store, f"k{i}") for i in range(200)]
            answers = await asyncio.gather(*(store.claim(w, 2.0) for w in proposals))
            self.assertEqual({a.decision for a in answers}, {"held"})
            self.assertLessEqual(self.platform.writes, 2 * _affinity.SHARDS_PER_SERVICE)

        self.run_scenario(scenario)

    def test_segments_keep_claims_until_they_expire(self):
        async def scenario():
            store = self.store(min_flush_interval_s=0.0)
            keys = [k for k in map(str, range(20_000)) if _affinity.shard_of(k) == 0]
            keys = keys[: 3 * _claims.MAX_HEAD_CLAIMS]
            for start in range(0, len(keys), 64):
                proposals = [
                    self.make_claim(store, k) for k in keys[start : start + 64]
                ]
                await asyncio.gather(*(store.claim(w, 2.0) for w in proposals))
            head = self.platform.object_by_name["claims-orders-0"].value
            self.assertLessEqual(len(head["claims"]), _claims.MAX_HEAD_CLAIMS)
            fresh = self.store()
            for key in (keys[0], keys[300], keys[-1]):
                again = await fresh.claim(self.make_claim(fresh, key, agent="b"), 2.0)
                self.assertEqual(again.decision, "taken", key)
            self.now += outcome.CLAIM_WINDOW_S + 1
            again = await fresh.claim(self.make_claim(fresh, keys[0], agent="b"), 2.0)
            self.assertEqual(again.decision, "held")
            await asyncio.sleep(1.0)
            self.assertEqual(list(self.platform.object_by_name), ["claims-orders-0"])

        self.run_scenario(scenario)

    def test_no_segment_is_left_behind(self):
        table = {
            "deletions fail": ({"delete"}, None),
            "head write fails, another agent claims": ({"put_head"}, "claim"),
            "head write fails, another agent releases": ({"put_head"}, "release"),
        }
        for name, (denied, other_action) in table.items():
            with self.subTest(name):
                self.platform = claims_platform.ClaimsPlatform()
                self.now = 1000.0
                self.run_scenario(
                    lambda d=denied, o=other_action: self._seal_during_outage(d, o)
                )

    async def _seal_during_outage(self, denied, other_action):
        keys = [k for k in map(str, range(20_000)) if _affinity.shard_of(k) == 0]
        one, two = (
            self.store(min_flush_interval_s=0.0),
            self.store(min_flush_interval_s=0.0),
        )
        proposals = [
            self.make_claim(two, key) for key in keys[: _claims.MAX_HEAD_CLAIMS]
        ]
        await asyncio.gather(*(two.claim(proposal, 2.0) for proposal in proposals))
        await one.claim(self.make_claim(one, keys[0], agent="b"), 1.0)
        self.platform.denied = denied
        answer = await one.claim(self.make_claim(one, keys[300], agent="b"), 1.0)
        self.platform.denied = {"delete"}
        if other_action == "claim":
            await two.claim(self.make_claim(two, keys[301]), 1.0)
        elif other_action == "release":
            two.release(proposals[0])
        await asyncio.sleep(1.0)
        self.assertEqual(answer.decision == "held", denied == {"delete"})
        self.now += outcome.CLAIM_WINDOW_S + 1
        for key in ("400", "401"):  # while deletions still fail
            await two.claim(self.make_claim(two, keys[int(key)]), 1.0)
            await asyncio.sleep(1.0)
        self.assertEqual(len(self.platform.object_by_name), 2)
        self.platform.denied = set()
        fresh = self.store(
            min_flush_interval_s=0.0
        )  # an agent that starts after the others have stopped
        for key in keys[500:502]:
            await fresh.claim(self.make_claim(fresh, key), 1.0)
            await asyncio.sleep(1.0)
        self.assertEqual(list(self.platform.object_by_name), ["claims-orders-0"])
        head = self.platform.object_by_name["claims-orders-0"].value
        self.assertEqual(head["segments"], [])

    def test_release_of_a_sealed_claim(self):
        async def scenario():
            store = self.store(min_flush_interval_s=0.0)
            keys = [k for k in map(str, range(20_000)) if _affinity.shard_of(k) == 0]
            proposals = [self.make_claim(store, k) for k in keys[:400]]
            for proposal in proposals[:300]:
                store._writer(proposal.identity).add(proposal)
            await asyncio.sleep(1.0)
            await store.claim(proposals[350], 1.0)
            store.release(proposals[0])
            await asyncio.sleep(1.0)
            fresh = self.store()
            again = await fresh.claim(self.make_claim(fresh, keys[0], agent="b"), 1.0)
            other = await fresh.claim(self.make_claim(fresh, keys[1], agent="b"), 1.0)
            self.assertEqual((again.decision, other.decision), ("held", "taken"))

        self.run_scenario(scenario)

    def test_full_shard_refuses_until_claims_expire(self):
        proposal = outcome.Claim("k", "a", "i", "n", "d", 10.0)
        many = range(_claims.MAX_CLAIMS_PER_SHARD)
        claims = [dataclasses.replace(proposal, identity=str(i)) for i in many]
        sealed = outcome.ClaimShard().sealed.merged_with(claims, 0.0)
        segment = _claims.Segment(1, 10.0)
        shard = outcome.ClaimShard({}, (segment,), sealed)
        self.assertEqual(shard.decide(proposal, 5.0), "full")
        shard.prune(11.0)
        self.assertEqual(shard.decide(proposal, 11.0), "held")

    def test_packed_claims_keep_their_content(self):
        digest = outcome.body_digest("POST", "/file", b"body")
        claims = [
            outcome.Claim(identity, agent, "inc", nonce, digest, 1.5, state)
            for identity, agent, nonce, state in (
                (outcome.claim_id("guild", "orders", "k"), "a", "att-1", "held"),
                ("k", "b", "", "done"),
                ("ab" * 16, "a", "n" * 200, "released"),
                ("AB" * 16, "a", "n", "held"),
            )
        ]
        sealed = outcome.ClaimShard().sealed.merged_with(claims, 0.0)
        self.assertEqual([sealed.get(claim.identity) for claim in claims], claims)
        self.assertEqual((len(sealed), sealed.get("other")), (4, None))
