"""Results for callers while a group lacks a rank, by rejection policy of the gateway.

Usage: ``python benchmarks/outages.py [--seeds N ...]``. Prints, as a Markdown table
over all seeds, the share of callers with each result in percent, and the number of
requests per day that wait in vain.
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
    """Return the table row of a policy and an outage of some seconds."""
    worlds = [outage_load.OutageWorld(seed, policy, outage_s).run() for seed in seeds]
    count_by_result = sum(
        (world.count_by_result_ for world in worlds), collections.Counter()
    )
    total = sum(count_by_result.values())
    waits_in_vain = sum(world.rejected_after_wait_ for world in worlds) / len(worlds)
    shares = [f"{100 * count_by_result[column] / total:.1f}" for column in COLUMNS]
    return [f"{outage_s:g}", policy, *shares, f"{waits_in_vain:.0f}"]


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
