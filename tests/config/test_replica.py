"""Replica, versions, interning and watch schedule of the configuration, without I/O."""

import json
import unittest

from sequoiagap import config
from tests import support


def replica_at(number, models=("a",)):
    """Return a replica with a version in force; 0 for none."""
    replica = config.ConfigReplica(config.ConfigHolder())
    document = config.ConfigDocument(models={name: {} for name in models})
    if number:
        replica.holder.adopt(config.ConfigVersion(number, document), "test")
    return replica


class ReplicaTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.log = support.silence_logs()

    def test_offers(self):
        digest = replica_at(4).holder.current_.digest
        cases = [
            (config.ConfigOffer(5, "x"), config.ConfigPull(4)),
            (config.ConfigOffer(3, "x"), config.ConfigOffer(4, digest)),
            (config.ConfigOffer(4, digest), None),
            (config.ConfigOffer(4, "other"), None),
        ]
        for offer, answer in cases:
            with self.subTest(offer):
                self.assertEqual(replica_at(4).on_offer(offer), answer)
        self.assertEqual(self.log.getvalue().count('"config_forked"'), 1)

    def test_pulls_are_answered_with_held_patches(self):
        replica = replica_at(4, [f"model-{i}" for i in range(50)])
        patch = {"models": {"b": {}}}
        version = replica.holder.current_.apply([patch])
        replica.holder.adopt(version, "test", [config.Step(5, patch)])
        delta = replica.on_pull(config.ConfigPull(4))
        self.assertEqual(delta.patches, [json.dumps(patch)])
        for pull in (config.ConfigPull(3), config.ConfigPull(4, whole=True)):
            self.assertIsInstance(replica.on_pull(pull), config.ConfigBody)
        self.assertIsNone(replica.on_pull(config.ConfigPull(5)))

    def test_patches_that_do_not_apply_are_not_adopted(self):
        good = json.dumps({"models": {"b": {}}})
        digest = replica_at(4).holder.current_.apply([json.loads(good)]).digest
        cases = [
            # delta, version afterwards, reply
            (config.ConfigDelta(4, [good], digest), 5, None),
            (config.ConfigDelta(3, [good, good], digest), 5, None),
            (config.ConfigDelta(4, [good], "x"), 4, config.ConfigPull(4, True)),
            (config.ConfigDelta(6, [good], digest), 4, config.ConfigPull(4)),
            (config.ConfigDelta(3, [good], digest), 4, None),
            (config.ConfigDelta(4, ["{"], digest), 4, None),
            (config.ConfigDelta(4, ["3"], digest), 4, None),
            (config.ConfigDelta(4, ['{"models": 3}'], digest), 4, None),
        ]
        for delta, number, answer in cases:
            with self.subTest(delta):
                replica = replica_at(4)
                self.assertEqual(replica.on_delta(delta, "peer"), answer)
                self.assertEqual(replica.holder.current_.number, number)

    def test_malformed_documents_are_logged_and_rejected(self):
        for text in ("{", "3", '{"models": 3}', "[]"):
            with self.subTest(text):
                replica = replica_at(4)
                replica.on_body(config.ConfigBody(5, text), "peer")
                replica.on_body(config.ConfigBody(5, text), "peer")
                self.assertEqual(replica.holder.current_.number, 4)
        self.assertEqual(self.log.getvalue().count('"config_malformed"'), 4)

    def test_local_orders_are_superseded_by_higher_versions(self):
        cases = [(3, ""), (4, "local.north"), (5, "local.north")]
        for against, setting in cases:
            with self.subTest(against):
                replica = replica_at(4)
                order = config.LocalOrder("north", against, "o", "ann", 0.0)
                replica.on_local(config.local_message(order), "peer")
                found = replica.holder.blocking_setting("north", "e1")
                self.assertEqual(found, setting)
                self.assertEqual(replica.holder.blocking_setting("south", "e"), "")
                replica.holder.adopt(config.ConfigVersion(against + 1), "test")
                self.assertEqual(replica.holder.blocking_setting("north", "e1"), "")


