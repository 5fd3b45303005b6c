"""Reading and writing of the platform's HTTP headers."""

import math
import sys
import unittest

import multidict

from sequoiagap import base, gateway
from tests import support

sys.path.insert(0, str(support.ROOT / "platform"))

from sequoiagap_site import headers  # noqa: E402 - found by the path above


class HeadersTest(unittest.TestCase):
    def setUp(self):
        self.dialect = headers.PlatformDialect()

    def test_request(self):
        head = self.dialect.read_request(
            multidict.CIMultiDict(
                {
                    "request-id": "r1",
                    "Deadline-Ms": "1013",
                    "Authorization": "Token k1",
                    "Token-Counts": "1460,80",
                    "Last-Event-Id": "12",
                }
            )
        )
        self.assertEqual(
            (head.request_id, head.deadline_s, head.key), ("r1", 1.013, "k1")
        )
        self.assertEqual((head.prompt_tokens, head.answer_tokens), (1460, 80))
        self.assertEqual(head.last_event_id, 12)

    def test_prompt_parts(self):
        table = {
            "5C1e:800,91bd:410,e4:250": ("5c1e", "91bd", "e4"),
            "5c1e:800": ("5c1e",),
            "": (),
        }
        for text, expected in table.items():
            with self.subTest(text):
                head = self.dialect.read_request({"Prompt-Prefix": text})
                self.assertEqual(head.prompt_parts, expected)
        self.assertEqual(self.dialect.read_request({}).prompt_parts, ())

    def test_event_ids_are_exact_at_any_length(self):
        # Guards against events lost or repeated as a caller's id was rounded.
        for text in ("0", "9007199254740993", "1790000000000000149", "9" * 40):
            with self.subTest(text):
                head = self.dialect.read_request({"Last-Event-Id": text})
                self.assertEqual(head.last_event_id, int(text))
                forward_head = gateway.ForwardHead(
                    "i1", 0.75, resume_after=head.last_event_id
                )
                written = self.dialect.write_request(
                    multidict.CIMultiDict(), forward_head
                )
                self.assertEqual(written["Last-Event-Id"], text)

    def test_error_names_the_invalid_event_id(self):
        for text in ("12.5", "1e3", "-1", "nan", "1_0", "\u0663", "", "9" * 5000):
            with (
                self.subTest(text[:9]),
                self.assertRaisesRegex(ValueError, "Last-Event-Id"),
            ):
                self.dialect.read_request({"Last-Event-Id": text})

    def test_error_names_the_invalid_deadline(self):
        for value in ("soon", "-5", "inf", ""):
            with self.subTest(value), self.assertRaisesRegex(ValueError, "Deadline-Ms"):
                self.dialect.read_request({"Deadline-Ms": value})

    def test_other_schemes_yield_no_key(self):
        for value in ("Bearer k", "k", "Token", ""):
            self.assertEqual(
                self.dialect.read_request({"Authorization": value}).key, ""
            )

    def test_headers_set_by_the_system_are_not_taken_from_the_caller(self):
        sent = multidict.CIMultiDict(
            [
                ("Tenant", "other"),
                ("tenant", "third"),
                ("Expect-Instance", "i9"),
                ("Authorization", "Token k1"),
                ("Deadline-Ms", "99999"),
                ("Request-Priority", "0"),
                ("X-Kept", "yes"),
            ]
        )
        forward_head = gateway.ForwardHead("i1", 0.75, "t1", resume_after=4)
        written = self.dialect.write_request(sent, forward_head)
        self.assertEqual(written.getall("Tenant"), ["t1"])
        self.assertEqual(written["Expect-Instance"], "i1")
        self.assertEqual(written["Deadline-Ms"], "750")
        self.assertEqual(written["Last-Event-Id"], "4")
        self.assertNotIn("Authorization", written)
        self.assertNotIn("Request-Priority", written)
        self.assertEqual(written["X-Kept"], "yes")

    def test_account_header_is_removed_without_an_account(self):
        written = self.dialect.write_request(
            multidict.CIMultiDict({"Tenant": "x"}), gateway.ForwardHead("i1", 1.0)
        )
        self.assertNotIn("Tenant", written)

    def test_answer(self):
        def read(status, headers):
            return self.dialect.read_answer(status, multidict.CIMultiDict(headers))

        self.assertTrue(read(421, {}).is_not_run)
        self.assertTrue(read(503, {"Not-Executed": "1"}).is_not_run)
        self.assertFalse(read(503, {}).is_not_run)
        self.assertTrue(read(200, {"Server-Seal": "x"}).is_sealed)
        load = read(200, {"Server-Load": "3,1,8"}).load
        self.assertEqual((load.running, load.waiting, load.slots), (3, 1, 8))
        self.assertIsNone(read(200, {"Server-Load": "many"}).load)

    def read_limit(self, *values):
        """Return the rate limit that an answer with these header values states."""
        headers = multidict.CIMultiDict(("Server-Limit", value) for value in values)
        return self.dialect.read_answer(200, headers).max_requests_s

    def test_rate_limit(self):
        self.assertEqual(self.read_limit("1.25"), 1.25)
        self.assertEqual(self.read_limit(" 40 "), 40.0)
        self.assertEqual(self.read_limit(), math.inf)

    def test_invalid_rate_limit_is_ignored(self):
        odd = (
            "0",
            "0.0",
            "-1",
            "nan",
            "inf",
            "1e309",
            "1e3",
            "",
            "1,2",
            "1_0",
            "9" * 10_240,
        )
        for value in odd:
            with self.subTest(value[:20]):
                self.assertEqual(self.read_limit(value), 0.0)
        self.assertEqual(self.read_limit("1.0", "1.0"), 0.0)

    def test_refusal(self):
        refusal = base.Refusal(
            base.RefusalKind.OVERLOADED, "full", "wait", retry_after_s=0.25
        )
        written = self.dialect.write_refusal("r1", refusal)
        self.assertEqual(written, {"Request-Id": "r1", "Retry-After": "0.250"})
