"""Segments of a shard of claims: full heads that were set aside."""

import dataclasses

from sequoiagap import base, platform
from sequoiagap.outcome import _claims

MAX_DELETIONS = 4


@dataclasses.dataclass(frozen=True)
class _KeptSegment:
    """A segment as the platform holds it.

    :param int version: version of the segment's own object, or 0 if there is none.
    :param dict by_identity: its claims.
    """

    version: int = 0
    by_identity: dict = dataclasses.field(default_factory=dict)


class Segments:
    """Reads, writes and deletes the segments of one shard.

    A segment is named by the version that the head had. Whoever writes over a full
    head sets it aside first, and the head names a segment until it is deleted: so
    none stays behind, whoever loses a race, dies or can't reach the platform.

    :param ClaimStore store: owner, which counts the calls.
    :param str name: name of the head's object.
    :param read: coroutine function that reads an object by name.

    :ivar set deleted_: versions of named segments that are known to be deleted.
    """

    def __init__(self, store, name, read):
        self.store = store
        self.name = name
        self.read = read
        self.deleted_ = set()
        self._kept_by_version = {}

    async def claims(self, version):
        """Return the claims of a segment, which never change.

        :param int version: the segment.
        :rtype: dict
        """
        if version not in self._kept_by_version:
            stored = await self.read(self._object_name(version))
            kept = _KeptSegment()
            if stored is not None:
                shard = _claims.ClaimShard.from_value(stored.value)
                kept = _KeptSegment(stored.version, shard.by_identity)
            self._kept_by_version[version] = kept
        return self._kept_by_version[version].by_identity

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
            own_version = stored.version
        except platform.ObjectConflict as conflict:
            own_version = conflict.version  # set aside before, with the same claims
        self._kept_by_version[version] = _KeptSegment(own_version, shard.by_identity)

    async def delete_expired(self, named):
        """Delete a few expired segments; the next write of the head unnames them.

        :param tuple named: segments that the head names.
        """
        versions = {segment.version for segment in named}
        for version in [v for v in self._kept_by_version if v not in versions]:
            del self._kept_by_version[version]
        self.deleted_ &= versions
        now = self.store.wall_clock()
        expired = [s.version for s in named if s.expires_at <= now]
        left = [version for version in expired if version not in self.deleted_]
        for version in left[:MAX_DELETIONS]:
            await self._delete(version)

    async def _delete(self, version):
        kept = self._kept_by_version[version]
        if kept.version:
            self.store.writes_ += 1
            try:
                await self.store.client.delete(self._object_name(version), kept.version)
            except platform.ObjectConflict:
                pass  # deleted by another agent
            except base.PlatformError:
                return  # still named, so it is tried again
        self.deleted_.add(version)

    def _object_name(self, version):
        return f"{self.name}-{version}"
