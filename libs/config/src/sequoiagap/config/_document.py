"""The operators' configuration: its model and merge patches.

Keys that this program does not know are kept and passed on, so that processes of
two releases can run side by side; a patch may not bring new ones in.
"""

from typing import Annotated, Literal

import pydantic

from sequoiagap.config import _sharing

Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")]
PositiveInt = Annotated[int, pydantic.Field(gt=0)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow", frozen=True)


class DomainConfig(_Section):
    """A failure domain; ``out`` receives no new work."""

    state: Literal["in", "out"] = "in"


class ModelConfig(_Section):
    """A model that callers may ask for."""

    repeatable: bool = True


class ServiceConfig(_Section):
    """A plain service that callers may ask for."""

    repeatable: bool = False


class AccountConfig(_Section):
    """A client account's share."""

    weight: PositiveInt = 1
    max_in_flight: PositiveInt = 256
    priority: int = 0


class EndpointConfig(_Section):
    """Operators' orders for one endpoint."""

    drain: bool = False


class GroupConfig(_Section):
    """Operators' orders for a rank group.

    ``pinned_map`` is the digest of the expert map to change to and to keep.
    """

    rebalance: bool = True
    pinned_map: str | None = None


class RoutingConfig(_Section):
    """How entries choose among endpoints."""

    policy: str = "expected_wait"


class ConfigDocument(_Section):
    """Everything that operators configure."""

    failure_domains: dict[Name, DomainConfig] = {}
    models: dict[Name, ModelConfig] = {}
    services: dict[Name, ServiceConfig] = {}
    client_accounts: dict[Name, AccountConfig] = {}
    endpoints: dict[Name, EndpointConfig] = {}
    groups: dict[Name, GroupConfig] = {}
    routing: RoutingConfig = RoutingConfig()

    @pydantic.model_validator(mode="after")
    def _share_equal_items(self):
        for name in type(self).model_fields:
            section = getattr(self, name)
            if isinstance(section, dict):
                section.update((key, _share(item)) for key, item in section.items())
        return self


def _share(item):
    if item.model_extra:
        return item
    return _sharing.share(type(item), item, item.__dict__)


def merge_patch(document, patch):
    """Return a document with a JSON merge patch (RFC 7396) applied.

    :param dict document: what to patch; it is not changed.
    :param dict patch: new values by key; ``None`` removes a key.
    :rtype: dict

    >>> merge_patch({"a": 1, "b": 2}, {"b": None, "c": 3})
    {'a': 1, 'c': 3}
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


def unknown_keys(section, prefix=""):
    """Return the dotted paths of the keys that the model does not know.

    :param section: a section of the document, or the document.
    :param str prefix: path of the section, ending in a dot; empty at the top.
    :rtype: set[str]

    >>> unknown_keys(ConfigDocument.model_validate({"modles": {}}))
    {'modles'}
    """
    found = {prefix + key for key in section.model_extra or ()}
    for name in type(section).model_fields:
        found |= _unknown_below(getattr(section, name), f"{prefix}{name}.")
    return found


def _unknown_below(value, prefix):
    if isinstance(value, _Section):
        return unknown_keys(value, prefix)
    found = set()
    if isinstance(value, dict):
        for key, item in value.items():
            found |= _unknown_below(item, f"{prefix}{key}.")
    return found
