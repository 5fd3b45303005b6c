"""Run every test module in its own process and honour KNOWN-RED.txt.

Usage: ``python tools/run_tests.py [--jobs N] [PATTERN ...]``. A pattern selects
the modules whose dotted name contains it. The exit code is 0 when the only
failures are the ones that KNOWN-RED.txt lists; an entry there whose test passes
or is gone is printed as stale.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MODULE_TIMEOUT_S = 240
DEFAULT_JOBS = 4
RESULT_MARKER = "RESULT "


@dataclasses.dataclass
class ModuleResult:
    """Outcome of one test module."""

    module: str
    passed: list[str] = dataclasses.field(default_factory=list)
    failed: list[str] = dataclasses.field(default_factory=list)
    skipped: list[str] = dataclasses.field(default_factory=list)
    output: str = ""


class _RecordingResult(unittest.TextTestResult):
    """Text result that also remembers which tests passed."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.passed_ids = []

    def addSuccess(self, test):  # noqa: N802 - name set by unittest
        super().addSuccess(test)
        self.passed_ids.append(test.id())


def discover_modules(patterns):
    """Return the dotted names of the test modules, sorted.

    :param list[str] patterns: substrings to select by; empty selects all.
    :rtype: list[str]
    """
    files = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [".".join(f.relative_to(ROOT).with_suffix("").parts) for f in files]
    return [n for n in names if not patterns or any(p in n for p in patterns)]


def read_known_red():
    """Return the ids of the tests listed in KNOWN-RED.txt.

    :rtype: set[str]
    """
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip() for entry in entries}


def run_module_here(module):
    """Run one module in this process and print its result as a JSON line."""
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    runner = unittest.TextTestRunner(resultclass=_RecordingResult, verbosity=2)
    result = runner.run(suite)
    bad = [*result.failures, *result.errors]
    failed = [test.id() for test, _ in bad]
    failed += [test.id() for test in result.unexpectedSuccesses]
    report = {
        "passed": result.passed_ids,
        "failed": failed,
        "skipped": [test.id() for test, _ in result.skipped],
    }
    print(RESULT_MARKER + json.dumps(report))


def run_module(module):
    """Run one module in a child interpreter.

    :param str module: dotted name of the module.
    :rtype: ModuleResult
    """
    command = [sys.executable, __file__, "--here", module]
    try:
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=MODULE_TIMEOUT_S
        )
    except subprocess.TimeoutExpired as error:
        output = (error.stderr or b"").decode(errors="replace")
        note = f"\nmodule did not end within {MODULE_TIMEOUT_S} s"
        return ModuleResult(module, failed=[module], output=output + note)
    lines = done.stdout.splitlines()
    reports = [x for x in lines if x.startswith(RESULT_MARKER)]
    if not reports:
        return ModuleResult(module, failed=[module], output=done.stdout + done.stderr)
    report = json.loads(reports[-1][len(RESULT_MARKER) :])
    return ModuleResult(module, output=done.stderr, **report)


def main():
    """Run the selected modules and print a summary."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("patterns", nargs="*")
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--here", help=argparse.SUPPRESS)
    options = parser.parse_args()
    sys.path.insert(0, str(ROOT))
    if options.here:
        run_module_here(options.here)
        return 0
    modules = discover_modules(options.patterns)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(run_module, modules))
    return summarise(results, read_known_red(), not options.patterns)


def summarise(results, known, ran_all):
    """Print failures and counts; return the exit code.

    :param list[ModuleResult] results: one for each module.
    :param set[str] known: ids of the tests listed in KNOWN-RED.txt.
    :param bool ran_all: whether every module was run.
    :rtype: int
    """
    failed = [test for result in results for test in result.failed]
    unexpected = [test for test in failed if not _is_listed(test, known)]
    for result in results:
        if set(unexpected) & set(result.failed):
            print(f"--- {result.module}\n{result.output}")
    for test in sorted(set(failed) - set(unexpected)):
        print(f"known red: {test}")
    for test in find_stale(results, known, ran_all):
        print(f"stale in {KNOWN_RED.name}, remove it: {test}")
    for test in unexpected:
        print(f"FAILED: {test}")
    passed = sum(len(result.passed) for result in results)
    skipped = sum(len(result.skipped) for result in results)
    print(f"{passed} passed, {len(unexpected)} failed, {skipped} skipped")
    return 1 if unexpected or not passed else 0


def find_stale(results, known, ran_all):
    """Return the listed tests that pass, or that a full run did not meet.

    :param list[ModuleResult] results: one for each module.
    :param set[str] known: ids of the tests listed in KNOWN-RED.txt.
    :param bool ran_all: whether every module was run.
    :rtype: list[str]
    """
    passed = {test for result in results for test in result.passed}
    failed = {test for result in results for test in result.failed}
    failed |= {_test_id(test) for test in failed}
    passed |= {test for test in known - failed if _test_id(test) in passed}
    stale = known - failed if ran_all else known & passed
    return sorted(stale)


def _is_listed(test, known):
    """Return whether a test is listed, or the one subtest of it that failed."""
    return test in known or _test_id(test) in known


def _test_id(test):
    """Return the id of a test without the parameters of a subtest."""
    return test.partition(" ")[0]


if __name__ == "__main__":
    sys.exit(main())
