"""Every world of the change protocol with two proposers and a crash together.

Usage, from the root: ``python -m benchmarks.change_worlds``. It visits
what takes the tests too long: each rank as the one that dies, alone or with its
engine, and proposers that want the same map or different ones. Prints how many
worlds were visited, and whether that was all of them.
"""

import itertools
import time

from tests.experts import change_model, test_change_model

MAX_WORLDS = 1_000_000
WANTED = {"one map": ("b", "", ""), "two maps": ("b", "c", "")}
CRASHES = {"agent": ("agent",), "engine, alone or with agent": ("engine", "both")}


def make_world(wanted, crashes, rank):
    """Return the first world."""
    name = "benchmark"
    test_change_model.SCENARIOS[name] = {
        "rounds": (1, 1, 0),
        "wanted": wanted,
        "crashes": crashes,
        "crash_ranks": (rank,),
    }
    return test_change_model.make_world(name)


def main():
    print("| proposers want | dies | rank | worlds | all | CPU s |")
    print("| --- " * 6 + "|")
    cases = itertools.product(WANTED, CRASHES, range(change_model.RANKS))
    for wanted, crashes, rank in cases:
        world = make_world(WANTED[wanted], CRASHES[crashes], rank)
        began = time.process_time()
        visited, complete = change_model.explore(world, MAX_WORLDS)
        took_s = time.process_time() - began
        print(
            f"| {wanted} | {crashes} | {rank} | {visited} | "
            f"{'yes' if complete else 'no'} | {took_s:.1f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
