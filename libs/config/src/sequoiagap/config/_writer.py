"""Conditional update of the configuration object, retried until resolved."""

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
    """Result of an accepted patch.

    :param int number: number of the resulting version.
    :param ConfigVersion version: that version; ``None`` if the patch was accepted
        earlier and its version is no longer the newest.
    :param tuple steps: known steps to the version.
    """

    number: int
    version: _version.ConfigVersion | None = None
    steps: tuple = ()


class Writer:
    """Repeats read, preparation and conditional update until the result is certain.

    :param sequoiagap.platform.PlatformClient client: client of the platform.
    :param HistorySegments segments: sealed segments of the history.
    :param prepare: coroutine function of a :class:`Head`, such as
        :class:`Preparation`.
    :param float deadline: end of the time limit, monotonic seconds.

    :ivar bool may_have_written_: whether a write may have taken effect.
    :ivar int head_version_: object version of the configuration object that contains
        the resulting version.
    """

    def __init__(self, client, segments, prepare, deadline):
        self.client = client
        self.segments = segments
        self.prepare = prepare
        self.deadline = deadline
        self.may_have_written_ = False
        self.head_version_ = 0

    async def run(self):
        """Return the result; the caller cancels this coroutine at the deadline.

        :rtype: expression.Result[Accepted, sequoiagap.base.Refusal]
        :raises TimeoutError: if the deadline is past and the cancellation was lost,
            because a call timed out at the same moment.
        """
        while True:
            self._check_deadline()
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

    def _check_deadline(self):
        if time.monotonic() >= self.deadline:
            raise TimeoutError

    async def _read(self):
        """Read the configuration object.

        Once a write was sent, reads are repeated until the deadline, because the
        result of the write is uncertain. Before that, one retry is enough: it opens a
        new connection.
        """
        failures = 0
        while True:
            self._check_deadline()
            try:
                return _head.parse_head(await self.client.get(_head.CONFIG_OBJECT))
            except base.PlatformError:
                failures += 1
                if not self.may_have_written_ and failures == READ_ATTEMPTS:
                    raise
            await asyncio.sleep(RETRY_DELAY_S)

    async def _put(self, head, prepared):
        version, entry = prepared
        sealed_by_index, kept = _history.split_sealed(
            [*head.history, entry], version.number
        )
        value = _head.head_value(version, kept)
        was_sent = self.may_have_written_
        try:
            for index, entries in sealed_by_index.items():
                await self.segments.seal(index, entries)
            self.may_have_written_ = True
            name = _head.CONFIG_OBJECT
            stored = await self.client.put(name, value, head.object_version)
            self.head_version_ = stored.version
        except platform.ObjectConflict:
            return False
        except base.PlatformError as error:
            if not error.effect_unknown:
                self.may_have_written_ = was_sent
            if not self.may_have_written_:
                raise
            return False
        return True


class Preparation:
    """Prepares the write of a patch, or refuses the patch.

    :param HistorySegments segments: sealed segments of the history.
    :param validators: further checks, see :class:`ConfigStore`.
    :param Patch patch: submitted patch.
    :param HarmFacts facts: input of the harm checks.
    :param int min_number: version in force in this process; a platform with a lower
        version is not written.
    """

    def __init__(self, segments, validators, patch, facts, min_number):
        self.segments = segments
        self.validators = validators
        self.patch = patch
        self.facts = facts
        self.min_number = min_number

    async def __call__(self, head):
        """Return a version to write with its history entry, a result, or a refusal.

        :param Head head: content of the configuration object.
        :rtype: expression.Result
        """
        earlier = await self._find_earlier_result(head)
        if earlier is not None:
            return earlier
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

    async def _find_earlier_result(self, head):
        patch, current = self.patch, head.version
        known = head.find_patch(patch.patch_id)
        if known is None and patch.against < current.number:
            known = await self._find_sealed(head)
        if known is not None:
            return self._already_applied(head, known)
        if current.number < self.min_number:
            return expression.Error(
                _refusals.platform_behind(current.number, self.min_number)
            )
        if patch.against != current.number:
            return expression.Error(_refusals.stale(patch, head))
        return None

    async def _find_sealed(self, head):
        """Return the sealed entry of the patch, or ``None`` if it was never applied."""
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
    """Prepares the write of a version that the platform has lost, or refuses it.

    :param ConfigVersion version: version in force.
    :param Patch patch: id and operator of the restore.
    """

    def __init__(self, version, patch):
        self.version = version
        self.patch = patch

    async def __call__(self, head):
        """Return a version to write with its history entry, a result, or a refusal.

        :param Head head: content of the configuration object.
        :rtype: expression.Result
        """
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
