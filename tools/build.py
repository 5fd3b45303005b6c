"""Build the single-file distribution: ``python tools/build.py [--output FILE]``.

The file is an executable zip archive that runs on hosts with the same Python
version. It contains the compiled libraries of the workspace, except the stand-ins,
and every third-party package that they depend on. Builds are reproducible: the same
inputs give the same bytes.
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
EXCLUDED_LIBRARIES = frozenset({"standins"})
NATIVE_MANIFEST = "native.txt"
WORKSPACE_PREFIX = "sequoiagap-"
SHEBANG = "#!/usr/bin/env python{}.{}\n"
TIMESTAMP = (2020, 1, 1, 0, 0, 0)
KEPT_SUFFIXES = frozenset({".py", ".so"})
SKIPPED_PARTS = frozenset({"__pycache__", "tests", "testing"})
# Shipped without native modules: these only add speed, and cost more memory.
PURE_PACKAGES = frozenset({"rapidfuzz"})
SKIPPED_NAMES = re.compile(r"^_testcapi|^test_|_test\.py$")
_BUNDLED_LIBRARIES = ".libs/"
_REQUIREMENT_NAME = re.compile(r"^[A-Za-z0-9._-]+")
_NATIVE = re.compile(r"\.so(\.\d+)*$")


def workspace_files():
    """Yield the archive name and path of each shipped module of the workspace."""
    for library in sorted((ROOT / "libs").iterdir()):
        if library.name in EXCLUDED_LIBRARIES:
            continue
        source = library / "src"
        for path in sorted(source.rglob("*.py")):
            yield path.relative_to(source).as_posix(), path


def third_party_names():
    """Return the names of all third-party distributions that the workspace needs.

    Transitive dependencies are included.

    :rtype: set[str]
    """
    pending = set()
    for library in sorted((ROOT / "libs").iterdir()):
        if library.name not in EXCLUDED_LIBRARIES:
            text = (library / "pyproject.toml").read_text()
            pending |= set(tomllib.loads(text)["project"]["dependencies"])
    found = set()
    while pending:
        requirement = pending.pop()
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
        pending |= {r for r in distribution.requires or () if "extra ==" not in r}
    return found


def third_party_files():
    """Yield the archive name and path of each shipped third-party file."""
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

    :param pathlib.Path output: path of the archive.
    :param bool strip: whether to remove the symbols of native modules; ignored if
        the build host lacks the ``strip`` program.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    files = {"__main__.py": BOOTSTRAP}
    files |= dict(workspace_files()) | dict(third_party_files())
    stripper = _Stripper(files, strip)
    with tempfile.TemporaryDirectory() as folder, output.open("wb") as stream:
        stream.write(SHEBANG.format(*sys.version_info[:2]).encode())
        with zipfile.ZipFile(stream, "w", zipfile.ZIP_DEFLATED) as archive:
            native = [name for name in sorted(files) if _NATIVE.search(name)]
            archive.writestr(
                zipfile.ZipInfo(NATIVE_MANIFEST, TIMESTAMP), "\n".join(native)
            )
            # zipimport finds a namespace package only by an entry for its folder.
            archive.writestr(zipfile.ZipInfo("sequoiagap/", TIMESTAMP), b"")
            for name, path in sorted(files.items()):
                _add(archive, name, path, pathlib.Path(folder), stripper)
    output.chmod(0o755)


class _Stripper:
    """Removes symbols from native modules.

    Packages that bundle shared libraries are not stripped: their files have been
    rewritten by an ELF patcher, after which ``strip`` makes them unloadable.

    :param names: archive names of all files.
    :param bool enabled: whether to strip at all.
    """

    def __init__(self, names, enabled):
        self.command = shutil.which("strip") if enabled else None
        self.patched_packages = {
            name.partition(_BUNDLED_LIBRARIES)[0]
            for name in names
            if _BUNDLED_LIBRARIES in name
        }

    def can_strip(self, name):
        """Return whether a file can be stripped.

        :param str name: name in the archive.
        :rtype: bool
        """
        package = name.partition("/")[0].partition(".")[0]
        native = bool(_NATIVE.search(name))
        return bool(self.command) and native and package not in self.patched_packages

    def strip(self, path, converted):
        """Write a copy of a file without its symbols.

        :param pathlib.Path path: the original file.
        :param pathlib.Path converted: path of the copy.
        :raises subprocess.CalledProcessError: if ``strip`` fails.
        """
        subprocess.run([self.command, "-o", str(converted), str(path)], check=True)


def _add(archive, name, path, folder, stripper):
    """Add one file to the archive; compile Python modules and strip native ones."""
    converted = folder / "made"
    if name.endswith(".py"):
        py_compile.compile(
            str(path),
            cfile=str(converted),
            dfile=name,
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        name += "c"
    elif stripper.can_strip(name):
        stripper.strip(path, converted)
    else:
        converted = path
    entry = zipfile.ZipInfo(name, TIMESTAMP)
    entry.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(entry, converted.read_bytes())


def main():
    """Build the archive and print its size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--output", type=pathlib.Path, default=OUTPUT)
    parser.add_argument("--no-strip", action="store_true")
    options = parser.parse_args()
    build(options.output, strip=not options.no_strip)
    print(f"{options.output}: {options.output.stat().st_size} bytes")


if __name__ == "__main__":
    main()
