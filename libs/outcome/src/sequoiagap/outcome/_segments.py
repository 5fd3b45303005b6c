"""Segments of a shard of claims: full heads that were set aside."""

from sequoiagap import base, platform
from sequoiagap.outcome import _claims, _packed

MAX_DELETIONS = 4


class Segments:
    """Reads, writes and deletes the segments of one shard.

    A segment is named by the version that the head had. Whoever writes over a full
    head sets it aside first, and the head names a segment until it is deleted: so
    none stays behind, whoever loses a race, dies or can't reach the platform.

    :param ClaimStore store: owner, which counts the calls.
    :param str name: name of the head's object.
    :param read: coroutine function that reads an object by name.

    :ivar PackedClaims sealed_: claims of the segments seen so far.
    :ivar set deleted_: versions of named segments that are known to be deleted.
    """

    def __init__(self, store, name, read):
        self.store = store
        self.name = name
        self.read = read
        self.sealed_ = _packed.PackedClaims(_claims.Claim)
        self.deleted_ = set()
        self._object_version_by_version = {}

    async def load(self, named):
        """Read the segments not seen yet, which never change.

        :param tuple named: segments that the head names, in order.
        :returns: claims of all of them.
        :rtype: PackedClaims
        """
        for segment in named:
            if segment.version not in self._object_version_by_version:
                await self._read_segment(segment.version)
        return self.sealed_

    async def _read_segment(self, version):
        stored = await self.read(self._object_name(version))
        if stored is not None:
            claims = _claims.ClaimShard.from_value(stored.value).by_identity
            now = self.store.wall_clock()
            self.sealed_ = self.sealed_.joined(claims.values(), now)
        object_version = 0 if stored is None else stored.version
        self._object_version_by_version[version] = object_version

    async def set_aside(self, version, shard):
        """Write a full head as a segment; who does it again writes the same.

        :param int version: version of the head.
        :param ClaimShard shard: the shard with that head.
        """
        self.store.writes_ += 1
        try:
            stored = await self.store.client.put(
                self._object_name(version), shard.to_value(), 0
            )
            object_version = stored.version
        except platform.ObjectConflict as conflict:
            object_version = conflict.version  # set aside before, the same claims
        self._object_version_by_version[version] = object_version
        now = self.store.wall_clock()
        self.sealed_ = self.sealed_.joined(shard.by_identity.values(), now)

    async def delete_expired(self, named):
        """Delete a few expired segments; the next write of the head unnames them.

        :param tuple named: segments that the head names.
        """
        versions = {segment.version for segment in named}
        known = self._object_version_by_version
        for version in [v for v in known if v not in versions]:
            del known[version]
        self.deleted_ &= versions
        now = self.store.wall_clock()
        expired = [s.version for s in named if s.expires_at <= now]
        left = [version for version in expired if version not in self.deleted_]
        for version in left[:MAX_DELETIONS]:
            await self._delete(version)

    async def _delete(self, version):
        object_version = self._object_version_by_version[version]
        if object_version:
            self.store.writes_ += 1
            try:
                await self.store.client.delete(
                    self._object_name(version), object_version
                )
            except platform.ObjectConflict:
                pass  # deleted by another agent
            except base.PlatformError:
                return  # still named, so it is tried again
        self.deleted_.add(version)

    def _object_name(self, version):
        return f"{self.name}-{version}"
