"""The history of accepted patches: recent ones in the head, old ones sealed.

The head is the configuration object. It holds the last 65 to 128 patches. Older
ones are sealed in objects of 64 that are written once, so that neither the size
of the head nor the rate of writes grows with the age of the deployment.
"""

import dataclasses
import json

from sequoiagap import platform

SEGMENT_ENTRIES = 64
KEPT_SEGMENTS = 4096
MAX_INLINE_PATCH_BYTES = 2048
SEGMENT_PREFIX = "sequoiagap-config-history-"


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """One accepted patch.

    :param int number: the version that the patch made.
    :param str patch_id: unique id of the patch.
    :param str operator: who submitted it.
    :param float at: wall-clock time of acceptance, seconds since the epoch.
    :param dict patch: the merge patch; ``None`` where it is too long to keep.
    :param bool override: whether harm checks were overridden.
    :param list overridden: what the harm checks said that were overridden.
    :param str kind: ``patch``, or ``restore`` where a version in force was
        written back to the platform.
    :param int patch_bytes: length of the patch as JSON.
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
    """Return the history entry of a patch; a long patch is left out of it.

    :param int number: the version that the patch makes.
    :param Patch patch: the patch.
    :param str operator: who submitted it.
    :param float at: wall-clock time, seconds since the epoch.
    :param overridden: what the overridden harm checks said.
    :param str kind: kind of the entry.
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
    """Return history entries of plain data; keys of newer releases are dropped.

    :param list[dict] documents: the entries.
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
    """Return the index of the segment that a version belongs to.

    :param int number: version number, from 1.
    :rtype: int

    >>> segment_of(1), segment_of(64), segment_of(65)
    (0, 0, 1)
    """
    return (number - 1) // SEGMENT_ENTRIES


def split_sealed(entries, newest):
    """Split entries into full old segments and what stays in the head.

    :param list[HistoryEntry] entries: entries, oldest first.
    :param int newest: highest version number.
    :returns: entries by index of their segment, and the entries that stay.
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
    """Sealed segments of the history in the platform.

    :param sequoiagap.platform.PlatformClient client: the platform.
    """

    def __init__(self, client):
        self.client = client

    async def read(self, index):
        """Return the entries of a sealed segment; empty where there is none.

        :param int index: index of the segment.
        :rtype: list[HistoryEntry]
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        if index < 0:
            return []
        stored = await self.client.get(f"{SEGMENT_PREFIX}{index}")
        return [] if stored is None else parse_entries(stored.value["entries"])

    async def find(self, number):
        """Return the sealed history entry of a version, or ``None``.

        :param int number: the version.
        :rtype: HistoryEntry | None
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        if number < 1:
            return None
        entries = await self.read(segment_of(number))
        matches = [entry for entry in entries if entry.number == number]
        return matches[0] if matches else None

    async def seal(self, index, entries):
        """Write a segment, whoever may have written it before; drop an old one.

        :param int index: index of the segment.
        :param list[HistoryEntry] entries: its entries.
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        name = f"{SEGMENT_PREFIX}{index}"
        value = {"entries": [dataclasses.asdict(entry) for entry in entries]}
        try:
            await self.client.put(name, value, 0)
        except platform.ObjectConflict as conflict:
            await self._replace_if_other(name, value, conflict.version)
        await self._drop(index - KEPT_SEGMENTS)

    async def _replace_if_other(self, name, value, version):
        """Overwrite what a line of versions before a restore has left."""
        stored = await self.client.get(name)
        if stored is None or stored.value != value:
            await self.client.put(name, value, version)

    async def _drop(self, index):
        if index < 0:
            return
        stored = await self.client.get(f"{SEGMENT_PREFIX}{index}")
        if stored is not None:
            await self.client.delete(stored.name, stored.version)
