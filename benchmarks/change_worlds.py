"""State-space exploration of the map change protocol: two proposers and one crash.

Usage, from the root: ``python -m benchmarks.change_worlds``. It explores the cases
that take too long for the tests: each rank may crash, as its agent, its engine or
both, while two proposers want the same map or different maps. Prints the number of
states (worlds) that were visited, and whether the exploration was exhaustive.
"""

import itertools
import time

from simulations import group_exploration, group_scenarios, group_world

MAX_STATES = 1_000_000
WANTED_MAPS_BY_NAME = {"one map": ("b", "", ""), "two maps": ("b", "c", "")}
CRASH_KINDS_BY_NAME = {
    "agent": ("agent",),
    "engine, alone or with agent": ("engine", "both"),
}


def main():
    print("| proposers want | dies | rank | worlds | all | CPU s |")
    print("| --- " * 6 + "|")
    cases = itertools.product(
        WANTED_MAPS_BY_NAME, CRASH_KINDS_BY_NAME, range(group_world.RANKS)
    )
    for wanted, crashes, rank in cases:
        scenario = group_scenarios.Scenario(
            (1, 1, 0),
            WANTED_MAPS_BY_NAME[wanted],
            CRASH_KINDS_BY_NAME[crashes],
            crash_ranks=(rank,),
        )
        world = group_scenarios.make_world(scenario)
        started_s = time.process_time()
        visited, complete = group_exploration.explore(world, MAX_STATES)
        elapsed_s = time.process_time() - started_s
        print(
            f"| {wanted} | {crashes} | {rank} | {visited} | "
            f"{'yes' if complete else 'no'} | {elapsed_s:.1f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
