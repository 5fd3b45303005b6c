"""Configuration store: races, lost answers, outages, refusals and harm checks."""

import asyncio
import json
import time

from sequoiagap import base, config, platform
from tests import support

CALL_TIMEOUT_S = 0.2
BOUND_S = 1.5
LONG_BOUND_S = 10.0


def make_patch(patch_id, against, changes=None, override=False):
    """Return a patch that by default adds a model named like the patch."""
    if changes is None:
        changes = {"models": {patch_id: {}}}
    return config.Patch(patch_id, against, changes, "ann", override)


class StoreCase(support.PlatformCase):
    call_timeout_s = CALL_TIMEOUT_S

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store = config.ConfigStore(self.client, timeout_s=BOUND_S)

    async def accept(self, patch_id, against, changes=None):
        result = await self.store.submit(make_patch(patch_id, against, changes))
        self.assertTrue(result.is_ok(), result)
        return result.ok


class SubmitTest(StoreCase):
    async def test_race_has_one_winner(self):
        patches = [make_patch(f"p{i}", 0) for i in range(8)]
        results = await asyncio.gather(*(self.store.submit(p) for p in patches))
        accepted = [r.ok for r in results if r.is_ok()]
        self.assertEqual([item.number for item in accepted], [1])
        for result in results:
            if result.is_error():
                self.assertEqual(result.error.kind, base.RefusalKind.STALE_VERSION)
                self.assertEqual(result.error.config_version, 1)
                self.assertIn('"models"', result.error.message)

    async def test_reported_outcome_matches_the_version_under_faults(self):
        cases = [
            # faults, whether accepted, outcome, increase of the version
            ({"lose_answers": 1}, True, None, 1),
            ({"lose_answers": 2}, True, None, 1),
            ({"late_writes_s": 0.4}, True, None, 1),
            ({"refuse_next": 2}, False, base.Outcome.NOT_RUN, 0),
            ({"down": True}, False, base.Outcome.NOT_RUN, 0),
            ({"silent": True}, False, base.Outcome.NOT_RUN, 0),
            ({"slow_s": 1.0}, False, base.Outcome.NOT_RUN, 0),
            ({"late_writes_s": 2.5}, False, base.Outcome.UNKNOWN, 0),
        ]
        base_number = 0
        for faults, is_accepted, outcome, increase in cases:
            with self.subTest(faults):
                self.stand_in.faults_.set(faults)
                changes = {"models": {f"m{base_number}": {}}}
                patch = make_patch(f"patch {faults}", base_number, changes)
                started_at = time.monotonic()
                result = await self.store.submit(patch)
                elapsed_s = time.monotonic() - started_at
                self.stand_in.faults_.__init__()
                self.assertLess(elapsed_s, BOUND_S + 0.5)
                self.assertEqual(result.is_ok(), is_accepted, result)
                if not is_accepted:
                    self.assertEqual(result.error.outcome, outcome)
                    self.assertGreater(result.error.retry_after_s, 0)
                head = await self.store.read()
                self.assertEqual(head.version.number, base_number + increase)
                base_number = head.version.number

    async def test_resubmission_resolves_an_unknown_outcome(self):
        self.stand_in.faults_.set({"late_writes_s": BOUND_S + 0.5})
        patch = make_patch("late", 0)
        first = await self.store.submit(patch)
        self.assertEqual(first.error.outcome, base.Outcome.UNKNOWN)
        self.stand_in.faults_.__init__()
        await asyncio.sleep(1.0)
        again = await self.store.submit(patch)
        self.assertEqual(again.ok.number, 1)
        self.assertEqual(len(await self.store.history()), 1)

    async def test_swallowed_cancellation_does_not_extend_the_timeout(self):
        put = self.client.put

        async def swallow(*arguments):
            try:
                return await put(*arguments)
            except asyncio.CancelledError as error:
                raise base.PlatformError("timed out", "Wait", True) from error

        self.client.put = swallow
        self.client.timeout_s = LONG_BOUND_S
        self.stand_in.faults_.set({"late_writes_s": BOUND_S + 0.5})
        result = await self.store.submit(make_patch("late", 0))
        self.assertEqual(result.error.outcome, base.Outcome.UNKNOWN)

    async def test_outage_after_a_lost_answer_is_unknown(self):
        async def fail_after_write():
            await asyncio.sleep(CALL_TIMEOUT_S / 2)
            self.stand_in.faults_.set({"down": True})

        self.stand_in.faults_.set({"lose_answers": 1})
        breaker = asyncio.create_task(fail_after_write())
        result = await self.store.submit(make_patch("p", 0))
        await breaker
        self.assertEqual(result.error.outcome, base.Outcome.UNKNOWN)
        self.stand_in.faults_.__init__()
        self.assertEqual((await self.store.submit(make_patch("p", 0))).ok.number, 1)

    async def test_platform_with_an_older_version_is_not_written(self):
        await self.accept("a", 0)
        result = await self.store.submit(make_patch("b", 1), min_number=7)
        self.assertEqual(result.error.kind, base.RefusalKind.CONFLICT)
        in_force = config.ConfigVersion(7, config.ConfigDocument())
        patch = make_patch("r", 7, {})
        restored = await self.store.restore(in_force, patch)
        self.assertEqual(restored.ok.number, 8)
        again = await self.store.restore(in_force, make_patch("r2", 7, {}))
        self.assertEqual(again.error.kind, base.RefusalKind.CONFLICT)
        self.assertEqual((await self.store.history())[-1].kind, "restore")


