"""The examples in docstrings of the libraries give the output they show."""

import doctest
import importlib
import unittest

from tests import support

LIBS = support.ROOT / "libs"


def module_names():
    """Yield the dotted names of all library modules except packages and programs."""
    for path in sorted(LIBS.glob("*/src/sequoiagap/**/*.py")):
        parts = path.with_suffix("").parts
        dotted = parts[parts.index("src") + 1 :]
        if dotted[-1] not in ("__main__", "__init__"):
            yield ".".join(dotted)


class DoctestsTest(unittest.TestCase):
    def test_examples(self):
        support.silence_logs()
        for name in module_names():
            with self.subTest(module=name):
                result = doctest.testmod(importlib.import_module(name))
                self.assertEqual(result.failed, 0)
