"""Policies that choose an endpoint for an attempt."""

from sequoiagap.routing._context import RouteContext, make_context
from sequoiagap.routing._endpoint_view import EndpointView
from sequoiagap.routing._policies import POLICIES, choose_by_prefix, filter_by_role

__all__ = [
    "POLICIES",
    "EndpointView",
    "RouteContext",
    "filter_by_role",
    "make_context",
    "choose_by_prefix",
]
