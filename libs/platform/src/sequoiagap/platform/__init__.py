"""HTTP client of the platform: versioned objects, watches and host list."""

from sequoiagap.platform._client import (
    MAX_VALUE_BYTES,
    HostEntry,
    ObjectConflict,
    PlatformClient,
    StoredObject,
)
from sequoiagap.platform._sessions import UNTIMED, HttpSessions

__all__ = [
    "MAX_VALUE_BYTES",
    "UNTIMED",
    "HostEntry",
    "HttpSessions",
    "ObjectConflict",
    "PlatformClient",
    "StoredObject",
]
