"""Submission of patches to the platform and reading of versions from it."""

import asyncio
import dataclasses
import json
import time

import expression

from sequoiagap import base, platform
from sequoiagap.config import _document, _harm, _head, _history, _refusals, _version

SUBMIT_BOUND_S = 5.0
RETRY_DELAY_S = 0.1
READ_ATTEMPTS = 2
MAX_PATCH_ID_CHARACTERS = 128


@dataclasses.dataclass(frozen=True)
class Patch:
    """An operator's patch.

    :param str patch_id: unique id; submitting it twice applies it once.
    :param int against: version number that it was written against.
    :param dict changes: JSON merge patch.
    :param str operator: who submits it.
    :param bool override: whether to accept a change that harm checks refuse.
    """

    patch_id: str
    against: int
    changes: dict
    operator: str
    override: bool = False


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


class ConfigStore:
    """Versions in the platform's object API.

    :param sequoiagap.platform.PlatformClient client: the platform.
    :param validators: functions of a document that return the path of a bad key
        and what is wrong with it, or ``None``.
    :param float bound_s: longest time that a submission may take, in seconds.
    """

    def __init__(self, client, validators=(), bound_s=SUBMIT_BOUND_S):
        self.client = client
        self.validators = validators
        self.bound_s = bound_s
        self._segments = _history.HistorySegments(client)

    async def read(self):
        """Return the configuration object; number 0 where there is none.

        :rtype: Head
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        :raises sequoiagap.base.ConfigError: if the object is malformed.
        """
        return _head.parse_head(await self.client.get(_head.CONFIG_OBJECT))

    async def history(self, before=0):
        """Return accepted patches, oldest first.

        :param int before: return the sealed patches of the segment that ends
            below this version; 0 returns the newest ones.
        :rtype: list[HistoryEntry]
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        :raises sequoiagap.base.ConfigError: if the object is malformed.
        """
        if before <= 0:
            return (await self.read()).history
        return await self._segments.read(_history.segment_of(before - 1))

    async def submit(self, patch, facts=None, floor=0):
        """Submit a patch; takes at most ``bound_s``.

        :param Patch patch: what to change.
        :param HarmFacts facts: what the harm checks rest on; no facts by default.
        :param int floor: version in force here; an older platform is not written.
        :returns: what became of it, or why it was refused.
        :rtype: expression.Result[Accepted, sequoiagap.base.Refusal]
        """
        facts = facts or _harm.HarmFacts()
        prepare = _Preparation(self, patch, facts, floor)
        return await self._write(patch, prepare)

    async def restore(self, version, patch):
        """Write a version in force back to a platform that lost it.

        :param ConfigVersion version: the version in force.
        :param Patch patch: who orders it, under which id.
        :returns: what became of it, or why it was refused.
        :rtype: expression.Result[Accepted, sequoiagap.base.Refusal]
        """
        return await self._write(patch, _Restoration(version, patch))

    async def _write(self, patch, prepare):
        writer = _Writer(self.client, self._segments, prepare)
        try:
            async with asyncio.timeout(self.bound_s):
                return await writer.run()
        except TimeoutError:
            message = f"the platform gave no answer within {self.bound_s} s"
        except base.PlatformError as error:
            message = error.message
        except base.ConfigError as error:
            return expression.Error(_refusals.malformed(error))
        return expression.Error(_refusals.platform_down(message, writer.sent_, patch))

    async def find_sealed(self, number):
        """Return the sealed history entry of a version, or ``None``.

        :param int number: the version.
        :rtype: HistoryEntry | None
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        if number < 1:
            return None
        entries = await self._segments.read(_history.segment_of(number))
        matches = [entry for entry in entries if entry.number == number]
        return matches[0] if matches else None


class _Writer:
    """Repeats read, preparation and conditional update until one is settled.

    :ivar bool sent_: whether a write may have taken effect.
    """

    def __init__(self, client, segments, prepare):
        self.client = client
        self.segments = segments
        self.prepare = prepare
        self.sent_ = False

    async def run(self):
        """Return the settled result; the caller bounds the time."""
        while True:
            head = await self._read()
            prepared = await self.prepare(head)
            if prepared.is_error() or isinstance(prepared.ok, Accepted):
                return prepared
            if await self._put(head, prepared.ok):
                version, entry = prepared.ok
                step = _version.Step(version.number, entry.patch)
                steps = (*head.steps(), step) if entry.patch is not None else ()
                return expression.Ok(Accepted(version.number, version, steps))
            await asyncio.sleep(RETRY_DELAY_S)

    async def _read(self):
        """Read the head; once a write was sent, keep on until the time is up.

        Before that a second try is enough: it takes a fresh connection.
        """
        failures = 0
        while True:
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
            await self.client.put(_head.CONFIG_OBJECT, value, head.object_version)
        except platform.ObjectConflict:
            return False
        except base.PlatformError as error:
            if not error.effect_unknown:
                self.sent_ = was_sent
            if not self.sent_:
                raise
            return False
        return True


class _Preparation:
    """Decides what a patch makes of the current version."""

    def __init__(self, store, patch, facts, floor):
        self.store = store
        self.patch = patch
        self.facts = facts
        self.floor = floor

    async def __call__(self, head):
        """Return a version to write with its entry, the outcome, or a refusal."""
        settled = await self._find_settled(head)
        if settled is not None:
            return settled
        changed = _document.merge_patch(head.version.raw, self.patch.changes)
        document = _refusals.validate(changed, head.version, self.store.validators)
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
        if current.number < self.floor:
            return expression.Error(_refusals.behind(current.number, self.floor))
        if patch.against != current.number:
            return expression.Error(_refusals.stale(patch, head))
        return None

    async def _find_sealed(self, head):
        """Find the patch where it must be if it was ever applied."""
        number = self.patch.against + 1
        if any(entry.number == number for entry in head.history):
            return None
        entry = await self.store.find_sealed(number)
        if entry is not None and entry.patch_id == self.patch.patch_id:
            return entry
        return None

    def _already_applied(self, head, known):
        if known.number != self.patch.against + 1:
            return expression.Error(_refusals.id_taken(known, head.version.number))
        if known.number != head.version.number:
            return expression.Ok(Accepted(known.number))
        return expression.Ok(Accepted(known.number, head.version, tuple(head.steps())))


class _Restoration:
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


def patch_from_json(document, operator, patch_id):
    """Return the patch of an operator's request.

    :param dict document: the body of the request.
    :param str operator: who submits it.
    :param str patch_id: id to use where the body names none.
    :rtype: Patch
    :raises ValueError: naming the key that is wrong.
    """
    if not isinstance(document, dict):
        raise ValueError("body: must be a JSON object")
    allowed = {"patch_id", "against", "changes", "override"}
    for key in sorted(set(document) - allowed):
        raise ValueError(f"{key}: unknown key; use {', '.join(sorted(allowed))}")
    against = document.get("against")
    if type(against) is not int or against < 0:
        raise ValueError(f"against: {against!r} must be a version number, 0 or above")
    changes = document.get("changes")
    if not isinstance(changes, dict):
        raise ValueError("changes: must be a JSON merge patch, an object")
    override = document.get("override") or False
    if not isinstance(override, bool):
        raise ValueError(f"override: {json.dumps(override)} must be true or false")
    given = document.get("patch_id") or patch_id
    if not isinstance(given, str) or len(given) > MAX_PATCH_ID_CHARACTERS:
        raise ValueError(
            f"patch_id: must be text of at most {MAX_PATCH_ID_CHARACTERS} characters"
        )
    return Patch(given, against, changes, operator, override)
