"""Step-time skew and bytes moved of each placement policy on load drift traces.

Usage: ``python benchmarks/expert_maps.py [--layers N] [--seeds N ...]``. Prints
medians over the seeds as a Markdown table; all policies run on the same steps of a
trace.
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
SLOTS_PER_RANK = 3
PLAN_INTERVAL_STEPS = 20
PLAN_INTERVALS = 100
TOKENS_PER_RANK = 512  # per step
EXPERTS_PER_TOKEN = 8
SMALL_TOKENS_PER_RANK = 64  # per step
LAG_STEPS = 4
LONG_LAG_STEPS = 60
SETTLE_INTERVALS = 6
MISSING_REPORT_PERIOD = 7  # one report in this many is missing, per layer
SLOW_RANK = 5
SLOW_SPEED = 0.6
POLICIES = ("static", "full_replan", "incremental")


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A load trace and the conditions under which it runs.

    :param str name: name in the printed table.
    :param str trace: name of the trace.
    :param int lag: age of the newest counts in a plan, in steps.
    :param bool straggler: whether one rank is slow.
    :param int tokens_per_rank: tokens of a rank per step.
    """

    name: str
    trace: str
    lag: int = LAG_STEPS
    straggler: bool = False
    tokens_per_rank: int = TOKENS_PER_RANK

    @property
    def assignments(self):
        """Token-to-expert assignments of all ranks per step."""
        return RANKS * self.tokens_per_rank * EXPERTS_PER_TOKEN


SCENARIOS = (
    Scenario("slow drift", "slow_drift"),
    Scenario("sudden flip", "sudden_flip"),
    Scenario("oscillation", "oscillation"),
    Scenario("hot expert", "hot_expert"),
    Scenario("straggling rank", "slow_drift", straggler=True),
    Scenario("lagging counts", "slow_drift", lag=LONG_LAG_STEPS),
    Scenario("small batches", "slow_drift", tokens_per_rank=SMALL_TOKENS_PER_RANK),
)


@dataclasses.dataclass
class PolicyResult:
    """Measurements of one policy in one scenario.

    :ivar list skews: step-time skew of each step.
    :ivar list bound_ratios: step time over its lower bound, by step.
    :ivar list times: time of each step.
    :ivar int moves: experts moved between slots.
    :ivar int changes: plans that moved any expert.
    :ivar list plan_s: time of each planning, in seconds.
    """

    skews: list = dataclasses.field(default_factory=list)
    bound_ratios: list = dataclasses.field(default_factory=list)
    times: list = dataclasses.field(default_factory=list)
    moves: int = 0
    changes: int = 0
    plan_s: list = dataclasses.field(default_factory=list)


