"""Step-time skew and bytes moved of each planning policy over drift traces.

Usage: ``python benchmarks/expert_maps.py [--layers N] [--seeds N ...]``. Prints
medians over the seeds as a Markdown table; the rows of a trace come from the same
steps.
"""

import argparse
import asyncio
import collections
import dataclasses
import resource
import statistics
import time

from sequoiagap import experts
from sequoiagap.standins import _traces

RANKS = 32
EXPERTS = 64
MODEL_LAYERS = 60
SLOTS = 3
INTERVAL = 20  # steps between plans
INTERVALS = 100
TOKENS_PER_RANK = 512  # in a step
EXPERTS_PER_TOKEN = 8
SMALL_BATCH = 64  # tokens of a rank in a step
LAG_STEPS = 4
LONG_LAG_STEPS = 60
SETTLED_AFTER = 6  # intervals
GAP_EVERY = 7  # every so many-th report of a layer is missing
SLOW_RANK = 5
SLOW_SPEED = 0.6
POLICIES = ("static", "full_replan", "incremental")


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A trace and the conditions around it."""

    name: str
    trace: str
    lag: int = LAG_STEPS
    straggler: bool = False
    tokens_per_rank: int = TOKENS_PER_RANK

    @property
    def assignments(self):
        """Tokens of a step times the experts of each token."""
        return RANKS * self.tokens_per_rank * EXPERTS_PER_TOKEN


SCENARIOS = (
    Scenario("slow drift", "slow_drift"),
    Scenario("sudden flip", "sudden_flip"),
    Scenario("oscillation", "oscillation"),
    Scenario("hot expert", "hot_expert"),
    Scenario("straggling rank", "slow_drift", straggler=True),
    Scenario("lagging counts", "slow_drift", lag=LONG_LAG_STEPS),
    Scenario("small batches", "slow_drift", tokens_per_rank=SMALL_BATCH),
)


@dataclasses.dataclass
class Run:
    """Figures of one policy over one scenario."""

    skews: list = dataclasses.field(default_factory=list)
    to_bound: list = dataclasses.field(default_factory=list)
    times: list = dataclasses.field(default_factory=list)
    moves: int = 0
    changes: int = 0
    plan_s: list = dataclasses.field(default_factory=list)


class Planner:
    """Feeds a policy with lagging, gapped counts, as an agent does."""

    def __init__(self, name, shape, costs):
        self.policy = experts.POLICIES.get(name)(costs)
        self.map = experts.initial_map(shape)
        self.loads = experts.LoadEstimator(shape.layers, shape.experts)
        self.speeds = experts.SpeedEstimator(shape.ranks)
        self.last = self.loads.predict()

    def plan(self, reports, now):
        """Take the reports of an interval and return the next map."""
        counts = {}
        for layer in range(self.map.shape.layers):
            if (now // INTERVAL + layer) % GAP_EVERY == 0:
                continue
            rows = [report[0][layer] for report in reports]
            counts[layer] = [sum(column) for column in zip(*rows, strict=True)]
        self.loads.update(counts)
        for layer, row in counts.items():
            self.last[layer] = [x / sum(row) for x in row]
        loads = [sum(x) for x in zip(*(r[1] for r in reports), strict=True)]
        times = [sum(x) for x in zip(*(r[2] for r in reports), strict=True)]
        self.speeds.update(loads, times)
        given = experts.PlanInput(
            self.map,
            self.loads.predict(),
            self.last,
            self.speeds.speeds_,
            self.loads.effective_tokens(),
        )
        return experts.finish(self.policy.plan(given))


def scaled_costs(layers):
    """Return costs under which the layers that run stand for the whole model."""
    whole = experts.PlanCosts()
    return dataclasses.replace(
        whole, expert_bytes=whole.expert_bytes * MODEL_LAYERS // layers
    )


def run_policy(name, scenario, shape, costs, seed):
    trace = _traces.TRACES.get(scenario.trace)(
        shape.layers, EXPERTS, RANKS, INTERVAL * INTERVALS, INTERVAL, seed
    )
    speeds = [1.0] * RANKS
    if scenario.straggler:
        speeds[SLOW_RANK] = SLOW_SPEED
    planner = Planner(name, shape, costs)
    run = Run()
    reports = collections.deque(maxlen=INTERVAL + scenario.lag)
    for step in range(INTERVAL * INTERVALS):
        counts = trace.sample(step, scenario.assignments)
        reports.append(_run_step(run, planner.map, counts, speeds))
        if step % INTERVAL == INTERVAL - 1 and len(reports) == reports.maxlen:
            began = time.perf_counter()
            planned = planner.plan(list(reports)[:INTERVAL], step)
            run.plan_s.append(time.perf_counter() - began)
            moves = len(experts.moves_between(planner.map, planned))
            run.moves += moves
            run.changes += 1 if moves else 0
            planner.map = planned
    return run


def _run_step(run, placement, counts, speeds):
    slots = placement.shape.slots
    rows = list(zip(placement.rows, counts, strict=True))
    times = [experts.rank_times(row, c, speeds, slots) for row, c in rows]
    longest = sum(max(row) for row in times)
    bound = sum(experts.layer_bound(c, speeds, slots) for c in counts)
    run.skews.append(experts.step_skew(times))
    run.to_bound.append(longest / bound)
    run.times.append(longest)
    rank_time = [sum(column) for column in zip(*times, strict=True)]
    rank_load = [t * speed for t, speed in zip(rank_time, speeds, strict=True)]
    return counts, rank_load, rank_time


def print_scenario(scenario, shape, costs, seeds):
    """Print the median over the seeds of each figure of each policy."""
    rows = {policy: [] for policy in POLICIES}
    for seed in seeds:
        runs = {p: run_policy(p, scenario, shape, costs, seed) for p in POLICIES}
        for name, run in runs.items():
            rows[name].append(_figures(run, runs["full_replan"], costs))
    for name, figures in rows.items():
        medians = [statistics.median(column) for column in zip(*figures, strict=True)]
        mean, p95, ratio, bound, settled, answers, moved, share, *rest = medians
        changes, pauses, plan_ms = rest
        print(
            f"| {scenario.name} | {name} | {mean:.3f} | {p95:.3f} | {ratio:.3f} | "
            f"{bound:.3f} | {settled:.3f} | {answers:.3f} | {moved:.2f} | "
            f"{share:.3f} | {changes:.0f} | {pauses:.2f} | {plan_ms:.1f} |",
            flush=True,
        )


def _figures(run, full, costs):
    mean = statistics.mean(run.skews)
    return (
        mean,
        statistics.quantiles(run.skews, n=20)[-1],
        mean / statistics.mean(full.skews),
        statistics.mean(run.to_bound),
        statistics.median(run.to_bound[INTERVAL * SETTLED_AFTER :]),
        sum(full.times) / sum(run.times),
        run.moves * costs.expert_bytes / 1e12,
        run.moves / full.moves if full.moves else 0.0,
        run.changes,
        run.changes * costs.pause_s,
        statistics.median(run.plan_s) * 1000,
    )


async def measure_planning(layers, seed):
    """Plan at full size while a probe watches the event loop."""
    shape = experts.MapShape(layers, RANKS, EXPERTS, SLOTS)
    trace = _traces.SlowDrift(layers, EXPERTS, RANKS, 1000, INTERVAL, seed)
    loads = trace.shares(0)
    given = experts.PlanInput(experts.initial_map(shape), loads, loads, [1.0] * RANKS)
    for name in POLICIES:
        policy = experts.POLICIES.get(name)(experts.PlanCosts())
        gaps = []
        probe = asyncio.create_task(_watch_loop(gaps))
        began = time.perf_counter()
        cpu = time.process_time()
        planned = await experts.finish_in_slices(policy.plan(given))
        took = time.perf_counter() - began
        cpu = time.process_time() - cpu
        probe.cancel()
        moves = len(experts.moves_between(given.current, planned))
        print(
            f"| {name} | {took * 1000:.0f} | {cpu * 1000:.0f} | "
            f"{max(gaps, default=0) * 1000:.1f} | {moves} |"
        )


async def _watch_loop(gaps):
    last = time.perf_counter()
    while True:
        await asyncio.sleep(0)
        now = time.perf_counter()
        gaps.append(now - last)
        last = now


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--layers", type=int, default=4)
    parser.add_argument("--planning-layers", type=int, default=MODEL_LAYERS)
    parser.add_argument("--traces", nargs="*", help="names; all by default")
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2, 3])
    options = parser.parse_args()
    shape = experts.MapShape(options.layers, RANKS, EXPERTS, SLOTS)
    costs = scaled_costs(options.layers)
    print(
        "| trace | policy | skew mean | skew p95 | skew to full | "
        "to bound, mean | to bound, settled median | answers to full | TB moved | "
        "moved to full | changes | pauses s | plan ms |"
    )
    print("| --- " * 13 + "|")
    for scenario in SCENARIOS:
        if options.traces and scenario.name not in options.traces:
            continue
        print_scenario(scenario, shape, costs, options.seeds)
    print("\n| policy | plan ms | CPU ms | longest loop gap ms | moves |")
    print("| --- " * 5 + "|")
    asyncio.run(measure_planning(options.planning_layers, options.seeds[0]))
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"\npeak resident memory of this run: {peak:.0f} MB")


if __name__ == "__main__":
    main()