class HistoryTest(StoreCase):
    async def test_history_is_complete_in_bounded_objects(self):
        total = 2 * config.SEGMENT_ENTRIES + 10
        for number in range(total):
            await self.accept(f"p{number}", number, {"models": {"m": {}}})
        newest = await self.store.history()
        self.assertLess(len(newest), 1 + 2 * config.SEGMENT_ENTRIES)
        oldest = await self.store.history(before=newest[0].number)
        numbers = [entry.number for entry in [*oldest, *newest]]
        self.assertEqual(numbers, list(range(1, total + 1)))
        self.assertEqual(newest[-1].operator, "ann")
        self.assertLessEqual(self.stand_in.calls_by_method_["put"], 2 * total + 2)
        await self._check_resubmissions(total)

    async def _check_resubmissions(self, total):
        """Submit patches that are older than the head; none is applied again."""
        sealed = await self.store.submit(make_patch("p3", 3))
        self.assertEqual(sealed.ok.number, 4)
        other = await self.store.submit(make_patch("other", 3))
        self.assertEqual(other.error.kind, base.RefusalKind.STALE_VERSION)
        moved = await self.store.submit(make_patch(f"p{total - 1}", total))
        self.assertEqual(moved.error.kind, base.RefusalKind.CONFLICT)
        self.assertEqual((await self.store.read()).version.number, total)

    async def test_long_patches_stay_within_the_object_limit(self):
        self.client.timeout_s = self.store.timeout_s = LONG_BOUND_S
        changes = {"models": {f"model-{i}": None for i in range(120)}}
        entry = {"patch_id": "p", "operator": "ann", "at": 0.0, "patch": changes}
        history = [entry | {"number": number} for number in range(65, 193)]
        accounts = {f"account-{i:05}": {"weight": 5} for i in range(9_000)}
        value = {"number": 192, "document": {"client_accounts": accounts}}
        value["history"] = history
        await self.client.put(config.CONFIG_OBJECT, value, 0)
        self.assertGreater(len(json.dumps(value)), 450_000)
        long = {"models": {f"model-{i}": {} for i in range(2500)}}
        await self.accept("long", 192, long)
        entries = await self.store.history()
        self.assertEqual([entries[0].number, entries[-1].number], [129, 193])
        self.assertIsNone(entries[-1].patch)
        self.assertIsNotNone(entries[0].patch)
        stored = await self.client.get(config.CONFIG_OBJECT)
        self.assertLess(len(json.dumps(stored.value)), platform.MAX_VALUE_BYTES)


