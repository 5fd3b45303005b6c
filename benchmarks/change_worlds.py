"""Every world of the change protocol with two proposers and a crash together.

Usage, from the root: ``python -m benchmarks.change_worlds``. It visits
what takes the tests too long: each rank as the one that dies, alone or with its
engine, and proposers that want the same map or different ones. Prints how many
worlds were visited, and whether that was all of them.
"""

import itertools
import time

from simulations import group_exploration, group_scenarios, group_world

MAX_WORLDS = 1_000_000
WANTED = {"one map": ("b", "", ""), "two maps": ("b", "c", "")}
CRASHES = {"agent": ("agent",), "engine, alone or with agent": ("engine", "both")}


def main():
    print("| proposers want | dies | rank | worlds | all | CPU s |")
    print("| --- " * 6 + "|")
    cases = itertools.product(WANTED, CRASHES, range(group_world.RANKS))
    for wanted, crashes, rank in cases:
        scenario = group_scenarios.Scenario(
            (1, 1, 0), WANTED[wanted], CRASHES[crashes], crash_ranks=(rank,)
        )
        world = group_scenarios.make_world(scenario)
        began = time.process_time()
        visited, complete = group_exploration.explore(world, MAX_WORLDS)
        took_s = time.process_time() - began
        print(
            f"| {wanted} | {crashes} | {rank} | {visited} | "
            f"{'yes' if complete else 'no'} | {took_s:.1f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
