"""Validated settings of each role, read from files in JSON with comments."""

from sequoiagap.settings._loader import (
    ADAPTED_ROLES,
    check_files,
    load,
    load_keys,
    load_secret,
    load_tls,
    parse_document,
    read_document,
    schema,
)
from sequoiagap.settings._models import (
    AgentSettings,
    EndpointSettings,
    EntrySettings,
    GatewaySettings,
    KeysFile,
    PlatformSettings,
    RankSettings,
    SettingsModel,
    StoreSettings,
    TlsSettings,
)

__all__ = [
    "ADAPTED_ROLES",
    "AgentSettings",
    "EndpointSettings",
    "EntrySettings",
    "GatewaySettings",
    "KeysFile",
    "PlatformSettings",
    "RankSettings",
    "SettingsModel",
    "StoreSettings",
    "TlsSettings",
    "check_files",
    "load",
    "load_keys",
    "load_secret",
    "load_tls",
    "parse_document",
    "read_document",
    "schema",
]
