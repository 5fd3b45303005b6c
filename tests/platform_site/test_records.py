"""Decoding of stored objects; invalid objects do not affect valid ones."""

import json
import random
import sys
import unittest

from sequoiagap import routes
from tests import support

sys.path.insert(0, str(support.ROOT / "platform"))

from sequoiagap_site import records  # noqa: E402 - found by the path above

ROUTE = {
    "Name": "r1",
    "Host": "h.example",
    "PathPrefix": "/a/",
    "Kind": "stream",
    "TimeoutMs": 8000,
    "TargetLatencyMs": 400,
    "Priority": 1,
    "TrafficSplit": [{"Service": "s1", "Weight": 90}, {"Service": "s2", "Weight": 10}],
    "MaxAttempts": 2,
    "Public": False,
    "Sticky": True,
    "Resumable": True,
    "TargetGapMs": 120,
    "NewField": {"x": 1},
}
SERVER = {
    "Service": "s1",
    "Address": "10.0.0.9:8080",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "ColdRemainingMs": 1500,
    "Sequence": 4,
}


def config(**spec):
    """Return a stored configuration."""
    document = {"Version": 7, "Routes": [ROUTE], "Services": [{"Name": "s1"}]} | spec
    stored = {"Metadata": {"Name": "main", "Revision": 41}, "Spec": document}
    return json.dumps(stored).encode()


def page(*items, revision=9):
    """Return a page of a list of servers."""
    return json.dumps({"Items": items, "HasMore": False, "AsOf": revision}).encode()


def item(name, **fields):
    """Return the record of a server, with changed fields."""
    return {"Metadata": {"Name": name}, "Spec": SERVER | fields}


def setUpModule():
    """Capture the log once; loggers cache the first stream that they use."""
    global LOG
    LOG = support.silence_logs()


class ConfigTest(unittest.TestCase):
    def test_route(self):
        snapshot = records.decode_config(config())
        self.assertEqual((snapshot.revision, snapshot.value.version), (41, 7))
        route = snapshot.value.find_route("h.example:80", "/a/b?c")
        self.assertEqual(route.kind, routes.RequestKind.STREAM)
        self.assertEqual((route.timeout_s, route.target_gap_s), (8.0, 0.12))
        self.assertEqual(route.patience_s, 2.0)
        self.assertEqual([t.service for t in route.targets], ["s1", "s2"])
        self.assertTrue(route.is_idempotent)

    def test_no_key_is_needed_without_accounts(self):
        self.assertFalse(records.decode_config(config()).value.needs_keys)
        table = records.decode_config(config(Tenants=[])).value
        self.assertTrue(table.needs_keys)

    def test_account(self):
        account = {"Name": "t", "ApiKeys": ["k1", "k2"], "Priority": 0}
        table = records.decode_config(config(Tenants=[account])).value
        self.assertEqual(table.find_account("k2").name, "t")
        self.assertIsNone(table.find_account("k3"))

    def test_invalid_routes_do_not_affect_valid_ones(self):
        invalid = [
            ROUTE | {"Kind": "often"},
            ROUTE | {"Host": 5},
            ROUTE | {"TrafficSplit": None, "Service": None},
            ROUTE | {"PathPrefix": "b"},
            "no object",
        ]
        for each in invalid:
            with self.subTest(each):
                table = records.decode_config(config(Routes=[each, ROUTE])).value
                self.assertEqual(len(table.routes), 1)
        self.assertIn("config_malformed", LOG.getvalue())

    def test_object_without_a_configuration_is_an_error(self):
        for content in (b"[]", b"{}", b"nonsense", config(Version="7")):
            with self.subTest(content), self.assertRaises(ValueError):
                records.decode_config(content)

    def test_missing_object_has_no_configuration(self):
        self.assertIsNone(records.decode_config(b"").value)


