"""History of accepted patches: recent ones in the head, older ones in segments.

The head is the configuration object; it holds the latest 65 to 128 patches. Older
patches are moved to segments, objects of 64 patches that are written once, so that
neither the size of the head nor the rate of writes grows with the age of the
deployment.
"""

import dataclasses
import json

from sequoiagap import platform

SEGMENT_ENTRIES = 64
KEPT_SEGMENTS = 4096  # older segments are deleted
MAX_INLINE_PATCH_BYTES = 2048
SEGMENT_PREFIX = "sequoiagap-config-history-"


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """History entry of an accepted patch.

    :param int number: version that the patch resulted in.
    :param str patch_id: unique id of the patch.
    :param str operator: operator who submitted it.
    :param float at: time of acceptance, seconds since the epoch.
    :param dict patch: the merge patch; ``None`` if it is too long to store.
    :param bool override: whether the operator overrides the harm checks.
    :param list overridden: findings of the harm checks that were overridden.
    :param str kind: ``patch``, or ``restore`` if a version in force was written
        back to the platform.
    :param int patch_bytes: length of the patch as JSON text, in bytes.
    """

    number: int
    patch_id: str
    operator: str
    at: float
    patch: dict | None
    override: bool = False
    overridden: list = dataclasses.field(default_factory=list)
    kind: str = "patch"
    patch_bytes: int = 0


_FIELD_NAMES = {field.name for field in dataclasses.fields(HistoryEntry)}


def make_entry(number, patch, operator, at, overridden=(), kind="patch"):
    """Return the history entry of a patch.

    A patch longer than ``MAX_INLINE_PATCH_BYTES`` is not stored in the entry.

    :param int number: version that the patch results in.
    :param Patch patch: accepted patch.
    :param str operator: operator who submitted it.
    :param float at: time of acceptance, seconds since the epoch.
    :param overridden: findings of the harm checks that were overridden.
    :param str kind: ``patch`` or ``restore``.
    :rtype: HistoryEntry
    """
    size = len(json.dumps(patch.changes))
    return HistoryEntry(
        number=number,
        patch_id=patch.patch_id,
        operator=operator,
        at=at,
        patch=patch.changes if size <= MAX_INLINE_PATCH_BYTES else None,
        override=patch.override,
        overridden=list(overridden),
        kind=kind,
        patch_bytes=size,
    )


def parse_entries(documents):
    """Return history entries from plain data, without the keys of newer releases.

    :param list[dict] documents: fields of each entry.
    :rtype: list[HistoryEntry]
    :raises ValueError: if an entry is malformed.
    """
    try:
        return [
            HistoryEntry(**{k: v for k, v in item.items() if k in _FIELD_NAMES})
            for item in documents
        ]
    except (TypeError, AttributeError) as error:
        raise ValueError(f"history: {error}") from error


def segment_of(number):
    """Return the index of the segment of a version.

    :param int number: version number, from 1.
    :rtype: int

    >>> segment_of(1), segment_of(64), segment_of(65)
    (0, 0, 1)
    """
    return (number - 1) // SEGMENT_ENTRIES


def split_sealed(entries, newest):
    """Split entries into full segments to seal and entries that stay in the head.

    :param list[HistoryEntry] entries: entries, oldest first.
    :param int newest: highest version number.
    :returns: entries to seal by index of their segment, and the entries that stay.
    :rtype: tuple[dict[int, list[HistoryEntry]], list[HistoryEntry]]
    """
    keep_from = segment_of(newest) - 1
    sealed_by_index = {}
    kept = []
    for entry in entries:
        index = segment_of(entry.number)
        if index < keep_from:
            sealed_by_index.setdefault(index, []).append(entry)
        else:
            kept.append(entry)
    return sealed_by_index, kept


class HistorySegments:
    """Reads and writes the sealed segments of the history in the platform.

    :param sequoiagap.platform.PlatformClient client: client of the platform.
    """

    def __init__(self, client):
        self.client = client

    async def read(self, index):
        """Return the entries of a sealed segment; empty if there is none.

        :param int index: index of the segment.
        :rtype: list[HistoryEntry]
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        if index < 0:
            return []
        stored = await self.client.get(f"{SEGMENT_PREFIX}{index}")
        return [] if stored is None else parse_entries(stored.value["entries"])

    async def find(self, number):
        """Return the sealed history entry of a version, or ``None`` if there is none.

        :param int number: version number.
        :rtype: HistoryEntry | None
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        if number < 1:
            return None
        entries = await self.read(segment_of(number))
        matches = [entry for entry in entries if entry.number == number]
        return matches[0] if matches else None

    async def seal(self, index, entries):
        """Write a segment, and delete the one that exceeds ``KEPT_SEGMENTS``.

        Writing is idempotent; another process may have written the segment already.

        :param int index: index of the segment.
        :param list[HistoryEntry] entries: entries of the segment.
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        name = f"{SEGMENT_PREFIX}{index}"
        value = {"entries": [dataclasses.asdict(entry) for entry in entries]}
        try:
            await self.client.put(name, value, 0)
        except platform.ObjectConflict as conflict:
            await self._replace_if_different(name, value, conflict.version)
        await self._delete(index - KEPT_SEGMENTS)

    async def _replace_if_different(self, name, value, version):
        """Overwrite a segment that was left by versions lost in a restore."""
        stored = await self.client.get(name)
        if stored is None or stored.value != value:
            await self.client.put(name, value, version)

    async def _delete(self, index):
        if index < 0:
            return
        stored = await self.client.get(f"{SEGMENT_PREFIX}{index}")
        if stored is not None:
            await self.client.delete(stored.name, stored.version)