class VersionTest(unittest.TestCase):
    def test_incremental_patches_equal_complete_documents(self):
        first = config.ConfigVersion.from_json(
            1, '{"models": {"a": {}, "b": {"repeatable": false}}, "newer": {"x": 1}}'
        )
        first = first.apply([{"failure_domains": {"n": {"state": "out"}}}])
        cases = [
            {"models": {"a": None}},
            {"models": {"a": None, "b": None}},
            {"models": {"b": {"repeatable": True}}},
            {"models": {"b": {"repeatable": None}, "c": {"extra": 3}}},
            {"failure_domains": {"n": {"state": "in"}, "s": {}}, "models": {}},
            {"models": None},
            {"routing": {"policy": "x"}},
            {"newer": {"x": None}},
            {},
        ]
        for patch in cases:
            with self.subTest(patch):
                raw = config.merge_patch(first.raw, patch)
                whole = config.ConfigVersion.from_json(3, json.dumps(raw))
                applied = first.apply([patch])
                self.assertEqual(applied.document, whole.document)
                self.assertEqual(applied.to_json(), whole.to_json())
                self.assertEqual(applied.digest, whole.digest)
                self.assertEqual(applied.number, 3)
        for patch in ({"models": {"a": 3}}, {"models": {"bad name": {}}}, 3):
            with self.subTest(patch), self.assertRaises(ValueError):
                first.apply([patch])


class InterningTest(unittest.TestCase):
    def test_equal_items_are_interned_and_patched_independently(self):
        accounts = {f"a{i}": {"weight": 2 + i % 3} for i in range(30)}
        accounts["newer"] = {"weight": 2, "extra": 1}
        text = json.dumps({"client_accounts": accounts})
        version = config.ConfigVersion.from_json(1, text)
        held = version.document.client_accounts
        self.assertEqual(len({id(item) for item in held.values()}), 4)
        raw = version.raw["client_accounts"]
        self.assertEqual(len({id(item) for item in raw.values()}), 4)
        changed = version.apply([{"client_accounts": {"a0": {"weight": 9}}}])
        expected = accounts | {"a0": {"weight": 9}}
        self.assertEqual(changed.raw["client_accounts"], expected)
        self.assertEqual(version.raw["client_accounts"], accounts)
        self.assertEqual(held["a3"].weight, 2)
        self.assertEqual(held["newer"].model_extra, {"extra": 1})

    def test_values_of_different_types_are_distinct(self):
        newer = {"a": {"future": 1}, "b": {"future": True}, "c": {"future": [1]}}
        text = json.dumps({"models": newer})
        version = config.ConfigVersion.from_json(1, text)
        self.assertEqual(json.loads(version.to_json())["models"], newer)
        self.assertIs(version.raw["models"]["b"]["future"], True)


class WatchScheduleTest(unittest.TestCase):
    def test_other_entries_take_over_from_permanent_watchers(self):
        for rank in range(9):
            with self.subTest(rank=rank):
                duty = config.WatchSchedule(now=0.0)
                is_watcher = rank < config.PERMANENT_WATCHERS
                self.assertEqual(duty.delay_s(rank, 1.0) == 0.0, is_watcher)
                self.assertEqual(duty.delay_s(rank, 3.0), 0.0)
                duty.record_peer_age(age_s=0.5, now=3.0)
                self.assertEqual(duty.delay_s(rank, 3.0) == 0.0, is_watcher)

    def test_calls_are_limited_during_an_outage(self):
        calls = 0
        for rank in range(73):
            duty = config.WatchSchedule(now=0.0)
            now = 10.0
            while now < 70.0:
                wait_s = duty.delay_s(rank, now)
                if wait_s == 0.0:
                    calls += 1
                    duty.record_failure(now)
                now += max(wait_s, 0.1)
        self.assertLess(calls / 60.0, 12.0)
