"""Libraries declare exactly the third-party packages they use; all are pinned."""

import ast
import importlib.metadata
import re
import sys
import tomllib
import unittest

from tests import support

LIBS = support.ROOT / "libs"
WORKSPACE_PREFIX = "sequoiagap"
# Needed by tests, benchmarks, the linter and the build of the workspace.
DEVELOPMENT_TOOLS = {"cryptography", "flit-core", "numpy", "ruff"}
# Modules that importlib.metadata maps to no distribution.
DISTRIBUTION_BY_MODULE = {"hdrh": "hdrhistogram"}


def normalise(name):
    """Return the normalised name of a distribution (PEP 503)."""
    return re.sub(r"[-_.]+", "-", name).lower()


def declared(library):
    """Return the third-party distributions that a library declares."""
    text = (LIBS / library / "pyproject.toml").read_text()
    names = {normalise(n) for n in tomllib.loads(text)["project"]["dependencies"]}
    return {name for name in names if not name.startswith(WORKSPACE_PREFIX)}


def imported(library):
    """Return the third-party distributions that a library imports."""
    distributions_by_module = importlib.metadata.packages_distributions()
    found = set()
    for path in (LIBS / library).rglob("*.py"):
        for module in _modules(ast.parse(path.read_text())):
            if module not in sys.stdlib_module_names | {WORKSPACE_PREFIX}:
                default = distributions_by_module.get(module, [module])[0]
                found.add(normalise(DISTRIBUTION_BY_MODULE.get(module, default)))
    return found


def _modules(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            yield node.module.partition(".")[0]


def closure(names):
    """Return distributions with their transitive dependencies on this platform."""
    found, pending = set(), set(names)
    while pending:
        name = normalise(pending.pop())
        try:
            distribution = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            continue  # required on other platforms only
        if name in found:
            continue
        found.add(name)
        for requirement in distribution.requires or ():
            if "extra ==" not in requirement:
                pending.add(re.match(r"[A-Za-z0-9._-]+", requirement)[0])
    return found


class RequirementsTest(unittest.TestCase):
    def test_each_library_declares_what_it_imports(self):
        for path in sorted(LIBS.iterdir()):
            with self.subTest(path.name):
                self.assertEqual(imported(path.name), declared(path.name))

    def test_pinned_are_just_those_that_are_needed(self):
        lines = (support.ROOT / "requirements.txt").read_text().splitlines()
        pinned = {normalise(line.partition("==")[0]) for line in lines if "==" in line}
        used = set().union(*(declared(path.name) for path in LIBS.iterdir()))
        self.assertEqual(pinned, closure(used | DEVELOPMENT_TOOLS))

    def test_installed_versions_are_the_pinned_ones(self):
        for line in (support.ROOT / "requirements.txt").read_text().splitlines():
            name, found, version = line.partition("==")
            if found:
                with self.subTest(name):
                    self.assertEqual(importlib.metadata.version(name), version)
