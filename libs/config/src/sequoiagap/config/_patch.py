"""Configuration patches of operators, and validation of submitted ones."""

import dataclasses
import json

MAX_PATCH_ID_CHARACTERS = 128


@dataclasses.dataclass(frozen=True)
class Patch:
    """Patch of the configuration.

    :param str patch_id: unique id; a patch that is submitted twice is applied once.
    :param int against: number of the version that the patch is based on.
    :param dict changes: JSON merge patch.
    :param str operator: operator who submits the patch.
    :param bool override: whether to accept a change that harm checks reject.
    """

    patch_id: str
    against: int
    changes: dict
    operator: str
    override: bool = False


def patch_from_json(document, operator, patch_id):
    """Return the patch in the body of an operator's request.

    :param dict document: body of the request.
    :param str operator: operator who submits the patch.
    :param str patch_id: id to use if the body contains none.
    :rtype: Patch
    :raises ValueError: if a key is unknown, missing or has an invalid value; the
        message starts with the key.
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
    chosen_id = document.get("patch_id") or patch_id
    if not isinstance(chosen_id, str) or len(chosen_id) > MAX_PATCH_ID_CHARACTERS:
        raise ValueError(
            f"patch_id: must be text of at most {MAX_PATCH_ID_CHARACTERS} characters"
        )
    return Patch(chosen_id, against, changes, operator, override)
