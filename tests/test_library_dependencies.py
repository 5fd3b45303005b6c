"""Libraries declare the libraries they import, without cycles or private imports."""

import ast
import pathlib
import tomllib
import unittest

from tests import support

LIBS = support.ROOT / "libs"


def declared_libraries(library):
    """Return the libraries that a library declares to depend on."""
    text = (LIBS / library / "pyproject.toml").read_text()
    names = tomllib.loads(text)["project"]["dependencies"]
    prefix = "sequoiagap-"
    return {n.removeprefix(prefix) for n in names if n.startswith(prefix)}


def imported_libraries(path):
    """Return the libraries that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module == "sequoiagap":
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found |= _library(node.module)
        elif isinstance(node, ast.Import):
            found |= {name for a in node.names for name in _library(a.name)}
    return found


def _library(module):
    parts = module.split(".")
    return {parts[1]} if parts[0] == "sequoiagap" and len(parts) > 1 else set()


class LibraryDependenciesTest(unittest.TestCase):
    def test_imports_are_declared(self):
        for path in sorted(LIBS.rglob("*.py")):
            library = path.relative_to(LIBS).parts[0]
            with self.subTest(path=str(path.relative_to(LIBS))):
                self.assertLessEqual(
                    imported_libraries(path), declared_libraries(library) | {library}
                )

    def test_dependencies_have_no_cycle(self):
        names = sorted(p.name for p in LIBS.iterdir() if p.is_dir())
        remaining = {name: declared_libraries(name) for name in names}
        while remaining:
            independent = [
                name for name, needs in remaining.items() if not needs & set(remaining)
            ]
            self.assertTrue(independent, f"cycle among {sorted(remaining)}")
            for name in independent:
                del remaining[name]

    def test_private_modules_are_imported_only_inside_their_library(self):
        for path in sorted(LIBS.rglob("*.py")):
            self._check_private_imports(path)

    def _check_private_imports(self, path: pathlib.Path):
        library = path.relative_to(LIBS).parts[0]
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom) or not node.module:
                continue
            parts = node.module.split(".")
            names = parts[2:] + [alias.name for alias in node.names]
            private = any(name.startswith("_") for name in names)
            if parts[0] == "sequoiagap" and private:
                self.assertEqual(parts[1], library, str(path))
