"""The test runner tolerates the failures that KNOWN-RED.txt lists, and no others."""

import pathlib
import shutil
import subprocess
import sys
import tempfile
import unittest

from tests import support

SAMPLE = '''"""Sample."""
import unittest


class SampleTest(unittest.TestCase):
    def test_good(self):
        pass

    def test_bad(self):
        self.fail("red")

    def test_bad_part(self):
        with self.subTest("part"):
            self.fail("red")

    @unittest.expectedFailure
    def test_unexpected_success(self):
        pass
'''
PREFIX = "tests.test_sample.SampleTest."
BAD = ("test_bad", "test_bad_part", "test_unexpected_success")


class RunTestsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        for name in ("tests", "tools"):
            (self.root / name).mkdir()
        (self.root / "tests/__init__.py").touch()
        (self.root / "tests/test_sample.py").write_text(SAMPLE)
        shutil.copy(support.ROOT / "tools/run_tests.py", self.root / "tools")

    def run_tests(self, listed, *patterns):
        """Run the test runner; return exit code and output lines.

        :param listed: names of the tests that KNOWN-RED.txt lists.
        :param str patterns: module patterns passed to the runner.
        """
        lines = [f"{PREFIX}{name} | command | seen | issue" for name in listed]
        text = "# comment\n" + "\n".join(lines) + "\n"
        (self.root / "KNOWN-RED.txt").write_text(text)
        command = [sys.executable, str(self.root / "tools/run_tests.py"), *patterns]
        completed = subprocess.run(command, capture_output=True, text=True)
        return completed.returncode, completed.stdout.splitlines()

    def test_unlisted_failure_fails(self):
        for unlisted in BAD:
            with self.subTest(unlisted):
                listed = [name for name in BAD if name != unlisted]
                code, lines = self.run_tests(listed)
                self.assertEqual(code, 1)
                self.assertEqual(lines[-1], "1 passed, 1 failed, 0 skipped")
                failed = [x for x in lines if x.startswith("FAILED: ")]
                self.assertTrue(failed[0].startswith(f"FAILED: {PREFIX}{unlisted}"))

    def test_listed_failures_pass_and_are_printed(self):
        code, lines = self.run_tests(BAD)
        self.assertEqual(code, 0)
        self.assertEqual(lines[-1], "1 passed, 0 failed, 0 skipped")
        known = [line for line in lines if line.startswith("known red: ")]
        self.assertEqual(len(known), len(BAD))

    def test_one_subtest_may_be_listed_and_others_of_its_test_may_not_fail(self):
        others = [name for name in BAD if name != "test_bad_part"]
        code, lines = self.run_tests([*others, "test_bad_part [part]"])
        self.assertEqual((code, lines[-1]), (0, "1 passed, 0 failed, 0 skipped"))
        self.assertFalse([line for line in lines if line.startswith("stale")])
        code, lines = self.run_tests([*others, "test_bad_part [another]"])
        self.assertEqual((code, lines[-1]), (1, "1 passed, 1 failed, 0 skipped"))

    def test_stale_entries_are_reported(self):
        code, lines = self.run_tests([*BAD, "test_good", "test_gone"])
        self.assertEqual(code, 0)
        stale = [line for line in lines if line.startswith("stale")]
        names = [line.rpartition(".")[2] for line in stale]
        self.assertEqual(names, ["test_gone", "test_good"])

    def test_part_of_the_modules_reports_only_what_ran(self):
        _, lines = self.run_tests([*BAD, "test_good", "test_gone"], "sample")
        stale = [line for line in lines if line.startswith("stale")]
        self.assertEqual(len(stale), 1)

    def test_no_test_at_all_fails(self):
        code, lines = self.run_tests([], "nothing")
        self.assertEqual((code, lines[-1]), (1, "0 passed, 0 failed, 0 skipped"))
