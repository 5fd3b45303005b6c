"""Numbered configuration versions: documents, patches, storage and spread."""

from sequoiagap.config._document import (
    AccountConfig,
    ConfigDocument,
    ConfigVersion,
    DomainConfig,
    EndpointConfig,
    HistoryEntry,
    ModelConfig,
    RoutingConfig,
    ServiceConfig,
    merge_patch,
)
from sequoiagap.config._holder import ConfigHolder
from sequoiagap.config._messages import ConfigBody, ConfigOffer, ConfigPull
from sequoiagap.config._store import CONFIG_OBJECT, ConfigStore, Patch, parse_stored

__all__ = [
    "CONFIG_OBJECT",
    "AccountConfig",
    "ConfigBody",
    "ConfigDocument",
    "ConfigHolder",
    "ConfigOffer",
    "ConfigPull",
    "ConfigStore",
    "ConfigVersion",
    "DomainConfig",
    "EndpointConfig",
    "HistoryEntry",
    "ModelConfig",
    "Patch",
    "RoutingConfig",
    "ServiceConfig",
    "merge_patch",
    "parse_stored",
]
