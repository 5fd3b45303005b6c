"""Versioned configuration: documents, patches, storage and propagation."""

from sequoiagap.config._channel import ConfigChannel
from sequoiagap.config._document import (
    AccountConfig,
    ConfigDocument,
    DomainConfig,
    EndpointConfig,
    ModelConfig,
    RoutingConfig,
    ServiceConfig,
    merge_patch,
    unknown_keys,
)
from sequoiagap.config._harm import (
    HARM_CHECKS,
    EndpointFact,
    Harm,
    HarmFacts,
    find_harm,
)
from sequoiagap.config._head import CONFIG_OBJECT, Head, parse_head
from sequoiagap.config._history import KEPT_SEGMENTS, SEGMENT_ENTRIES, HistoryEntry
from sequoiagap.config._holder import ConfigHolder
from sequoiagap.config._local import LocalOrder
from sequoiagap.config._messages import (
    ConfigBody,
    ConfigDelta,
    ConfigOffer,
    ConfigPull,
    LocalDomainOut,
)
from sequoiagap.config._newest import (
    NEWEST_OBJECT,
    NewestPatches,
    NewestWriter,
    newest_patches,
    parse_newest,
)
from sequoiagap.config._patch import Patch, patch_from_json
from sequoiagap.config._replica import ConfigReplica, local_message
from sequoiagap.config._store import SUBMIT_TIMEOUT_S, ConfigStore
from sequoiagap.config._version import ConfigVersion, Step
from sequoiagap.config._watch_schedule import PERMANENT_WATCHERS, WatchSchedule
from sequoiagap.config._writer import Accepted

__all__ = [
    "CONFIG_OBJECT",
    "HARM_CHECKS",
    "KEPT_SEGMENTS",
    "NEWEST_OBJECT",
    "PERMANENT_WATCHERS",
    "SEGMENT_ENTRIES",
    "SUBMIT_TIMEOUT_S",
    "Accepted",
    "AccountConfig",
    "ConfigBody",
    "ConfigChannel",
    "ConfigDelta",
    "ConfigDocument",
    "ConfigHolder",
    "ConfigOffer",
    "ConfigPull",
    "ConfigReplica",
    "ConfigStore",
    "ConfigVersion",
    "DomainConfig",
    "EndpointConfig",
    "EndpointFact",
    "Harm",
    "HarmFacts",
    "Head",
    "HistoryEntry",
    "LocalDomainOut",
    "LocalOrder",
    "ModelConfig",
    "NewestPatches",
    "NewestWriter",
    "Patch",
    "RoutingConfig",
    "ServiceConfig",
    "Step",
    "WatchSchedule",
    "find_harm",
    "local_message",
    "merge_patch",
    "newest_patches",
    "parse_head",
    "parse_newest",
    "patch_from_json",
    "unknown_keys",
]
