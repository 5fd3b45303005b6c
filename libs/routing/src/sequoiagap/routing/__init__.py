"""Choice of an endpoint for an attempt."""

from sequoiagap.routing._context import RouteContext, make_context
from sequoiagap.routing._endpoint import EndpointView
from sequoiagap.routing._policies import POLICIES, filter_by_role, prefer

__all__ = [
    "POLICIES",
    "EndpointView",
    "RouteContext",
    "filter_by_role",
    "make_context",
    "prefer",
]
