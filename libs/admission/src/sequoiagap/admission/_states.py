"""States of an endpoint and the transitions between them."""

import enum


class EndpointState(enum.StrEnum):
    """State of an endpoint as its agent reports it."""

    STARTING = "starting"
    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
    DRAINING = "draining"
    GONE = "gone"


NOT_SERVING = (EndpointState.DRAINING, EndpointState.GONE)
RAMPING = (EndpointState.COLD, EndpointState.WARMING)
PAST_COLD = (EndpointState.WARMING, EndpointState.WARM)

TRANSITIONS = [
    ["found_cold", ["starting", "cold", "warming", "warm"], "cold"],
    ["begin_warming", "cold", "warming"],
    ["found_warm", ["starting", "warming"], "warm"],
    ["drain", ["starting", "cold", "warming", "warm"], "draining"],
    ["undrain", "draining", "cold"],
    ["restart", "draining", "starting"],
    ["leave", "*", "gone"],
]
