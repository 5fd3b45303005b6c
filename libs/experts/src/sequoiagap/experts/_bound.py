"""Rank times under an expert map, and a lower bound over all maps."""

import math

BISECTION_STEPS = 40


def rank_times(row, loads, speeds, slots):
    """Return the time of each rank in one layer.

    The load of an expert is split evenly among its replicas.

    :param tuple row: expert ids of the layer, rank by rank.
    :param list loads: load of each expert.
    :param list speeds: relative speed of each rank.
    :param int slots: slots per rank.
    :returns: load divided by speed for each rank.
    :rtype: list[float]

    >>> rank_times((0, 1, 2, 0), [2.0, 1.0, 3.0], [1.0, 0.5], 2)
    [2.0, 8.0]
    """
    copies = [0] * len(loads)
    for expert in row:
        copies[expert] += 1
    shares = [load / max(n, 1) for load, n in zip(loads, copies, strict=True)]
    times = []
    for rank, speed in enumerate(speeds):
        held = row[rank * slots : (rank + 1) * slots]
        times.append(sum(shares[expert] for expert in held) / speed)
    return times


def layer_bound(loads, speeds, slots):
    """Return a lower bound of the longest rank time over all placements.

    The bound is the larger of two times: that of a load split in proportion to the
    speeds, and the shortest one for which the required replicas fit into the slots.

    :param list loads: load of each expert.
    :param list speeds: relative speed of each rank.
    :param int slots: slots per rank.
    :rtype: float

    >>> round(layer_bound([9.0, 1.0, 1.0, 1.0], [1.0, 1.0], 2), 6)
    9.0
    """
    even = sum(loads) / sum(speeds)
    fastest = max(speeds)
    capacity = len(speeds) * slots
    low, high = even, max(even, max(loads) / fastest)
    if _fits(loads, low * fastest, capacity, len(speeds)):
        return low
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _fits(loads, middle * fastest, capacity, len(speeds)):
            high = middle
        else:
            low = middle
    return high


def step_skew(times_by_layer):
    """Return the ratio of longest to mean rank time, both summed over the layers.

    :param list times_by_layer: time of each rank, layer by layer.
    :rtype: float

    >>> step_skew([[1.0, 3.0]])
    1.5
    """
    longest = sum(max(times) for times in times_by_layer)
    mean = sum(sum(times) / len(times) for times in times_by_layer)
    return longest / mean


def _fits(loads, largest_share, capacity, ranks):
    needed = 0
    for load in loads:
        copies = max(math.ceil(load / largest_share - 1e-9), 1)
        if copies > ranks:
            return False
        needed += copies
    return needed <= capacity
