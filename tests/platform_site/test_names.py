"""Names that the platform defines are used in its adapter only."""

import re
import unittest

from tests import support

# headers, fields and paths of the platform that are not common terms
NAMES = (
    "Server-Seal",
    "Not-Executed",
    "Expect-Instance",
    "Deadline-Ms",
    "Prompt-Prefix",
    "Token-Counts",
    "ColdRemainingMs",
    "TrafficSplit",
    "ApiKeys",
    "/api/picked",
    "/api/order",
    "/api/objects",
    "evacuations",
)


class NamesTest(unittest.TestCase):
    def test_other_folders_do_not_use_them(self):
        pattern = re.compile("|".join(re.escape(name) for name in NAMES))
        folders = ("libs", "simulations", "benchmarks", "tools")
        for folder in folders:
            for path in sorted((support.ROOT / folder).rglob("*.py")):
                with self.subTest(path=str(path.relative_to(support.ROOT))):
                    self.assertIsNone(pattern.search(path.read_text()))

    def test_adapter_folder_hides_no_standard_module(self):
        self.assertFalse((support.ROOT / "platform/__init__.py").exists())