class RefusalTest(StoreCase):
    async def test_refusals_name_the_invalid_key(self):
        cases = [
            ({"modles": {}}, "modles"),
            ({"models": {"m": {"repeatible": True}}}, "models.m.repeatible"),
            ({"client_accounts": {"a": {"weight": -1}}}, "client_accounts.a.weight"),
            ({"failure_domains": {"n": {"state": "off"}}}, "failure_domains.n.state"),
            ({"models": {"bad name": {}}}, "models.bad name.[key]"),
            ({"models": 3}, "models"),
        ]
        for changes, key in cases:
            with self.subTest(key):
                result = await self.store.submit(make_patch("p", 0, changes))
                self.assertEqual(result.error.kind, base.RefusalKind.BAD_REQUEST)
                self.assertEqual(result.error.setting, key)
                self.assertIn(key, result.error.message)
        many = {f"account-{i}": {"max_in_flight": 7} for i in range(14_000)}
        result = await self.store.submit(make_patch("p", 0, {"client_accounts": many}))
        self.assertEqual(result.error.kind, base.RefusalKind.TOO_LARGE)

    async def test_errors_of_bodies_name_the_invalid_key(self):
        good = {"against": 1, "changes": {}}
        cases = [
            ([], "body"),
            ({"changes": {}}, "against"),
            (good | {"against": -1}, "against"),
            (good | {"against": True}, "against"),
            (good | {"changes": []}, "changes"),
            (good | {"overide": True}, "overide"),
            (good | {"override": "yes"}, "override"),
            (good | {"patch_id": 7}, "patch_id"),
        ]
        for body, key in cases:
            with self.subTest(body), self.assertRaisesRegex(ValueError, f"^{key}:"):
                config.patch_from_json(body, "ann", "fresh")

    async def test_unknown_keys_of_a_newer_release_survive(self):
        value = {"number": 4, "history": [], "document": {"future": {"x": 1}}}
        await self.client.put(config.CONFIG_OBJECT, value, 0)
        accepted = await self.accept("p", 4)
        self.assertEqual(accepted.version.raw["future"], {"x": 1})

    async def test_malformed_object_is_not_written(self):
        bad = [
            {"number": 4, "document": {"models": 7}, "history": []},
            {"number": "4", "document": {}, "history": []},
            {"document": {}},
            {"number": 4, "document": {}, "history": [3]},
            [],
        ]
        for value in bad:
            with self.subTest(value):
                stored = await self.client.get(config.CONFIG_OBJECT)
                version = stored.version if stored else 0
                await self.client.put(config.CONFIG_OBJECT, value, version)
                result = await self.store.submit(make_patch("p", 4))
                self.assertEqual(result.error.kind, base.RefusalKind.CONFLICT)
                self.assertIn("malformed", result.error.message)


class HarmTest(StoreCase):
    facts = config.HarmFacts(
        endpoints=(
            config.EndpointFact("e1", "north", frozenset(["desk"])),
            config.EndpointFact("e2", "south", frozenset(["desk", "orders"])),
        ),
        peak_by_account={"ann": 12},
    )
    first = {
        "failure_domains": {"north": {}, "south": {}},
        "models": {"desk": {}},
        "services": {"orders": {}},
        "client_accounts": {"ann": {"max_in_flight": 40}},
    }

    async def test_harm_is_refused_and_override_is_recorded(self):
        both = {"north": {"state": "out"}, "south": {"state": "out"}}
        cases = [
            ({"failure_domains": both}, "last_failure_domain", "failure_domains."),
            (
                {"failure_domains": {"south": {"state": "out"}}},
                "no_endpoint_left",
                "failure_domains.south.state",
            ),
            (
                {"endpoints": {"e2": {"drain": True}}},
                "no_endpoint_left",
                "endpoints.e2.drain",
            ),
            (
                {"client_accounts": {"ann": {"max_in_flight": 11}}},
                "cap_under_use",
                "client_accounts.ann.max_in_flight",
            ),
        ]
        number = (await self.accept("first", 0, self.first)).number
        for changes, check, setting in cases:
            with self.subTest(check=check, setting=setting):
                patch = make_patch(f"p{number}", number, changes)
                refused = await self.store.submit(patch, self.facts)
                self.assertEqual(refused.error.kind, base.RefusalKind.HARMFUL_CHANGE)
                self.assertTrue(refused.error.setting.startswith(setting))
                forced = make_patch(f"p{number}", number, changes, override=True)
                accepted = await self.store.submit(forced, self.facts)
                entry = (await self.store.history())[-1]
                self.assertTrue(any(o.startswith(check) for o in entry.overridden))
                undo = make_patch("u", accepted.ok.number, self.first, True)
                undo = config.Patch(f"u{number}", undo.against, self._undo(), "ann")
                number = (await self.store.submit(undo, self.facts)).ok.number

    def _undo(self):
        domains = {"north": {"state": "in"}, "south": {"state": "in"}}
        account = {"ann": {"max_in_flight": 40}}
        return {
            "failure_domains": domains,
            "endpoints": {"e2": None},
            "client_accounts": account,
        }

    async def test_harmless_changes_are_accepted(self):
        cases = [
            {"failure_domains": {"north": {"state": "out"}}},
            {"endpoints": {"e1": {"drain": True}}},
            {"client_accounts": {"ann": {"max_in_flight": 12}}},
        ]
        for changes in cases:
            with self.subTest(changes):
                current = (await self.store.read()).version.number
                if current == 0:
                    current = (await self.accept("first", 0, self.first)).number
                patch = make_patch(f"p{current}", current, changes)
                result = await self.store.submit(patch, self.facts)
                self.assertTrue(result.is_ok(), result)
