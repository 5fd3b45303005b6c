"""The newest patches in a small object beside the configuration object.

Watchers read it in place of the whole configuration. It is written only after the
configuration object has accepted a version, and only with what was accepted; so it
may lag, and never tells of a version that was not accepted. A reader that meets a
gap, or whose document doesn't come to the digest, reads the configuration object.
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
    """What the object holds.

    :param int head_version: version of the configuration object in the platform
        that held the newest patch.
    :param ConfigDelta delta: the newest patches, as they spread.

    >>> NewestPatches(3, _messages.ConfigDelta(4, ["{}"], "")).number
    5
    """

    head_version: int
    delta: _messages.ConfigDelta

    @property
    def number(self):
        """The version that the patches lead to."""
        return self.delta.above + len(self.delta.patches)


def newest_patches(head_version, version, steps):
    """Return the newest patches of a version, within their bounds.

    :param int head_version: version of the configuration object.
    :param ConfigVersion version: the version that it holds.
    :param steps: steps known to have led there, oldest first.
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
    """Return what the object holds.

    :param sequoiagap.platform.StoredObject stored: the object, or ``None``.
    :returns: its content; ``None`` where there is none or it is malformed.
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
    """Writes the newest patches of versions that were accepted.

    Whoever accepted a version writes them, and a watcher that finds them behind
    the configuration object. A lower number never replaces a higher one.

    :param sequoiagap.platform.PlatformClient client: the platform.
    """

    def __init__(self, client):
        self.client = client
        self._object_version = 0
        self._number = 0

    async def write(self, newest):
        """Write newest patches, unless as new ones are there.

        :param NewestPatches newest: of a version that was accepted.
        :returns: whether the object tells of this version or a higher one.
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
                await self._try(value, newest.number)
        except base.PlatformError:
            return False  # a watcher writes it when it finds it behind
        return self._number >= newest.number

    async def _try(self, value, number):
        name = NEWEST_OBJECT
        try:
            stored = await self.client.put(name, value, self._object_version)
        except platform.ObjectConflict:
            stored = await self.client.get(name)
            self._object_version = 0 if stored is None else stored.version
            held = parse_newest(stored)
            self._number = 0 if held is None else held.number
            return
        self._object_version = stored.version
        self._number = number
