"""Validated models of settings files, in JSON with comments."""

from sequoiagap.settings._loader import (
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
    KeysFile,
    PlatformSettings,
    SettingsModel,
    TlsSettings,
)

__all__ = [
    "AgentSettings",
    "EndpointSettings",
    "EntrySettings",
    "KeysFile",
    "PlatformSettings",
    "SettingsModel",
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
