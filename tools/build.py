"""Build the one file that ships: ``python tools/build.py [--output FILE]``.

The file is an executable archive for the hosts' Python of the same version. It
holds the libraries of the workspace but the stand-ins, compiled, and every
third-party package that they need. The same inputs give the same bytes.
"""

import argparse
import importlib.metadata
import pathlib
import py_compile
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
import zipfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
BOOTSTRAP = ROOT / "tools/onefile/__main__.py"
OUTPUT = ROOT / "dist/sequoiagap"
LEFT_OUT = frozenset({"standins"})
MANIFEST = "native.txt"
WORKSPACE_PREFIX = "sequoiagap-"
SHEBANG = "#!/usr/bin/env python{}.{}\n"
TIMESTAMP = (2020, 1, 1, 0, 0, 0)
KEPT_SUFFIXES = frozenset({".py", ".so"})
SKIPPED_PARTS = frozenset({"__pycache__", "tests", "testing"})
# Their native modules only make them faster; as pure ones they hold less memory.
PURE_PACKAGES = frozenset({"rapidfuzz"})
SKIPPED_NAMES = re.compile(r"^_testcapi|^test_|_test\.py$")
_BUNDLED_LIBRARIES = ".libs/"
_REQUIREMENT_NAME = re.compile(r"^[A-Za-z0-9._-]+")
_NATIVE = re.compile(r"\.so(\.\d+)*$")


def workspace_files():
    """Yield archive name and path of each module of the workspace."""
    for library in sorted((ROOT / "libs").iterdir()):
        if library.name in LEFT_OUT:
            continue
        source = library / "src"
        for path in sorted(source.rglob("*.py")):
            yield path.relative_to(source).as_posix(), path


def third_party_names():
    """Return the names of all distributions that the workspace needs.

    :rtype: set[str]
    """
    waiting = set()
    for library in sorted((ROOT / "libs").iterdir()):
        if library.name not in LEFT_OUT:
            text = (library / "pyproject.toml").read_text()
            waiting |= set(tomllib.loads(text)["project"]["dependencies"])
    found = set()
    while waiting:
        requirement = waiting.pop()
        name = _REQUIREMENT_NAME.match(requirement)[0]
        if name.startswith(WORKSPACE_PREFIX) or name in found:
            continue
        try:
            distribution = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            if ";" not in requirement:
                raise
            continue
        found.add(name)
        waiting |= {r for r in distribution.requires or () if "extra ==" not in r}
    return found


def third_party_files():
    """Yield archive name and path of each file of the third-party packages."""
    seen = set()
    for name in sorted(third_party_names()):
        for item in importlib.metadata.distribution(name).files:
            if item.as_posix() not in seen and _is_kept(item):
                seen.add(item.as_posix())
                yield item.as_posix(), pathlib.Path(item.locate())


def _is_kept(item):
    if item.parts[0] in PURE_PACKAGES and _NATIVE.search(item.name):
        return False
    if item.parts[0] == ".." or SKIPPED_PARTS & set(item.parts):
        return False
    if SKIPPED_NAMES.search(item.name):
        return False
    if item.name == "METADATA":
        return True
    return item.suffix in KEPT_SUFFIXES or bool(_NATIVE.search(item.name))


def build(output, strip=True):
    """Write the archive.

    :param pathlib.Path output: where to write it.
    :param bool strip: leave out symbols of native modules, where the host has
        ``strip``.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    files = {"__main__.py": BOOTSTRAP}
    files |= dict(workspace_files()) | dict(third_party_files())
    stripper = _Stripper(files, strip)
    with tempfile.TemporaryDirectory() as folder, output.open("wb") as stream:
        stream.write(SHEBANG.format(*sys.version_info[:2]).encode())
        with zipfile.ZipFile(stream, "w", zipfile.ZIP_DEFLATED) as archive:
            native = [name for name in sorted(files) if _NATIVE.search(name)]
            archive.writestr(zipfile.ZipInfo(MANIFEST, TIMESTAMP), "\n".join(native))
            # A namespace package is found by the entry of its folder.
            archive.writestr(zipfile.ZipInfo("sequoiagap/", TIMESTAMP), b"")
            for name, path in sorted(files.items()):
                _add(archive, name, path, pathlib.Path(folder), stripper)
    output.chmod(0o755)


class _Stripper:
    """Removes symbols from native modules.

    Packages that bring shared libraries along are left as they are: their files
    were moved by a patcher, after which ``strip`` makes them unloadable.
    """

    def __init__(self, names, wanted):
        self.command = shutil.which("strip") if wanted else None
        self.patched = {
            name.partition(_BUNDLED_LIBRARIES)[0]
            for name in names
            if _BUNDLED_LIBRARIES in name
        }

    def applies(self, name):
        """Return whether a file is to be stripped.

        :param str name: name in the archive.
        :rtype: bool
        """
        package = name.partition("/")[0].partition(".")[0]
        native = bool(_NATIVE.search(name))
        return bool(self.command) and native and package not in self.patched

    def strip(self, path, made):
        """Write a file without its symbols.

        :param pathlib.Path path: the file.
        :param pathlib.Path made: where to write.
        """
        subprocess.run([self.command, "-o", str(made), str(path)], check=True)


def _add(archive, name, path, folder, stripper):
    """Add one file: modules compiled, native ones stripped."""
    made = folder / "made"
    if name.endswith(".py"):
        py_compile.compile(
            str(path),
            cfile=str(made),
            dfile=name,
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        name += "c"
    elif stripper.applies(name):
        stripper.strip(path, made)
    else:
        made = path
    entry = zipfile.ZipInfo(name, TIMESTAMP)
    entry.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(entry, made.read_bytes())


def main():
    """Build the file and print its size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--output", type=pathlib.Path, default=OUTPUT)
    parser.add_argument("--no-strip", action="store_true")
    options = parser.parse_args()
    build(options.output, strip=not options.no_strip)
    print(f"{options.output}: {options.output.stat().st_size} bytes")


if __name__ == "__main__":
    main()
