"""Validation of patched documents, and refusals of patches."""

import json

import expression
import pydantic

from sequoiagap import base
from sequoiagap.config import _document, _head, _version

RETRY_AFTER_S = 2.0
MAX_CHANGES_SHOWN_BYTES = 8192


def validate(changed, current, validators):
    """Return the validated document, or a refusal that names the invalid key.

    :param dict changed: plain data of the document with the patch applied.
    :param ConfigVersion current: version in force.
    :param validators: further checks, see :class:`ConfigStore`.
    :rtype: expression.Result[ConfigDocument, sequoiagap.base.Refusal]
    """
    number = current.number
    try:
        document = _document.ConfigDocument.model_validate(changed)
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        key = ".".join(str(part) for part in problem["loc"])
        return expression.Error(bad_key(key, problem["msg"], number))
    known = _document.unknown_keys(current.document)
    for key in sorted(_document.unknown_keys(document) - known):
        return expression.Error(bad_key(key, "unknown key", number))
    for validator in validators:
        found = validator(document)
        if found is not None:
            return expression.Error(bad_key(*found, number))
    size = len(_version.ConfigVersion(number, document).to_json())
    if size > _head.MAX_DOCUMENT_BYTES:
        return expression.Error(_too_large(size, number))
    return expression.Ok(document)


def bad_key(key, problem, number):
    """Return the refusal of a patch with an invalid key or value.

    :param str key: path of the key.
    :param str problem: reason why it is invalid.
    :param int number: version in force.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.BAD_REQUEST,
        f"{key}: {problem}",
        "Correct the named key",
        config_version=number,
        setting=key,
    )


def harmful(harm, number):
    """Return the refusal of a harmful patch.

    :param Harm harm: finding of a check.
    :param int number: version in force.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.HARMFUL_CHANGE,
        f"{harm.setting}: {harm.message} (check {harm.check})",
        "Change the patch, or submit it with override; both are recorded",
        config_version=number,
        setting=harm.setting,
    )


def stale(patch, head):
    """Return the refusal of a patch that is based on another version.

    :param Patch patch: submitted patch.
    :param Head head: content of the configuration object.
    :rtype: sequoiagap.base.Refusal
    """
    number = head.version.number
    since = {e.number: e.patch for e in head.history if e.number > patch.against}
    shown = json.dumps(since)[:MAX_CHANGES_SHOWN_BYTES]
    oldest = min(since, default=number + 1)
    if oldest > patch.against + 1 and patch.against < number:
        shown += f" and earlier ones, see 'config history --before {oldest}'"
    return base.Refusal(
        base.RefusalKind.STALE_VERSION,
        f"the patch is based on version {patch.against}, "
        f"the current one is {number}; changed since: {shown}",
        "Read the current version and submit a patch based on it, with a new id",
        config_version=number,
        setting="against",
    )


def platform_behind(stored_number, number):
    """Return the refusal to write to a platform that has lost versions.

    :param int stored_number: version number in the platform.
    :param int number: version in force in this process.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.CONFLICT,
        f"the platform holds version {stored_number}, below {number} in force; "
        "it was restored from an older state",
        "Write the version in force back with 'sequoiagap config restore'",
        config_version=number,
    )


def id_taken(known, number):
    """Return the refusal of a patch id that was used for another version.

    :param HistoryEntry known: history entry with the id.
    :param int number: version in force.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.CONFLICT,
        f"patch id {known.patch_id!r} was used for version {known.number} already",
        "Use a new id for another patch",
        config_version=number,
        setting="patch_id",
    )


def nothing_to_restore(head, version):
    """Return the refusal to restore a platform that is not behind.

    :param Head head: content of the configuration object.
    :param ConfigVersion version: version in force in this process.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.CONFLICT,
        f"the platform holds version {head.version.number}, not below "
        f"{version.number} in force here",
        "No restore is needed",
        config_version=version.number,
    )


def malformed(error):
    """Return the refusal to write over a malformed configuration object.

    :param sequoiagap.base.ConfigError error: reason why it is malformed.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(base.RefusalKind.CONFLICT, error.message, error.remedy)


def platform_down(message, was_sent, patch):
    """Return the refusal of a patch whose result the platform did not confirm.

    :param str message: description of the failure.
    :param bool was_sent: whether a write may have taken effect.
    :param Patch patch: submitted patch.
    :rtype: sequoiagap.base.Refusal
    """
    advice = f"Submit it again with patch id {patch.patch_id!r} and the same version"
    return base.Refusal(
        base.RefusalKind.PLATFORM_DOWN,
        message,
        f"{advice}; it is applied at most once",
        outcome=base.Outcome.UNKNOWN if was_sent else base.Outcome.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )


def _too_large(size, number):
    return base.Refusal(
        base.RefusalKind.TOO_LARGE,
        f"the document would have {size} bytes, over {_head.MAX_DOCUMENT_BYTES}",
        "Remove settings that are no longer used",
        config_version=number,
    )
