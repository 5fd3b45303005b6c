"""Operators' patches and their border check."""

import dataclasses
import json

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
