"""Scenarios for the exploration of a simulated rank group."""

import dataclasses

from simulations import group_world


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Limits the rounds, maps and crashes of a group.

    :param tuple rounds: maximum number of rounds that each rank starts.
    :param tuple wanted: digest of the map that each rank proposes; empty for none.
    :param tuple crashes: kinds of crash; at most one crash happens.
    :param tuple crash_ranks: ranks that may crash.
    """

    rounds: tuple[int, ...]
    wanted: tuple[str, ...] = ("b", "", "")
    crashes: tuple[str, ...] = ()
    crash_ranks: tuple[int, ...] = tuple(range(group_world.RANKS))


def make_world(scenario, **types):
    """Return the initial world of a scenario.

    :param Scenario scenario: scenario to set up.
    :param types: parameters of :class:`group_world.World`.
    :rtype: World
    """
    world = group_world.World(**types)
    world.rounds_left = list(scenario.rounds)
    world.wanted = list(scenario.wanted)
    world.crash_kinds = scenario.crashes
    world.crash_ranks = scenario.crash_ranks
    world.crashes_left = 1 if scenario.crashes else 0
    for engine in world.engines:
        for digest in filter(None, world.wanted):
            engine.stage(digest)
    return world
