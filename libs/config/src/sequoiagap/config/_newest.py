"""Newest patches in a small object next to the configuration object.

Watchers read it instead of the complete configuration. It is written only after a
version was accepted by a write of the configuration object, and only with accepted
patches. So it may lag, but never contains a version that was not accepted. A reader
that finds a gap, or whose document does not match the digest, reads the
configuration object.
"""

import dataclasses
import json

from sequoiagap import base, platform
from sequoiagap.config import _messages

NEWEST_OBJECT = "sequoiagap-config-newest"
MAX_NEWEST_PATCHES = 16
MAX_NEWEST_BYTES = 2048
WRITE_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class NewestPatches:
    """Content of the object with the newest patches.

    :param int head_version: object version of the configuration object that contains
        the newest patch.
    :param ConfigDelta delta: newest patches, as a wire message.

    >>> NewestPatches(3, _messages.ConfigDelta(4, ["{}"], "")).number
    5
    """

    head_version: int
    delta: _messages.ConfigDelta

    @property
    def number(self):
        """Number of the version that the patches result in."""
        return self.delta.above + len(self.delta.patches)


def newest_patches(head_version, version, steps):
    """Return the newest patches of a version, limited in number and bytes.

    :param int head_version: object version of the configuration object.
    :param ConfigVersion version: configuration version that it contains.
    :param steps: known steps to that version, oldest first.
    :type steps: collections.abc.Iterable[Step]
    :rtype: NewestPatches
    """
    patch_by_number = {step.number: step.patch for step in steps}
    above, size = version.number, 0
    texts = []
    while len(texts) < MAX_NEWEST_PATCHES and above in patch_by_number:
        text = json.dumps(patch_by_number[above])
        size += len(text)
        if size > MAX_NEWEST_BYTES:
            break
        texts.insert(0, text)
        above -= 1
    delta = _messages.ConfigDelta(above, texts, version.digest)
    return NewestPatches(head_version, delta)


def parse_newest(stored):
    """Return the content of the object with the newest patches.

    :param sequoiagap.platform.StoredObject stored: platform object, or ``None``.
    :returns: the content; ``None`` if there is no object or it is malformed.
    :rtype: NewestPatches | None
    """
    value = None if stored is None else stored.value
    if not isinstance(value, dict):
        return None
    numbers = [value.get("head_version"), value.get("above")]
    patches, digest = value.get("patches"), value.get("digest")
    if any(type(item) is not int or item < 0 for item in numbers):
        return None
    if not isinstance(patches, list) or not isinstance(digest, str):
        return None
    if not all(isinstance(item, str) for item in patches):
        return None
    delta = _messages.ConfigDelta(numbers[1], patches, digest)
    return NewestPatches(numbers[0], delta)


class NewestWriter:
    """Writes the newest patches of accepted versions.

    They are written by the process that got a version accepted, and by a watcher that
    finds them behind the configuration object. A lower version never replaces a
    higher one.

    :param sequoiagap.platform.PlatformClient client: client of the platform.
    """

    def __init__(self, client):
        self.client = client
        self._object_version = 0
        self._number = 0

    async def write(self, newest):
        """Write the newest patches unless the object has the same or a higher version.

        :param NewestPatches newest: patches of an accepted version.
        :returns: whether the object contains this version or a higher one.
        :rtype: bool
        """
        value = {
            "head_version": newest.head_version,
            "above": newest.delta.above,
            "patches": newest.delta.patches,
            "digest": newest.delta.digest,
        }
        try:
            for _ in range(WRITE_ATTEMPTS):
                if self._number >= newest.number:
                    return True
                await self._put_or_refresh(value, newest.number)
        except base.PlatformError:
            return False  # a watcher that finds the object behind writes it
        return self._number >= newest.number

    async def _put_or_refresh(self, value, number):
        name = NEWEST_OBJECT
        try:
            stored = await self.client.put(name, value, self._object_version)
        except platform.ObjectConflict:
            stored = await self.client.get(name)
            self._object_version = 0 if stored is None else stored.version
            stored_newest = parse_newest(stored)
            self._number = 0 if stored_newest is None else stored_newest.number
            return
        self._object_version = stored.version
        self._number = number
