"""Validated models of settings files, in JSON with comments."""

from sequoiagap.settings._loader import load, load_keys, load_secret
from sequoiagap.settings._models import (
    AgentSettings,
    EndpointSettings,
    EntrySettings,
    PlatformSettings,
    SettingsModel,
)

__all__ = [
    "AgentSettings",
    "EndpointSettings",
    "EntrySettings",
    "PlatformSettings",
    "SettingsModel",
    "load",
    "load_keys",
    "load_secret",
]