class Planner:
    """Feeds a policy with delayed and incomplete counts, as an agent does."""

    def __init__(self, name, shape, costs):
        self.policy = experts.POLICIES.get(name)(costs)
        self.map = experts.initial_map(shape)
        self.loads = experts.LoadEstimator(shape.layers, shape.experts)
        self.speeds = experts.SpeedEstimator(shape.ranks)
        self.last = self.loads.predict()

    def plan(self, reports, now):
        """Record the reports of one interval and return the next map."""
        counts = {}
        for layer in range(self.map.shape.layers):
            if (now // PLAN_INTERVAL_STEPS + layer) % MISSING_REPORT_PERIOD == 0:
                continue
            rows = [report[0][layer] for report in reports]
            counts[layer] = [sum(column) for column in zip(*rows, strict=True)]
        self.loads.update(counts)
        for layer, row in counts.items():
            self.last[layer] = [x / sum(row) for x in row]
        loads = [sum(x) for x in zip(*(r[1] for r in reports), strict=True)]
        times = [sum(x) for x in zip(*(r[2] for r in reports), strict=True)]
        self.speeds.update(loads, times)
        plan_input = experts.PlanInput(
            self.map,
            self.loads.predict(),
            self.last,
            self.speeds.speeds_,
            self.loads.effective_tokens(),
        )
        return experts.finish(self.policy.plan(plan_input))


def scale_costs(layers):
    """Return planning costs that scale the simulated layers to the whole model."""
    model_costs = experts.PlanCosts()
    return dataclasses.replace(
        model_costs, expert_bytes=model_costs.expert_bytes * MODEL_LAYERS // layers
    )


def run_policy(name, scenario, shape, costs, seed):
    trace = _traces.TRACES.get(scenario.trace)(
        shape.layers,
        EXPERTS,
        RANKS,
        PLAN_INTERVAL_STEPS * PLAN_INTERVALS,
        PLAN_INTERVAL_STEPS,
        seed,
    )
    speeds = [1.0] * RANKS
    if scenario.straggler:
        speeds[SLOW_RANK] = SLOW_SPEED
    planner = Planner(name, shape, costs)
    run = PolicyResult()
    reports = collections.deque(maxlen=PLAN_INTERVAL_STEPS + scenario.lag)
    for step in range(PLAN_INTERVAL_STEPS * PLAN_INTERVALS):
        counts = trace.sample(step, scenario.assignments)
        reports.append(_run_step(run, planner.map, counts, speeds))
        if (
            step % PLAN_INTERVAL_STEPS == PLAN_INTERVAL_STEPS - 1
            and len(reports) == reports.maxlen
        ):
            started_at = time.perf_counter()
            planned = planner.plan(list(reports)[:PLAN_INTERVAL_STEPS], step)
            run.plan_s.append(time.perf_counter() - started_at)
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
    run.bound_ratios.append(longest / bound)
    run.times.append(longest)
    rank_time = [sum(column) for column in zip(*times, strict=True)]
    rank_load = [t * speed for t, speed in zip(rank_time, speeds, strict=True)]
    return counts, rank_load, rank_time


def print_scenario(scenario, shape, costs, seeds):
    """Print the medians over the seeds of each policy in a scenario."""
    rows = {policy: [] for policy in POLICIES}
    for seed in seeds:
        runs = {p: run_policy(p, scenario, shape, costs, seed) for p in POLICIES}
        for name, run in runs.items():
            rows[name].append(_summarise(run, runs["full_replan"], costs))
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


def _summarise(run, full, costs):
    mean = statistics.mean(run.skews)
    return (
        mean,
        statistics.quantiles(run.skews, n=20)[-1],
        mean / statistics.mean(full.skews),
        statistics.mean(run.bound_ratios),
        statistics.median(run.bound_ratios[PLAN_INTERVAL_STEPS * SETTLE_INTERVALS :]),
        sum(full.times) / sum(run.times),
        run.moves * costs.expert_bytes / 1e12,
        run.moves / full.moves if full.moves else 0.0,
        run.changes,
        run.changes * costs.pause_s,
        statistics.median(run.plan_s) * 1000,
    )


async def measure_planning(layers, seed):
    """Plan at full size and print times and the longest gap of the event loop."""
    shape = experts.MapShape(layers, RANKS, EXPERTS, SLOTS_PER_RANK)
    trace = _traces.SlowDrift(layers, EXPERTS, RANKS, 1000, PLAN_INTERVAL_STEPS, seed)
    loads = trace.shares(0)
    plan_input = experts.PlanInput(
        experts.initial_map(shape), loads, loads, [1.0] * RANKS
    )
    for name in POLICIES:
        policy = experts.POLICIES.get(name)(experts.PlanCosts())
        gaps = []
        probe = asyncio.create_task(_measure_loop_gaps(gaps))
        started_at = time.perf_counter()
        cpu = time.process_time()
        planned = await experts.finish_in_slices(policy.plan(plan_input))
        elapsed_s = time.perf_counter() - started_at
        cpu = time.process_time() - cpu
        probe.cancel()
        moves = len(experts.moves_between(plan_input.current, planned))
        print(
            f"| {name} | {elapsed_s * 1000:.0f} | {cpu * 1000:.0f} | "
            f"{max(gaps, default=0) * 1000:.1f} | {moves} |"
        )


async def _measure_loop_gaps(gaps):
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
    shape = experts.MapShape(options.layers, RANKS, EXPERTS, SLOTS_PER_RANK)
    costs = scale_costs(options.layers)
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
