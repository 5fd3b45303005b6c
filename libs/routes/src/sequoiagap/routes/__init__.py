"""Data model of routes, services, client accounts and endpoints."""

from sequoiagap.routes._freshness import Freshness, suspend_aware_time
from sequoiagap.routes._model import (
    ClientAccount,
    Endpoint,
    EndpointState,
    EngineProfile,
    RequestKind,
    RequestLimits,
    Route,
    Service,
    WeightedTarget,
)
from sequoiagap.routes._route_table import RouteTable

__all__ = [
    "ClientAccount",
    "Endpoint",
    "EndpointState",
    "EngineProfile",
    "Freshness",
    "RequestKind",
    "RequestLimits",
    "Route",
    "RouteTable",
    "Service",
    "WeightedTarget",
    "suspend_aware_time",
]
