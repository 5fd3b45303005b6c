"""States of an endpoint, and how they follow each other."""

import enum


class EndpointState(enum.StrEnum):
    """States of an endpoint."""

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
