"""Client of the platform's object API, host list and watches."""

from sequoiagap.platform._client import (
    HostEntry,
    ObjectConflict,
    PlatformClient,
    StoredObject,
)

__all__ = ["HostEntry", "ObjectConflict", "PlatformClient", "StoredObject"]
