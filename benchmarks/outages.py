"""What callers get while a group lacks a rank, for each policy of refusing.

Usage: ``python benchmarks/outages.py [--seeds N ...]``. Prints shares of all callers in
percent, over the seeds, as a Markdown table; waits in vain are requests a day.
"""

import argparse
import collections

from simulations import outage_load

OUTAGES_S = (3.0, 5.0, 5.8, 8.0, 12.0)
COLUMNS = (
    outage_load.Result.IN_TIME,
    outage_load.Result.LATE,
    outage_load.Result.REFUSED_AGAIN,
)


def measure(policy, outage_s, seeds):
    """Return the table row of a policy and an outage."""
    worlds = [outage_load.OutageWorld(seed, policy, outage_s).run() for seed in seeds]
    counts = sum((world.count_by_result_ for world in worlds), collections.Counter())
    total = sum(counts.values())
    vain = sum(world.rejected_after_wait_ for world in worlds) / len(worlds)
    shares = [f"{100 * counts[column] / total:.1f}" for column in COLUMNS]
    return [f"{outage_s:g}", policy, *shares, f"{vain:.0f}"]


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    seeds = parser.parse_args().seeds
    titles = ["outage s", "policy", *COLUMNS, "waits in vain"]
    print("| " + " | ".join(titles) + " |")
    print("| --- " * len(titles) + "|")
    for outage_s in OUTAGES_S:
        for policy in outage_load.POLICY_BY_NAME:
            print("| " + " | ".join(measure(policy, outage_s, seeds)) + " |")


if __name__ == "__main__":
    main()