class EndpointsTest(unittest.TestCase):
    def test_server(self):
        snapshot = records.decode_endpoints([page(item("i1")), page(item("i2"))])
        self.assertEqual((snapshot.revision, set(snapshot.value)), (9, {"i1", "i2"}))
        endpoint = snapshot.value["i1"]
        self.assertEqual((endpoint.address, endpoint.port), ("10.0.0.9", 8080))
        self.assertEqual(endpoint.cold_remaining_s, 1.5)

    def test_invalid_records_are_ignored(self):
        invalid = [
            item("x", State="asleep"),
            item("x", Address="nowhere"),
            item("x", Service=None),
            item("x", Slots="6"),
            {"Metadata": {"Name": "x"}, "Spec": "text"},
            {"Metadata": {}, "Spec": SERVER},
            {"Spec": SERVER},
            "text",
            None,
        ]
        found = records.decode_endpoints([page(*invalid, item("i1"))]).value
        self.assertEqual(set(found), {"i1"})
        self.assertIn("endpoint_record_bad", LOG.getvalue())

    def test_odd_entry_of_another_writer_spoils_no_other(self):
        deep = "[" * 100_000 + "]" * 100_000
        table = {
            "nested entry": deep,
            "nested field": json.dumps(item("x", Slots=0)).replace(": 0", f": {deep}"),
            "endless integer": json.dumps(item("x")).replace("1500", "9" * 5000),
            "infinite": json.dumps(item("x")).replace("1500", "1e999"),
            "large slots": json.dumps(item("x", Slots=10**400)),
            "port 0": json.dumps(item("x", Address="10.0.0.9:0")),
            "port out of range": json.dumps(item("x", Address="10.0.0.9:65536")),
            "long port": json.dumps(item("x", Address="10.0.0.9:" + "9" * 5000)),
            "no address": json.dumps(item("x", Address="10.0.0.999:80")),
            "negative start": json.dumps(item("x", born=-1)),
            "late start": json.dumps(item("x", born=10**30)),
            "control character": json.dumps(item("x", Service="S?")).replace(
                "?", "\x01"
            ),
            "control character in the name": json.dumps(item("x?")).replace(
                "?", "\x00"
            ),
            "control character in the zone": json.dumps(item("x", Zone="?")).replace(
                '"?"', '"\x1f"'
            ),
            "lone surrogate": json.dumps(item("x", Service="\ud800")),
            "line break in the name": json.dumps(item("x\r\ny")),
        }
        for name, odd in table.items():
            with self.subTest(name):
                sound = json.dumps(item("i1"))
                content = f'{{"Items": [{sound}, {odd}, {sound}], "AsOf": 9}}'
                found = records.decode_endpoints([content.encode()])
                self.assertEqual((set(found.value), found.revision), ({"i1"}, 9))

    def test_any_bytes_in_a_string_of_one_entry_spoil_no_other(self):
        random_state = random.Random(1)
        sound = [item("i1"), item("i2", Address="10.0.0.8:80")]
        expected = records.decode_endpoints([page(*sound)]).value
        for _ in range(300):
            field = random_state.choice(("Service", "Zone", "State", "Address"))
            odd = random_state.randbytes(random_state.randrange(1, 40))
            odd = odd.replace(b'"', b"").replace(b"\\", b"")
            content = page(sound[0], item("x", **{field: "MARK"}), sound[1])
            content = content.replace(b"MARK", odd)
            with self.subTest(field, odd=odd):
                found = records.decode_endpoints([content]).value
                found.pop("x", None)
                self.assertEqual(found, expected)

    def test_odd_start_beside_an_entry_is_not_used(self):
        for born in (-1, 10**30, "soon"):
            with self.subTest(born):
                found = records.decode_endpoints([page(item("i1") | {"born": born})])
                self.assertEqual(found.value["i1"].started_ms, 0)

    def test_domains_out_of_service(self):
        items = [{"Metadata": {"Name": "z1"}, "Spec": {}}, "text"]
        self.assertEqual(records.decode_domains([page(*items)]).value, {"z1"})

    def test_nodes(self):
        node = {"node_id": "n", "role": "gateway", "address": "10.0.0.1", "port": 7}
        items = [
            {"Metadata": {"Name": "n"}, "Spec": node},
            {"Metadata": {"Name": "bad"}, "Spec": {"x": 1}},
            {"Metadata": {"Name": "worse"}, "Spec": None},
        ]
        self.assertEqual(set(records.decode_nodes([page(*items)])), {"n"})

    def test_crashes(self):
        spec = {"at_s": 12.5, "prompts": [["a", "b"], ["c"]]}
        items = [
            {"Metadata": {"Name": "e1.5"}, "Spec": spec},
            {"Metadata": {"Name": "bad"}, "Spec": {"at_s": "soon"}},
            {"Metadata": {"Name": "worse"}, "Spec": None},
        ]
        (found,) = records.decode_crashes([page(*items)])
        self.assertEqual((found.crash_id, found.at_s), ("e1.5", 12.5))
        self.assertEqual(found.prompts, (("a", "b"), ("c",)))
