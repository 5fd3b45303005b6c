"""Refusals of patches, worded in one place, and the checks of their content."""

import json

import expression
import pydantic

from sequoiagap import base
from sequoiagap.config import _document, _head, _version

RETRY_AFTER_S = 2.0
MAX_CHANGES_SHOWN_BYTES = 8192


def validate(changed, current, validators):
    """Return the document of changed data, or the refusal that names the bad key.

    :param dict changed: the data to be.
    :param ConfigVersion current: the version in force.
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
    """Return the refusal of a value that can't be used.

    :param str key: path of the key.
    :param str problem: what is wrong with it.
    :param int number: version in force.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.BAD_REQUEST,
        f"{key}: {problem}",
        "Mend the named key",
        config_version=number,
        setting=key,
    )


def harmful(harm, number):
    """Return the refusal of a harmful change.

    :param Harm harm: what a check has against it.
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
    """Return the refusal of a patch written against another version.

    :param Patch patch: the patch.
    :param Head head: the configuration object.
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
        f"the patch was written against version {patch.against}, "
        f"the current one is {number}; changed since: {shown}",
        "Read the current version and write the patch against it, with a new id",
        config_version=number,
        setting="against",
    )


def behind(stored_number, number):
    """Return the refusal to write to a platform that has lost versions.

    :param int stored_number: version in the platform.
    :param int number: version in force here.
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
    """Return the refusal of a patch id that made another version.

    :param HistoryEntry known: the patch that has the id.
    :param int number: version in force.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.CONFLICT,
        f"patch id {known.patch_id!r} has made version {known.number} already",
        "Use a new id for another patch",
        config_version=number,
        setting="patch_id",
    )


def nothing_to_restore(head, version):
    """Return the refusal to restore over a platform that is not behind.

    :param Head head: the configuration object.
    :param ConfigVersion version: the version in force here.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.CONFLICT,
        f"the platform holds version {head.version.number}, not below "
        f"{version.number} in force here",
        "Nothing is to be restored",
        config_version=version.number,
    )


def malformed(error):
    """Return the refusal to build on a malformed object.

    :param sequoiagap.base.ConfigError error: what is wrong with it.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(base.RefusalKind.CONFLICT, error.message, error.remedy)


def platform_down(message, was_sent, patch):
    """Return the refusal where the platform settled nothing in time.

    :param str message: what happened.
    :param bool was_sent: whether a write may have taken effect.
    :param Patch patch: the patch.
    :rtype: sequoiagap.base.Refusal
    """
    again = f"Submit it again with patch id {patch.patch_id!r} and the same version"
    return base.Refusal(
        base.RefusalKind.PLATFORM_DOWN,
        message,
        f"{again}; it is applied at most once",
        outcome=base.Outcome.UNKNOWN if was_sent else base.Outcome.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )


def _too_large(size, number):
    return base.Refusal(
        base.RefusalKind.TOO_LARGE,
        f"the document would have {size} bytes, over {_head.MAX_DOCUMENT_BYTES}",
        "Remove what is no longer used",
        config_version=number,
    )
