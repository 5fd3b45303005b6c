"""Choice of an endpoint for an attempt."""

from sequoiagap.routing._endpoint import EndpointView
from sequoiagap.routing._policies import POLICIES, expected_wait_s

__all__ = ["POLICIES", "EndpointView", "expected_wait_s"]
