"""Service quality while a failure domain goes away and returns, by routing policy.

Usage: ``python -m benchmarks.domain_move [--seconds N] [--rate N] [--runs N]
[--policies A,B] [--moves A,B] [--seed N] [--json FILE]``.

For each move (way in which the domain goes away) and each policy, a large and a small
client account load a new fleet through five phases: normal, leaving, away, returning,
after. Policies alternate within each run; medians over the runs are printed.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import random
import signal
import statistics
import sys
import tempfile

from sequoiagap import standins

SEED = 11
DOMAIN = "north"
POLICIES = ("expected_wait", "least_in_flight", "round_robin")
MOVES = ("ordered", "killed", "paused", "flapping")
PHASES = ("normal", "leaving", "away", "returning", "after")
LARGE_SHARE = 0.9
FLAP_COUNT = 3
WARM_UP_S = 5.0
ROW = "{:<10}{:<17}{:<11}{:<7}" + "{:>8}" * 5 + "{:>9}" * 3 + "{:>9}"
HEAD = ("move", "policy", "phase", "account", "sent", "answered", "refused")
HEAD += ("unknown", "cut", "p50 ms", "p95 ms", "p99 ms", "offered")


@dataclasses.dataclass(frozen=True)
class Run:
    """Parameters of a run of one fleet under one move and one policy.

    :param str move: one of ``MOVES``.
    :param str policy: routing policy that selects endpoints.
    :param float seconds: length of each phase, in seconds.
    :param float rate: requests per second of both accounts together.
    :param int seed: random seed of the load.
    """

    move: str
    policy: str
    seconds: float
    rate: float
    seed: int


def make_plan(policy):
    """Return a fleet of twelve model servers in three failure domains.

    :param str policy: routing policy that selects endpoints.
    :rtype: sequoiagap.standins.FleetPlan
    """
    return standins.FleetPlan(
        entries=4,
        engines_per_domain=4,
        services_per_domain=0,
        accounts=("large", "small"),
        engine={
            "step_s": 0.02,
            "tokens": 20,
            "cold_capacity": 2,
            "capacity": 8,
            "cold_s": 2.0,
            "cold_slowdown": 2.0,
            "prefill_s_per_kb": 0.02,
        },
        endpoint={"warm_limit": 8, "cold_limit": 2, "warm_up_s": 2.0},
        config={"routing": {"policy": policy}},
    )


class DomainMover:
    """Takes a failure domain of a fleet out of service and restores it.

    :param sequoiagap.standins.Fleet fleet: the running fleet.
    """

    def __init__(self, fleet):
        self.fleet = fleet

    async def take_away(self, move):
        """Take the failure domain out of service.

        :param str move: one of ``MOVES``.
        """
        if move in ("ordered", "flapping"):
            await self._order("out")
        elif move == "killed":
            await asyncio.gather(*(p.kill() for p in self._processes()))
        else:
            self._signal(signal.SIGSTOP)

    async def restore(self, move):
        """Bring the failure domain back into service.

        :param str move: one of ``MOVES``.
        """
        if move == "ordered":
            await self._order("in")
        elif move == "flapping":
            for _ in range(FLAP_COUNT):
                await self._order("in")
                await asyncio.sleep(0.3)
                await self._order("out")
                await asyncio.sleep(0.3)
            await self._order("in")
        elif move == "killed":
            await asyncio.gather(*(self._start(name) for name in self._names()))
        else:
            self._signal(signal.SIGCONT)

    async def _order(self, state):
        await self.fleet.patch_config(
            {"failure_domains": {DOMAIN: {"state": state}}}, entry="entry-1"
        )

    async def _start(self, name):
        parameters = self.fleet.plan.engine
        await self.fleet.start_stand_in(f"{name}-target", "engine", parameters)
        await self.fleet.start_agent(name)

    def _signal(self, number):
        for process in self._processes():
            process.send_signal(number)

    def _names(self):
        return [n for n in self.fleet.endpoint_names() if n.startswith(DOMAIN)]

    def _processes(self):
        by_name = self.fleet.process_by_name
        names = self._names()
        return [by_name[n] for n in names] + [by_name[f"{n}-target"] for n in names]


async def measure(run):
    """Run one fleet through all phases.

    Each domain has an entry. Callers use only the entries of the domains that stay in
    service, to which the platform's balancer would send them when hosts are lost.

    :param Run run: parameters of the run.
    :returns: results of the load, and attempts sent to agents by phase.
    :rtype: tuple[sequoiagap.standins.LoadReports, dict]
    """
    with tempfile.TemporaryDirectory() as folder:
        plan = make_plan(run.policy)
        async with standins.Fleet(plan, pathlib.Path(folder)) as fleet:
            await _warm_up(fleet)
            return await _measure_phases(run, fleet)


async def _measure_phases(run, fleet):
    urls = [fleet.url(name) for name in ("entry-1", "entry-2")]
    loads = [
        standins.AccountLoad("large", run.rate * LARGE_SHARE, prompt_kb=2, prefixes=40),
        standins.AccountLoad(
            "small", run.rate * (1 - LARGE_SHARE), prompt_kb=2, prefixes=10
        ),
    ]
    generator = standins.LoadGenerator(urls, loads, random.Random(run.seed))
    mover = DomainMover(fleet)
    offered = {}
    sending = asyncio.create_task(generator.run(run.seconds * len(PHASES)))
    for phase in PHASES:
        generator.phase_ = phase
        before = await _count_attempts(fleet)
        started_at = asyncio.get_running_loop().time()
        if phase == "leaving":
            await mover.take_away(run.move)
        if phase == "returning":
            await mover.restore(run.move)
        elapsed_s = asyncio.get_running_loop().time() - started_at
        await asyncio.sleep(max(run.seconds - elapsed_s, 0))
        offered[phase] = await _count_attempts(fleet) - before
    book = await sending
    return book, offered


async def _warm_up(fleet):
    """Send load until every endpoint is warm."""
    urls = [fleet.url(name) for name in fleet.entry_names()]
    loads = [standins.AccountLoad("large", 120.0)]
    await standins.LoadGenerator(urls, loads, random.Random(SEED)).run(WARM_UP_S)


async def _count_attempts(fleet):
    """Return how many attempts the entries in use have sent to agents."""
    total = 0
    for name in ("entry-1", "entry-2"):
        _, state = await fleet.call(name, "GET", "/state")
        total += state["admission"]["first_attempts"] + state["admission"]["retries"]
    return total


def summarise(runs_by_key):
    """Return the medians by move, policy, phase and account.

    :param dict runs_by_key: lists of results of :func:`measure` by ``(move, policy)``.
    :rtype: list[dict]
    """
    rows = []
    for (move, policy), results in runs_by_key.items():
        for phase in PHASES:
            for account in ("large", "small", None):
                rows.append(_make_row(move, policy, phase, account, results))
    return rows


def _make_row(move, policy, phase, account, results):
    reports = [book.total(phase, account) for book, _ in results]
    offered = [
        counts[phase] / max(report.sent, 1)
        for (_, counts), report in zip(results, reports, strict=True)
    ]
    cut = [
        r.count_by_result.get("cut", 0) + r.count_by_result.get("connection_lost", 0)
        for r in reports
    ]
    return {
        "move": move,
        "policy": policy,
        "phase": phase,
        "account": account or "both",
        "sent": _median(r.sent for r in reports),
        "answered": _median(r.answered for r in reports),
        "refused": _median(r.refused for r in reports),
        "unknown": _median(r.unknown for r in reports),
        "cut": _median(cut),
        "p50": round(_median(r.first_byte_ms(0.5) for r in reports), 1),
        "p95": round(_median(r.first_byte_ms(0.95) for r in reports), 1),
        "p99": round(_median(r.first_byte_ms(0.99) for r in reports), 1),
        "offered": round(_median(offered), 3) if account is None else "",
        "kinds": [r.refusals() for r in reports],
    }


def _median(values):
    return statistics.median(list(values))


def print_rows(rows):
    """Print the rows as a table.

    :param list[dict] rows: rows of :func:`summarise`.
    """
    print(ROW.format(*HEAD))
    for row in rows:
        values = [value for key, value in row.items() if key != "kinds"]
        print(ROW.format(*values), {k: n for d in row["kinds"] for k, n in d.items()})


async def main():
    """Parse the arguments, run all combinations and print the medians."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=5.0, help="of each phase")
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--moves", default=",".join(MOVES))
    parser.add_argument("--seed", type=int, default=SEED, help="of the first run")
    parser.add_argument("--json", type=pathlib.Path)
    options = parser.parse_args()
    runs_by_key = {}
    for number in range(options.runs):
        for move in options.moves.split(","):
            for policy in options.policies.split(","):
                run = Run(
                    move, policy, options.seconds, options.rate, options.seed + number
                )
                result = await measure(run)
                runs_by_key.setdefault((move, policy), []).append(result)
                print(f"run {number} {move} {policy} done", file=sys.stderr)
    rows = summarise(runs_by_key)
    print_rows(rows)
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    asyncio.run(main())
