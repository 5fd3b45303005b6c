"""A spoilt part of a JSON document does not spoil the others."""

import json
import random
import sys
import unittest

from tests import support

sys.path.insert(0, str(support.ROOT / "platform"))

from sequoiagap_site import documents  # noqa: E402 - found by the path above

DEPTHS = (98, 99, 100, 101, 5000, 100_000)


def nested(depth, opening, closing):
    """Return a deeply nested value."""
    return opening * depth + closing * depth


class ParseTest(unittest.TestCase):
    def test_deeply_nested_value_spoils_no_other(self):
        for depth in DEPTHS:
            for value in (
                nested(depth, "[", "]"),
                nested(depth, '{"a":', "}").replace(":}", ":1}"),
                nested(depth, '[{"]}": [', "]}]"),
                nested(depth, "[0, ", ", 1]").replace("[0, , ", "[0, "),
            ):
                with self.subTest(depth=depth, value=value[:12]):
                    text = f'{{"Items": [{value}, {{"b": "]}}"}}], "c": [[2]]}}'
                    document = documents.parse(text.encode())
                    self.assertEqual(document["Items"][1], {"b": "]}"})
                    self.assertEqual(document["c"], [[2]])

    def test_large_numbers_and_unreadable_bytes_spoil_no_other(self):
        for value in (b"9" * 5000, b"-" + b"9" * 5000, b"1e999", b'"\xff\xfe"'):
            with self.subTest(value[:6]):
                document = documents.parse(b'{"a": ' + value + b', "b": 7}')
                self.assertEqual(document["b"], 7)

    def test_control_characters_spoil_no_other(self):
        # Guards against one entry that hides all others of its list.
        for code in range(0x20):
            with self.subTest(code):
                text = b'{"a": "x' + bytes([code]) + b'y", "b": 7}'
                document = documents.parse(text)
                self.assertEqual(document, {"a": f"x{chr(code)}y", "b": 7})

    def test_valid_documents_are_unchanged(self):
        random_state = random.Random(1)

        def draw(depth):
            kind = random_state.randrange(6 if depth < 5 else 4)
            if kind == 4:
                return [draw(depth + 1) for _ in range(random_state.randrange(4))]
            if kind == 5:
                return {str(n): draw(depth + 1) for n in range(3)}
            return (True, None, random_state.random(), '"[{\\')[kind]

        for _ in range(200):
            value = draw(0)
            self.assertEqual(documents.parse(json.dumps(value).encode()), value)
            deep = f"[{json.dumps(value)}, {nested(3000, '[', ']')}]"
            self.assertEqual(documents.parse(deep.encode())[0], value)

    def test_what_is_not_json_is_a_value_error(self):
        for text in (b"", b"{", b"[" * 100_000, b"]" * 100_000, b'{"a": [' * 50_000):
            with self.subTest(text[:8]), self.assertRaises(ValueError):
                documents.parse(text)
