"""Encoding of messages: round trip, version compatibility, malformed payloads."""

import unittest

import msgpack

from sequoiagap import base, wire


class CodecTest(unittest.TestCase):
    def test_round_trip(self):
        chunk = wire.Chunk("att-1", 3, b"bytes")
        self.assertEqual(wire.decode(wire.encode(chunk)), chunk)

    def test_newer_fields_are_ignored_and_missing_ones_take_defaults(self):
        newer = msgpack.packb([2, 5, 7, "a later field"])
        self.assertEqual(wire.decode(newer), wire.Ping(5, 7))
        older = msgpack.packb([2, 5])
        self.assertEqual(wire.decode(older), wire.Ping(5, 0))

    def test_malformed_payloads(self):
        cases = {
            "not msgpack": b"\xc1",
            "not a list": msgpack.packb({"a": 1}),
            "unknown number": msgpack.packb([64999]),
            "wrong type": msgpack.packb([12, "att", "zero", b""]),
            "missing field": msgpack.packb([12, "att"]),
            "empty": b"",
        }
        for name, payload in cases.items():
            with self.subTest(name), self.assertRaises(base.WireError):
                wire.decode(payload)
