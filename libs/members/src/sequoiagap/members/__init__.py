"""Membership of agents and entries: host lists, heartbeats and fencing numbers."""

from sequoiagap.members._directory import (
    MAX_LIST_LAG_S,
    UNLISTED_GRACE_S,
    Directory,
    Member,
)
from sequoiagap.members._fence import (
    EndpointOrder,
    EndpointOrderReply,
    FenceStore,
    IssuedOrder,
    OrderFence,
    OrderKind,
    OrderOutcome,
)
from sequoiagap.members._host_view import HostView, MemberListChange
from sequoiagap.members._liveness import ReportTracker
from sequoiagap.members._messages import (
    DomainSuspect,
    MemberAnnounce,
    MemberHosts,
    MemberReport,
    MemberSuspect,
    host_from_document,
)
from sequoiagap.members._rendezvous import choose, rank

__all__ = [
    "MAX_LIST_LAG_S",
    "UNLISTED_GRACE_S",
    "Directory",
    "DomainSuspect",
    "EndpointOrder",
    "EndpointOrderReply",
    "FenceStore",
    "HostView",
    "IssuedOrder",
    "Member",
    "MemberAnnounce",
    "MemberHosts",
    "MemberListChange",
    "MemberReport",
    "MemberSuspect",
    "OrderFence",
    "OrderKind",
    "OrderOutcome",
    "ReportTracker",
    "choose",
    "host_from_document",
    "rank",
]
