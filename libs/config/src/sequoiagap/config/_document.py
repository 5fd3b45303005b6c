"""Models of the configuration document, and JSON merge patches.

Keys that are unknown to this release are kept and propagated, so that processes of
two releases can run side by side; a patch can't add unknown keys.
"""

from typing import Annotated, Literal

import pydantic

from sequoiagap.config import _sharing

Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")]
PositiveInt = Annotated[int, pydantic.Field(gt=0)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow", frozen=True)


class DomainConfig(_Section):
    """Configuration of a failure domain; one that is ``out`` receives no new work."""

    state: Literal["in", "out"] = "in"


class ModelConfig(_Section):
    """Configuration of a model that callers may request.

    A ``repeatable`` request may run twice without harm.
    """

    repeatable: bool = True


class ServiceConfig(_Section):
    """Configuration of a service that callers may request.

    A ``repeatable`` request may run twice without harm.
    """

    repeatable: bool = False


class AccountConfig(_Section):
    """Fair share, limit and priority of a client account."""

    weight: PositiveInt = 1
    max_in_flight: PositiveInt = 256
    priority: int = 0


class EndpointConfig(_Section):
    """Configuration of an endpoint; one with ``drain`` receives no new work."""

    drain: bool = False


class GroupConfig(_Section):
    """Configuration of a rank group.

    ``pinned_map`` is the digest of the expert map that the group switches to and
    keeps; ``None`` pins none.
    """

    rebalance: bool = True
    pinned_map: str | None = None


class RoutingConfig(_Section):
    """Policy by which entries select an endpoint."""

    policy: str = "expected_wait"


class ConfigDocument(_Section):
    """The complete configuration document."""

    failure_domains: dict[Name, DomainConfig] = {}
    models: dict[Name, ModelConfig] = {}
    services: dict[Name, ServiceConfig] = {}
    client_accounts: dict[Name, AccountConfig] = {}
    endpoints: dict[Name, EndpointConfig] = {}
    groups: dict[Name, GroupConfig] = {}
    routing: RoutingConfig = RoutingConfig()

    @pydantic.model_validator(mode="after")
    def _intern_equal_items(self):
        for name in type(self).model_fields:
            section = getattr(self, name)
            if isinstance(section, dict):
                section.update(
                    (key, _intern_item(item)) for key, item in section.items()
                )
        return self


def _intern_item(item):
    if item.model_extra:
        return item
    return _sharing.intern(type(item), item, item.__dict__)


def merge_patch(document, patch):
    """Return a document with a JSON merge patch (RFC 7396) applied.

    :param dict document: document to patch; it is not modified.
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
    """Return the dotted paths of the keys that are unknown to the models.

    :param section: the document or one of its sections.
    :param str prefix: path of the section with a final dot; empty for the document.
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
