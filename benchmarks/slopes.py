"""Growth of memory, processor time and traffic of entries and agents with load.

Usage: ``python -m benchmarks.slopes [--seconds N] [--counts 3,30,100,200]
[--rates 0,20,60] [--accounts 10,100,400] [--json FILE]``.

One real entry is connected to light agents, or one real agent to light entries; the
light side implements only the wire protocol and runs in the process of the benchmark.
Resident memory is read from ``/proc/PID/status``, processor time from
``/proc/PID/stat`` and traffic from the connections of the light side. Slopes come from
a least-squares line over the counts.
"""

import argparse
import asyncio
import dataclasses
import functools
import json
import os
import pathlib
import random
import tempfile
import time

import numpy
from benchmarks import light

from sequoiagap import base, standins

SEED = 3
SETTLE_S = 3.0
ACCOUNT_PREFIX = "account"
MAX_LINKS = 127
FEW_LINKS = 30
CONFIG_CHANGES_PER_S = 39_000 / 86_400
TOKEN_REQUESTS_PER_S = 10
ROW = "{:<34}{:>8}{:>12}{:>12}{:>14}{:>14}"
COLUMN_TITLES = (
    "subject",
    "count",
    "resident MB",
    "cpu %",
    "bytes in /s",
    "bytes out /s",
)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True)
class Usage:
    """Resource usage of a process so far.

    :param float resident_mb: resident memory in 2**20 bytes.
    :param float cpu_s: processor time in seconds.
    :param float read_at: monotonic time of the reading in seconds.
    """

    resident_mb: float
    cpu_s: float
    read_at: float


