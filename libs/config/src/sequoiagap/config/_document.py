"""The operators' configuration: its model, versions and patches."""

import dataclasses
import json
from typing import Annotated, Literal

import pydantic

Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")]
PositiveInt = Annotated[int, pydantic.Field(gt=0)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


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
    routing: RoutingConfig = RoutingConfig()


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """One accepted patch.

    :param int number: the version that the patch made.
    :param str patch_id: unique id of the patch.
    :param str operator: who submitted it.
    :param float at: wall-clock time of acceptance, seconds since the epoch.
    :param dict patch: the merge patch.
    :param bool override: whether harm checks were overridden.
    """

    number: int
    patch_id: str
    operator: str
    at: float
    patch: dict
    override: bool = False


@dataclasses.dataclass(frozen=True)
class ConfigVersion:
    """A numbered configuration.

    :param int number: version number, from 1; 0 is the empty configuration.
    :param ConfigDocument document: its content.
    """

    number: int = 0
    document: ConfigDocument = dataclasses.field(default_factory=ConfigDocument)

    def to_json(self):
        """Return the document as JSON text.

        :rtype: str
        """
        return self.document.model_dump_json()

    @classmethod
    def from_json(cls, number, text):
        """Return the version of a JSON text.

        :param int number: version number.
        :param str text: the document.
        :rtype: ConfigVersion
        :raises pydantic.ValidationError: if the document is not valid.
        """
        return cls(number, ConfigDocument.model_validate(json.loads(text)))


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
