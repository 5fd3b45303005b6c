"""Reading and writing of the platform's HTTP headers."""

import contextlib
import email.utils
import math
import sys
import time
import unittest
from unittest import mock

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

    def test_rate_limit_with_many_decimals(self):
        # Guards against a limit that is dropped for its number of decimals.
        table = {"1.6666666666666667": 5 / 3, "0." + "3" * 400: 1 / 3}
        table |= {"000000000001." + "0" * 30: 1.0, "2." + "5" * 10_240: 23 / 9}
        for text, expected in table.items():
            with self.subTest(text[:20]):
                self.assertAlmostEqual(self.read_limit(text), expected)

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

    def read_answer(self, status, *pairs):
        """Return the head of an answer with some headers."""
        return self.dialect.read_answer(status, multidict.CIMultiDict(pairs))

    def test_leaving(self):
        for status in (200, 404, 500, 503, 421):
            head = self.read_answer(status, ("server-leaving", "1"))
            self.assertTrue(head.is_leaving)
            self.assertEqual(head.leaving_endpoint, "")
        self.assertFalse(self.read_answer(200).is_leaving)
        twice = [("Server-Leaving", "1"), ("Server-Leaving", " 1 ")]
        self.assertTrue(self.read_answer(200, *twice).is_leaving)

    def test_misdirected_answer_names_the_one_that_leaves(self):
        pairs = [("Server-Leaving", "1"), ("At-Server", "i-2")]
        self.assertEqual(self.read_answer(421, *pairs).leaving_endpoint, "i-2")
        self.assertEqual(self.read_answer(503, *pairs).leaving_endpoint, "")

    def test_invalid_leaving_is_logged_and_ignored(self):
        for values in (("0",), ("true",), ("",), ("1" * 10_240,), ("1", "0")):
            with self.subTest(values[0][:9]), self.assert_logs_invalid():
                pairs = [("Server-Leaving", value) for value in values]
                self.assertFalse(self.read_answer(200, *pairs).is_leaving)

    def test_pause(self):
        table = {
            "0": 0.0,
            "2": 2.0,
            "1.5": 1.5,
            "3600": 3600.0,
            "0." + "3" * 30: 1 / 3,
            "9" * 400: headers.MAX_PAUSE_S,
        }
        for text, expected in table.items():
            with self.subTest(text[:9]):
                head = self.read_answer(503, ("Retry-After", text))
                self.assertAlmostEqual(head.pause_s, expected)
                self.assertEqual(
                    self.read_answer(429, ("Retry-After", text)).pause_s, 0
                )
        self.assertEqual(self.read_answer(503).pause_s, 0.0)

    def test_pause_until_a_date(self):
        date, until = (f"Sun, 06 Dec 2026 10:00:{second:02} GMT" for second in (0, 7))
        head = self.read_answer(503, ("Date", date), ("Retry-After", until))
        self.assertEqual(head.pause_s, 7.0)
        head = self.read_answer(503, ("Date", until), ("Retry-After", date))
        self.assertEqual(head.pause_s, 0.0)
        soon = email.utils.formatdate(time.time() + 30.0, usegmt=True)
        head = self.read_answer(503, ("Retry-After", soon))
        self.assertAlmostEqual(head.pause_s, 30.0, delta=2.0)

    def test_invalid_pause_is_logged_and_ignored(self):
        for text in ("-1", "nan", "inf", "1e309", "1e3", "", "soon", "1_0", "\u0663"):
            with self.subTest(text), self.assert_logs_invalid():
                head = self.read_answer(503, ("Retry-After", text))
                self.assertEqual(head.pause_s, 0.0)
        for text in ("x" * 10_240, "Sun, 99 Foo 2026 10:00:00 GMT"):
            with self.subTest(text[:9]), self.assert_logs_invalid():
                head = self.read_answer(503, ("Retry-After", text))
                self.assertEqual(head.pause_s, 0.0)

    def test_longest_valid_pause_holds(self):
        pairs = [("Retry-After", value) for value in ("1", "3", "2")]
        self.assertEqual(self.read_answer(503, *pairs).pause_s, 3.0)
        with self.assert_logs_invalid():
            pairs.append(("Retry-After", "nan"))
            self.assertEqual(self.read_answer(503, *pairs).pause_s, 3.0)

    @contextlib.contextmanager
    def assert_logs_invalid(self):
        """Assert that an invalid header is logged."""
        with mock.patch.object(headers, "_log") as log:
            yield
        events = [call.args[0] for call in log.emit.call_args_list]
        self.assertIn(base.Event.ANSWER_HEADER_INVALID, events)
