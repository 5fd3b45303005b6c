"""Entry point of the single-file distribution: runs the program from the archive.

Pure Python modules are imported from the archive. A native module is copied into an
anonymous memory file on its first import and loaded from there, so that nothing is
unpacked to disk and no child process is started.
"""

import importlib.machinery
import importlib.util
import os
import sys
import zipimport

_MANIFEST = "native.txt"
_BUNDLED_LIBRARIES = ".libs/"
_DESCRIPTORS = "/proc/self/fd"


class NativeFinder:
    """Meta path finder that loads native modules of the archive from memory.

    :param zipimport.zipimporter archive: the single-file distribution.
    """

    def __init__(self, archive):
        self.archive = archive
        self.member_by_module = {}
        self.libraries_by_package = {}
        for member in archive.get_data(_MANIFEST).decode().split():
            self._add_member(member)

    def find_spec(self, name, path=None, target=None):
        """Return the spec of a native module, or ``None`` for any other module.

        :param str name: full name of the module.
        :param path: search path of the parent package; unused.
        :param target: module to reload; unused.
        :rtype: importlib.machinery.ModuleSpec | None
        """
        member = self.member_by_module.get(name)
        if member is None:
            return None
        self._load_libraries(name.partition(".")[0])
        location = self._copy_to_memory(member)
        loader = importlib.machinery.ExtensionFileLoader(name, location)
        return importlib.util.spec_from_file_location(name, location, loader=loader)

    def _add_member(self, member):
        package, found, _ = member.partition(_BUNDLED_LIBRARIES)
        if found:
            self.libraries_by_package.setdefault(package, []).append(member)
        else:
            folder, _, filename = member.rpartition("/")
            parts = [*folder.split("/"), filename.partition(".")[0]]
            self.member_by_module[".".join(filter(None, parts))] = member

    def _copy_to_memory(self, member):
        """Copy a member into a memory file and return its path.

        The descriptor stays open: the dynamic loader identifies loaded libraries by
        path, so a path must not be reused for another module.
        """
        descriptor = os.memfd_create(member, os.MFD_CLOEXEC)
        data = memoryview(self.archive.get_data(member))
        while data:
            data = data[os.write(descriptor, data) :]
        return f"{_DESCRIPTORS}/{descriptor}"

    def _load_libraries(self, package):
        """Load the shared libraries that a package bundles.

        Libraries that depend on one another are retried until all are loaded.

        :raises ImportError: if some libraries can't be loaded in any order.
        """
        members = self.libraries_by_package.pop(package, [])
        if not members:
            return
        import ctypes

        paths = [self._copy_to_memory(member) for member in members]
        while paths:
            failed = [path for path in paths if not _try_load(ctypes, path)]
            if len(failed) == len(paths):
                raise ImportError(
                    f"bundled libraries of package {package} can't be loaded"
                )
            paths = failed


def _try_load(ctypes, path):
    try:
        ctypes.CDLL(path, ctypes.RTLD_GLOBAL)
    except OSError:
        return False
    return True


def main():
    """Run the command line from the archive.

    The archive is opened by descriptor, so that its file may be moved meanwhile.
    """
    descriptor = os.open(sys.path[0], os.O_RDONLY | os.O_CLOEXEC)
    location = f"{_DESCRIPTORS}/{descriptor}"
    sys.path[0] = location
    archive = zipimport.zipimporter(location)
    sys.meta_path.insert(0, NativeFinder(archive))
    from sequoiagap import cli

    return cli.main()


if __name__ == "__main__":
    sys.exit(main())
