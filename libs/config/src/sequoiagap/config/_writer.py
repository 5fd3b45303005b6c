"""The conditional update that accepts a patch, repeated until it is settled."""

import asyncio
import dataclasses
import time

import expression

from sequoiagap import base, platform
from sequoiagap.config import _document, _harm, _head, _history, _refusals, _version

RETRY_DELAY_S = 0.1
READ_ATTEMPTS = 2


@dataclasses.dataclass(frozen=True)
class Accepted:
    """A patch that has become a version.

    :param int number: the version that it made.
    :param ConfigVersion version: that version, or ``None`` where the patch was
        accepted earlier and its version is no longer the newest.
    :param tuple steps: steps that led to the version.
    """

    number: int
    version: _version.ConfigVersion | None = None
    steps: tuple = ()


class Writer:
    """Repeats read, preparation and conditional update until one is settled.

    :ivar bool sent_: whether a write may have taken effect.
    :ivar int head_version_: version of the configuration object that holds the
        settled version.
    """

    def __init__(self, client, segments, prepare, end):
        self.client = client
        self.segments = segments
        self.prepare = prepare
        self.end = end
        self.sent_ = False
        self.head_version_ = 0

    async def run(self):
        """Return the settled result; the caller bounds the time.

        :raises TimeoutError: if the bound has passed and its cancellation was lost
            because a call timed out at the same moment.
        """
        while True:
            self._check_time()
            head = await self._read()
            prepared = await self.prepare(head)
            self.head_version_ = head.object_version
            if prepared.is_error() or isinstance(prepared.ok, Accepted):
                return prepared
            if await self._put(head, prepared.ok):
                version, entry = prepared.ok
                step = _version.Step(version.number, entry.patch)
                steps = (*head.steps(), step) if entry.patch is not None else ()
                return expression.Ok(Accepted(version.number, version, steps))
            await asyncio.sleep(RETRY_DELAY_S)

    def _check_time(self):
        if time.monotonic() >= self.end:
            raise TimeoutError

    async def _read(self):
        """Read the head; once a write was sent, keep on until the time is up.

        Before that a second try is enough: it takes a fresh connection.
        """
        failures = 0
        while True:
            self._check_time()
            try:
                return _head.parse_head(await self.client.get(_head.CONFIG_OBJECT))
            except base.PlatformError:
                failures += 1
                if not self.sent_ and failures == READ_ATTEMPTS:
                    raise
            await asyncio.sleep(RETRY_DELAY_S)

    async def _put(self, head, prepared):
        version, entry = prepared
        sealed_by_index, kept = _history.split_sealed(
            [*head.history, entry], version.number
        )
        value = _head.head_value(version, kept)
        was_sent = self.sent_
        try:
            for index, entries in sealed_by_index.items():
                await self.segments.seal(index, entries)
            self.sent_ = True
            name = _head.CONFIG_OBJECT
            stored = await self.client.put(name, value, head.object_version)
            self.head_version_ = stored.version
        except platform.ObjectConflict:
            return False
        except base.PlatformError as error:
            if not error.effect_unknown:
                self.sent_ = was_sent
            if not self.sent_:
                raise
            return False
        return True


class Preparation:
    """Decides what a patch makes of the current version."""

    def __init__(self, segments, validators, patch, facts, min_number):
        self.segments = segments
        self.validators = validators
        self.patch = patch
        self.facts = facts
        self.min_number = min_number

    async def __call__(self, head):
        """Return a version to write with its entry, the outcome, or a refusal."""
        settled = await self._find_settled(head)
        if settled is not None:
            return settled
        changed = _document.merge_patch(head.version.raw, self.patch.changes)
        document = _refusals.validate(changed, head.version, self.validators)
        if document.is_error():
            return document
        harms = _harm.find_harm(head.version.document, document.ok, self.facts)
        if harms and not self.patch.override:
            return expression.Error(_refusals.harmful(harms[0], head.version.number))
        version = _version.ConfigVersion(head.version.number + 1, document.ok)
        overridden = [f"{harm.check}: {harm.message}" for harm in harms]
        entry = _history.make_entry(
            version.number, self.patch, self.patch.operator, time.time(), overridden
        )
        return expression.Ok((version, entry))

    async def _find_settled(self, head):
        patch, current = self.patch, head.version
        known = head.find_patch(patch.patch_id)
        if known is None and patch.against < current.number:
            known = await self._find_sealed(head)
        if known is not None:
            return self._already_applied(head, known)
        if current.number < self.min_number:
            return expression.Error(_refusals.behind(current.number, self.min_number))
        if patch.against != current.number:
            return expression.Error(_refusals.stale(patch, head))
        return None

    async def _find_sealed(self, head):
        """Find the patch where it must be if it was ever applied."""
        number = self.patch.against + 1
        if any(entry.number == number for entry in head.history):
            return None
        entry = await self.segments.find(number)
        if entry is not None and entry.patch_id == self.patch.patch_id:
            return entry
        return None

    def _already_applied(self, head, known):
        if known.number != self.patch.against + 1:
            return expression.Error(_refusals.id_taken(known, head.version.number))
        if known.number != head.version.number:
            return expression.Ok(Accepted(known.number))
        return expression.Ok(Accepted(known.number, head.version, tuple(head.steps())))


class Restoration:
    """Decides whether a version in force may be written back."""

    def __init__(self, version, patch):
        self.version = version
        self.patch = patch

    async def __call__(self, head):
        """Return a version to write with its entry, the outcome, or a refusal."""
        known = head.find_patch(self.patch.patch_id)
        if known is not None:
            return expression.Ok(Accepted(known.number, head.version))
        if head.version.number >= self.version.number:
            return expression.Error(_refusals.nothing_to_restore(head, self.version))
        number = self.version.number + 1
        version = _version.ConfigVersion(number, self.version.document)
        entry = _history.make_entry(
            number, self.patch, self.patch.operator, time.time(), kind="restore"
        )
        return expression.Ok((version, dataclasses.replace(entry, patch=None)))
