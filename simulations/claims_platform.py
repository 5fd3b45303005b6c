"""In-memory platform for claim objects, with fault injection."""

import asyncio

from sequoiagap import base, platform

DELAY_S = 0.01


class ClaimsPlatform:
    """Keeps objects in memory and injects faults into calls.

    :ivar list faults: faults of the next writes: ``late`` (applied 3.0 s later, no
        answer), ``lost`` (applied, no answer) or ``None``.
    :ivar bool down: whether every call fails.
    :ivar set denied: kinds of calls that fail, from ``get``, ``put``, ``put_head`` and
        ``delete``.
    """

    def __init__(self):
        self.object_by_name = {}
        self.writes = 0
        self.faults = []
        self.down = False
        self.denied = set()

    async def get(self, name):
        """Return an object, or ``None``."""
        await self._call("get")
        return self.object_by_name.get(name)

    async def put(self, name, value, expected_version):
        """Write an object if its version is the expected one."""
        await self._call("put" if "-0-" in name else "put_head")
        fault = self.faults.pop(0) if self.faults else None
        if fault == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(3.0, self._write_late, name, value, expected_version)
            raise base.PlatformError("no answer", "", effect_unknown=True)
        stored = self._write(name, value, expected_version)
        if fault == "lost":
            raise base.PlatformError("no answer", "", effect_unknown=True)
        return stored

    async def delete(self, name, expected_version):
        """Delete an object if its version is the expected one."""
        await self._call("delete")
        if self._version(name) != expected_version:
            raise platform.ObjectConflict(name, self._version(name))
        self.object_by_name.pop(name)

    async def _call(self, kind):
        await asyncio.sleep(DELAY_S)
        if self.down or kind in self.denied:
            raise base.PlatformError("down", "")

    def _version(self, name):
        stored = self.object_by_name.get(name)
        return 0 if stored is None else stored.version

    def _write_late(self, *write):
        try:
            self._write(*write)
        except platform.ObjectConflict:
            return

    def _write(self, name, value, expected_version):
        if self._version(name) != expected_version:
            raise platform.ObjectConflict(name, self._version(name))
        self.writes += 1
        stored = platform.StoredObject(name, self.writes, value)
        self.object_by_name[name] = stored
        return stored