def read_usage(pid):
    """Return the resource usage of a process.

    :param int pid: process id.
    :rtype: Usage
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS:"))
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return Usage(int(line.split()[1]) / 1024, cpu_s, time.monotonic())


class Testbed:
    """A fleet that starts empty; measured entries and light agents are added to it.

    :param pathlib.Path folder: folder of settings and logs.
    :param int accounts: number of client accounts.
    :param int max_links: largest number of agents that an entry connects to.
    """

    def __init__(self, folder, accounts=10, max_links=MAX_LINKS):
        names = tuple(f"{ACCOUNT_PREFIX}-{i}" for i in range(accounts))
        plan = standins.FleetPlan(
            entries=0,
            engines_per_domain=0,
            services_per_domain=0,
            accounts=names,
            entry={"max_links": max_links},
        )
        self.fleet = standins.Fleet(plan, folder)
        self.secret_path = folder / "secret"
        self.accounts = names

    async def add_light_agents(self, count):
        """Start light agents and add them to the platform's host list.

        :param int count: number of agents.
        :rtype: list[light.LightAgent]
        """
        secret = self.secret_path.read_text()
        agents = []
        for number in range(count):
            domain = self.fleet.plan.domains[number % 3]
            agent = light.LightAgent(f"light-{number}", domain, secret)
            await agent.start()
            host = {
                "host_id": agent.node_id,
                "role": "agent",
                "address": "127.0.0.1",
                "port": agent.port_,
                "failure_domain": domain,
                "state": "live",
                "serves": ["desk-model"],
            }
            await self.fleet.call("platform", "PUT", f"/hosts/{agent.node_id}", host)
            agents.append(agent)
        return agents


async def measure_entry(
    count, rate, accounts, seconds, changes=False, tokens=1, max_links=MAX_LINKS
):
    """Measure one entry that is connected to light agents.

    :param int count: number of light agents.
    :param float rate: requests per second.
    :param int accounts: number of client accounts that send requests.
    :param float seconds: length of the measurement, in seconds.
    :param bool changes: whether configuration changes at the design rate.
    :param int tokens: tokens of each answer; with more than one it is streamed.
    :param int max_links: largest number of agents that the entry connects to.
    :returns: memory, processor share, and bytes per second in and out.
    :rtype: dict
    """
    with tempfile.TemporaryDirectory() as text:
        folder = pathlib.Path(text)
        testbed = Testbed(folder, accounts, max_links)
        async with testbed.fleet as fleet:
            agents = await testbed.add_light_agents(count)
            await fleet.start_entry(0)
            linked = min(count, max_links)
            await fleet.wait_until(lambda: _has_linked(fleet, linked), 20.0)
            await asyncio.sleep(SETTLE_S)
            pid = fleet.process_by_name["entry-0"].child_.pid
            change_task = (
                asyncio.create_task(_change_config(fleet)) if changes else None
            )
            loads = [
                standins.AccountLoad(
                    name, rate / accounts, stream=tokens > 1, max_tokens=tokens
                )
                for name in testbed.accounts
            ]
            result = await _measure_load(fleet, pid, agents, loads, seconds)
            await base.cancel_and_wait(change_task)
            counts = {"count": count, "rate": rate, "accounts": accounts}
            return result | counts | {"tokens_a_second": rate * tokens}


async def _has_linked(fleet, count):
    _, state = await fleet.call("entry-0", "GET", "/state")
    return sum(e["connected"] for e in state["endpoints"].values()) >= count


async def _change_config(fleet):
    number = 0
    while True:
        number += 1
        weight = {"client_accounts": {f"{ACCOUNT_PREFIX}-0": {"weight": number}}}
        await fleet.patch_config(weight)
        await asyncio.sleep(1 / CONFIG_CHANGES_PER_S)


async def _measure_load(fleet, pid, agents, loads, seconds):
    received = sum(a.received_bytes_ for a in agents)
    sent = sum(a.sent_bytes_ for a in agents)
    before = read_usage(pid)
    if loads[0].rate:
        urls = [fleet.url("entry-0")]
        generator = standins.LoadGenerator(urls, loads, random.Random(SEED))
        load_result = await generator.run(seconds)
        answered = load_result.total().answered
    else:
        await asyncio.sleep(seconds)
        answered = 0
    after = read_usage(pid)
    elapsed_s = after.read_at - before.read_at
    return {
        "resident_mb": after.resident_mb,
        "cpu_percent": 100 * (after.cpu_s - before.cpu_s) / elapsed_s,
        "bytes_in": (sum(a.sent_bytes_ for a in agents) - sent) / elapsed_s,
        "bytes_out": (sum(a.received_bytes_ for a in agents) - received) / elapsed_s,
        "answered": answered,
    }


async def measure_peers(count, seconds):
    """Measure one entry that is connected to three light agents and light entries.

    :param int count: number of light entries.
    :param float seconds: length of the measurement, in seconds.
    :rtype: dict
    """
    with tempfile.TemporaryDirectory() as text:
        testbed = Testbed(pathlib.Path(text))
        async with testbed.fleet as fleet:
            await testbed.add_light_agents(3)
            await fleet.start_entry(0)
            await fleet.wait_until(lambda: _has_linked(fleet, 3), 20.0)
            entry = fleet.process_by_name["entry-0"]
            secret = testbed.secret_path.read_text()
            peers = [light.LightEntry(i, secret) for i in range(count)]
            for peer in peers:
                await peer.start(entry.ready_["port"])
            await asyncio.sleep(SETTLE_S)
            before = read_usage(entry.child_.pid)
            bytes_before = _count_traffic(peers)
            await asyncio.sleep(seconds)
            after = read_usage(entry.child_.pid)
            return {
                "count": count,
                **_compute_usage(before, after, bytes_before, peers),
            }


def _compute_usage(before, after, bytes_before, peers):
    elapsed_s = after.read_at - before.read_at
    pairs = zip(bytes_before, _count_traffic(peers), strict=True)
    bytes_in, bytes_out = (late - early for early, late in pairs)
    return {
        "resident_mb": after.resident_mb,
        "cpu_percent": 100 * (after.cpu_s - before.cpu_s) / elapsed_s,
        "bytes_in": bytes_in / elapsed_s,
        "bytes_out": bytes_out / elapsed_s,
    }


async def measure_agent(count, rate, seconds, tokens=8):
    """Measure one agent that is connected to light entries.

    :param int count: number of light entries.
    :param float rate: attempts per second of all entries together.
    :param float seconds: length of the measurement, in seconds.
    :param int tokens: tokens of each streamed answer.
    :rtype: dict
    """
    with tempfile.TemporaryDirectory() as text:
        folder = pathlib.Path(text)
        plan = standins.FleetPlan(
            domains=("north",),
            entries=0,
            services_per_domain=0,
            engine={
                "cold_s": 0.1,
                "tokens": tokens,
                "step_s": light.ANSWER_DURATION_S / tokens,
            },
        )
        async with standins.Fleet(plan, folder) as fleet:
            agent = fleet.process_by_name["north-model-0"]
            secret = (folder / "secret").read_text()
            port = agent.ready_["port"]
            entries = [light.LightEntry(i, secret) for i in range(count)]
            for entry in entries:
                await entry.start(port)
            await asyncio.sleep(SETTLE_S)
            before = read_usage(agent.child_.pid)
            count_before = _count_traffic(entries)
            await _execute(entries, rate, seconds)
            after = read_usage(agent.child_.pid)
            counts = {"count": count, "rate": rate, "tokens_a_second": rate * tokens}
            answered = sum(entry.answered_ for entry in entries)
            usage = _compute_usage(before, after, count_before, entries)
            return counts | usage | {"answered": answered}


def _count_traffic(entries):
    sent = sum(light.count_sent_bytes(e.connection_) for e in entries)
    return sent, sum(e.received_bytes_ for e in entries)


async def _execute(entries, rate, seconds):
    random_state = random.Random(SEED)
    end = time.monotonic() + seconds
    due = time.monotonic()
    while rate and due < end:
        due += random_state.expovariate(rate)
        await asyncio.sleep(max(due - time.monotonic(), 0))
        await random_state.choice(entries).execute()
    await asyncio.sleep(max(end - time.monotonic(), 0))


def fit_line(results, count_field, field):
    """Return intercept and slope of the least-squares line of a field over a count.

    :param list[dict] results: measurements.
    :param str count_field: field of the count.
    :param str field: field of the measured value.
    :rtype: tuple[float, float]
    """
    slope, intercept = numpy.polyfit(
        [r[count_field] for r in results], [r[field] for r in results], 1
    )
    return float(intercept), float(slope)


def report(title, results, count_field):
    """Print one series and its slopes.

    :param str title: title of the series.
    :param list[dict] results: measurements.
    :param str count_field: field of the count that varies.
    """
    for r in results:
        numbers = [f"{r['resident_mb']:.1f}", f"{r['cpu_percent']:.2f}"]
        numbers += [f"{r['bytes_in']:.0f}", f"{r['bytes_out']:.0f}"]
        print(ROW.format(title, r[count_field], *numbers))
    for field in ("resident_mb", "cpu_percent", "bytes_in", "bytes_out"):
        intercept, slope = fit_line(results, count_field, field)
        print(f"    {field} = {intercept:.3f} + {slope:.5f} x {count_field}")


def list_series(options):
    """Return title, varying count and measurement functions of each series.

    :param argparse.Namespace options: parsed arguments.
    :rtype: list[tuple]
    """
    counts, rates, accounts, tokens = (
        [int(x) for x in text.split(",")]
        for text in (options.counts, options.rates, options.accounts, options.tokens)
    )
    entry = functools.partial(measure_entry, seconds=options.seconds)
    agent = functools.partial(measure_agent, seconds=options.seconds)
    peers = functools.partial(measure_peers, seconds=options.seconds)
    partial = functools.partial
    return [
        ("entry, idle agents", "count", [partial(entry, n, 0, 10) for n in counts]),
        (
            f"entry, idle agents, {FEW_LINKS} links",
            "count",
            [partial(entry, n, 0, 10, max_links=FEW_LINKS) for n in counts],
        ),
        (
            "entry, requests a second",
            "rate",
            [partial(entry, 30, r, 10) for r in rates],
        ),
        (
            "entry, client accounts",
            "accounts",
            [partial(entry, 30, rates[-1], n) for n in accounts],
        ),
        (
            "entry, tokens a second",
            "tokens_a_second",
            [partial(entry, 30, TOKEN_REQUESTS_PER_S, 10, tokens=n) for n in tokens],
        ),
        ("entry, idle peers", "count", [partial(peers, n) for n in counts[:3]]),
        ("agent, idle entries", "count", [partial(agent, n, 0) for n in counts]),
        ("agent, attempts a second", "rate", [partial(agent, 4, r) for r in rates]),
        (
            "agent, tokens a second",
            "tokens_a_second",
            [partial(agent, 4, TOKEN_REQUESTS_PER_S, tokens=n) for n in tokens],
        ),
        (
            "entry, agents and config changes",
            "count",
            [partial(entry, n, 0, 10, changes=True) for n in counts[:3]],
        ),
    ]


async def main():
    """Parse the arguments, run the selected series and print the results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--counts", default="3,30,100,200")
    parser.add_argument("--rates", default="0,20,60")
    parser.add_argument("--accounts", default="10,100,400")
    parser.add_argument("--tokens", default="10,50,150")
    parser.add_argument("--only", default="", help="part of the title of a series")
    parser.add_argument("--json", type=pathlib.Path)
    options = parser.parse_args()
    base.configure_logs("warning")
    print(ROW.format(*COLUMN_TITLES))
    results_by_title = {}
    for title, count_field, calls in list_series(options):
        if options.only in title:
            results_by_title[title] = [await call() for call in calls]
            report(title, results_by_title[title], count_field)
    if options.json:
        options.json.write_text(json.dumps(results_by_title, indent=1))


if __name__ == "__main__":
    asyncio.run(main())
