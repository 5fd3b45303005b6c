"""Loading of settings files."""

import pathlib

import json5
import pydantic

from sequoiagap import base
from sequoiagap.settings import _models

_MODELS_BY_ROLE = {
    "agent": _models.AgentSettings,
    "entry": _models.EntrySettings,
}


def load(path):
    """Load and check a settings file.

    :param str path: file in JSON with comments; its ``role`` selects the model.
    :rtype: EntrySettings | AgentSettings
    :raises sequoiagap.base.ConfigError: naming file, key, value and remedy.
    """
    document = _read(path)
    role = document.get("role")
    if role not in _MODELS_BY_ROLE:
        listed = ", ".join(sorted(_MODELS_BY_ROLE))
        raise base.ConfigError(
            f"{path}: role: {role!r} is no role", f"Set role to one of: {listed}"
        )
    try:
        return _MODELS_BY_ROLE[role].model_validate(document)
    except pydantic.ValidationError as error:
        raise _explain(path, error) from error


def load_keys(path):
    """Load the file of keys.

    :param str path: file with ``accounts`` and ``operators``, each a map from
        name to the SHA-256 of its key in hexadecimal.
    :returns: the two maps from digest to name.
    :rtype: tuple[dict[str, str], dict[str, str]]
    :raises sequoiagap.base.ConfigError: if the file can't be used.
    """
    document = _read(path)
    try:
        keys = KeysFile.model_validate(document)
    except pydantic.ValidationError as error:
        raise _explain(path, error) from error
    accounts = {digest: name for name, digest in keys.accounts.items()}
    operators = {digest: name for name, digest in keys.operators.items()}
    return accounts, operators


def load_secret(path):
    """Return the deployment's shared secret.

    :param str path: file whose first line is the secret.
    :rtype: str
    :raises sequoiagap.base.ConfigError: if the file is missing or empty.
    """
    text = _read_text(path).strip()
    if not text:
        raise base.ConfigError(f"{path}: is empty", "Write the secret into it")
    return text.splitlines()[0]


class KeysFile(_models.SettingsModel):
    """Digests of the keys of client accounts and operators."""

    accounts: dict[_models.Name, str]
    operators: dict[_models.Name, str]


def _read_text(path):
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise base.ConfigError(
            f"{path}: can't be read ({error})", "Check the path and its permissions"
        ) from error


def _read(path):
    try:
        document = json5.loads(_read_text(path), allow_duplicate_keys=False)
    except ValueError as error:
        raise base.ConfigError(
            f"{path}: is not JSON with comments ({error})", "Mend the named line"
        ) from error
    if not isinstance(document, dict):
        raise base.ConfigError(f"{path}: is no object", "Put the settings in braces")
    return document


def _explain(path, error):
    lines = []
    for problem in error.errors():
        key = ".".join(str(part) for part in problem["loc"])
        if problem["type"] == "extra_forbidden":
            lines.append(f"{path}: {key}: unknown key; remove it or mend its name")
            continue
        value = problem.get("input")
        shown = "missing" if problem["type"] == "missing" else repr(value)[:80]
        lines.append(f"{path}: {key}: {shown}: {problem['msg']}")
    return base.ConfigError("\n".join(lines), "Mend the named keys")
