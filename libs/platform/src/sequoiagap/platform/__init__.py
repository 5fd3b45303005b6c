"""Client of the platform's object API, host list and watches."""

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
