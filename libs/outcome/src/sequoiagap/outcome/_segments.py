"""Sealed segments of a claim shard in the platform."""

from sequoiagap import base, platform
from sequoiagap.outcome import _claims, _packed

MAX_DELETIONS = 4


class Segments:
    """Reads, writes and deletes the segments of one shard.

    A segment is a copy of a full head, named by the version of that head. A writer
    seals a full head before it overwrites it, and the head refers to a segment until
    the segment is deleted. So no segment is left behind when a writer loses a race,
    stops or can't reach the platform.

    :param ClaimStore store: store that counts reads and writes.
    :param str name: object name of the head.
    :param read: coroutine function that reads an object by name.

    :ivar PackedClaims sealed_: claims of the segments read or written so far.
    :ivar set deleted_: versions of the segments that are known to be deleted and
        that the head still refers to.
    """

    def __init__(self, store, name, read):
        self.store = store
        self.name = name
        self.read = read
        self.sealed_ = _packed.PackedClaims(_claims.Claim)
        self.deleted_ = set()
        self._object_version_by_version = {}

    async def load(self, referenced):
        """Read the segments that were not read yet; segments never change.

        :param tuple referenced: each :class:`Segment` that the head refers to, in
            order.
        :returns: claims of all segments.
        :rtype: PackedClaims
        """
        for segment in referenced:
            if segment.version not in self._object_version_by_version:
                await self._read_segment(segment.version)
        return self.sealed_

    async def _read_segment(self, version):
        stored = await self.read(self._object_name(version))
        if stored is not None:
            claims = _claims.ClaimShard.from_value(stored.value).by_identity
            now = self.store.wall_clock()
            self.sealed_ = self.sealed_.merged_with(claims.values(), now)
        object_version = 0 if stored is None else stored.version
        self._object_version_by_version[version] = object_version

    async def write(self, version, shard):
        """Write a full head as a segment; a repeated write has the same content.

        :param int version: version of the head.
        :param ClaimShard shard: shard with that head.
        """
        self.store.writes_ += 1
        try:
            stored = await self.store.client.put(
                self._object_name(version), shard.to_value(), 0
            )
            object_version = stored.version
        except platform.ObjectConflict as conflict:
            object_version = conflict.version  # sealed earlier, with the same claims
        self._object_version_by_version[version] = object_version
        now = self.store.wall_clock()
        self.sealed_ = self.sealed_.merged_with(shard.by_identity.values(), now)

    async def delete_expired(self, referenced):
        """Delete up to ``MAX_DELETIONS`` expired segments.

        The next write of the head drops the references to them.

        :param tuple referenced: each :class:`Segment` that the head refers to.
        """
        versions = {segment.version for segment in referenced}
        known = self._object_version_by_version
        for version in [v for v in known if v not in versions]:
            del known[version]
        self.deleted_ &= versions
        now = self.store.wall_clock()
        expired = [s.version for s in referenced if s.expires_at <= now]
        remaining = [version for version in expired if version not in self.deleted_]
        for version in remaining[:MAX_DELETIONS]:
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
                return  # the head still refers to it, so a later call retries
        self.deleted_.add(version)

    def _object_name(self, version):
        return f"{self.name}-{version}"
