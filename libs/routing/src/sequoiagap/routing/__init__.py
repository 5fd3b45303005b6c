"""Choice of an endpoint for an attempt."""

from sequoiagap.routing._context import RouteContext, make_context
from sequoiagap.routing._endpoint import EndpointView
from sequoiagap.routing._policies import POLICIES, prefer

__all__ = ["POLICIES", "EndpointView", "RouteContext", "make_context", "prefer"]
