"""Submission of patches to the platform and reading of versions from it."""

import dataclasses
import json
import time

import expression
import pydantic

from sequoiagap import base, platform
from sequoiagap.config import _document

CONFIG_OBJECT = "sequoiagap-config"
MAX_HISTORY_ENTRIES = 200
MAX_ATTEMPTS = 3
RETRY_AFTER_S = 2.0

_log = base.get_logger("config")


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


class ConfigStore:
    """Versions in the platform's object API.

    :param sequoiagap.platform.PlatformClient client: the platform.
    :param checks: functions of the old and the new document that return a
        :class:`sequoiagap.base.Refusal` for a harmful change, else ``None``.
    """

    def __init__(self, client, checks=()):
        self.client = client
        self.checks = checks

    async def read(self):
        """Return the version in the platform; number 0 where there is none.

        :rtype: ConfigVersion
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        stored = await self.client.get(CONFIG_OBJECT)
        return parse_stored(stored)

    async def history(self):
        """Return the accepted patches, oldest first.

        :rtype: list[HistoryEntry]
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        return _history(await self.client.get(CONFIG_OBJECT))

    async def submit(self, patch):
        """Submit a patch.

        :param Patch patch: what to change.
        :returns: the version that the patch made, or why it was refused.
        :rtype: expression.Result[ConfigVersion, sequoiagap.base.Refusal]
        """
        try:
            return await self._submit(patch)
        except base.PlatformError as error:
            return expression.Error(_platform_refusal(error))

    async def _submit(self, patch):
        for _ in range(MAX_ATTEMPTS):
            stored = await self.client.get(CONFIG_OBJECT)
            prepared = self._prepare(stored, patch)
            if prepared.is_error() or isinstance(prepared.ok, _document.ConfigVersion):
                return prepared
            try:
                await self.client.put(
                    CONFIG_OBJECT, prepared.ok, stored.version if stored else 0
                )
            except platform.ObjectConflict:
                continue
            except base.PlatformError as error:
                if not error.effect_unknown:
                    raise
                continue
            return expression.Ok(_version_of(prepared.ok))
        raise base.PlatformError(
            "the write could not be settled", "Read the history for the patch id", True
        )

    def _prepare(self, stored, patch):
        """Return the value to write, the version if already applied, or a refusal."""
        current = parse_stored(stored)
        history = _history(stored)
        for entry in history:
            if entry.patch_id == patch.patch_id:
                return expression.Ok(
                    _document.ConfigVersion(entry.number, current.document)
                )
        if patch.against != current.number:
            return expression.Error(_stale(patch, current, history))
        changed = _document.merge_patch(json.loads(current.to_json()), patch.changes)
        try:
            document = _document.ConfigDocument.model_validate(changed)
        except pydantic.ValidationError as error:
            return expression.Error(_invalid(error, current))
        harm = self._find_harm(current, document, patch)
        if harm is not None:
            return expression.Error(harm)
        return expression.Ok(_value(current, document, history, patch))

    def _find_harm(self, current, document, patch):
        if patch.override:
            return None
        for check in self.checks:
            refusal = check(current, document)
            if refusal is not None:
                return refusal
        return None


def parse_stored(stored):
    """Return the version that a stored object holds.

    :param sequoiagap.platform.StoredObject stored: the object, or ``None``.
    :rtype: ConfigVersion
    """
    return _document.ConfigVersion() if stored is None else _version_of(stored.value)


def _version_of(value):
    document = _document.ConfigDocument.model_validate(value["document"])
    return _document.ConfigVersion(value["number"], document)


def _history(stored):
    if stored is None:
        return []
    return [_document.HistoryEntry(**entry) for entry in stored.value["history"]]


def _value(current, document, history, patch):
    number = current.number + 1
    entry = _document.HistoryEntry(
        number,
        patch.patch_id,
        patch.operator,
        time.time(),
        patch.changes,
        patch.override,
    )
    kept = [*history, entry][-MAX_HISTORY_ENTRIES:]
    return {
        "number": number,
        "document": document.model_dump(mode="json"),
        "history": [dataclasses.asdict(item) for item in kept],
    }


def _stale(patch, current, history):
    since = [entry for entry in history if entry.number > patch.against]
    changes = json.dumps([{str(e.number): e.patch} for e in since])
    return base.Refusal(
        base.RefusalKind.STALE_VERSION,
        f"the patch was written against version {patch.against}, "
        f"the current one is {current.number}; changed since: {changes}",
        "Read the current version and write the patch against it",
        config_version=current.number,
    )


def _invalid(error, current):
    problem = error.errors()[0]
    key = ".".join(str(part) for part in problem["loc"])
    return base.Refusal(
        base.RefusalKind.BAD_REQUEST,
        f"{key}: {problem['msg']}",
        "Mend the named key",
        config_version=current.number,
        setting=key,
    )


def _platform_refusal(error):
    outcome = base.Outcome.UNKNOWN if error.effect_unknown else base.Outcome.NOT_RUN
    return base.Refusal(
        base.RefusalKind.PLATFORM_DOWN,
        error.message,
        "Submit the patch again with the same patch id",
        outcome=outcome,
        retry_after_s=RETRY_AFTER_S,
    )
