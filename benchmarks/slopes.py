"""Memory, processor time and bytes of entries and agents as counts grow.

Usage: ``python -m benchmarks.slopes [--seconds N] [--counts 3,30,100,200]
[--rates 0,20,60] [--accounts 10,100,400] [--json FILE]``.

One real entry is connected to light agents, which one further process speaks for
over the wire protocol; one real agent is connected to light entries. Resident
memory is read from ``/proc/PID/status``, processor time from ``/proc/PID/stat``
and bytes from the connections of the light side. The slope is the least-squares
line over the counts.
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
ACCOUNT = "account"
MAX_LINKS = 127
FEW_LINKS = 30
CONFIG_CHANGES_PER_S = 39_000 / 86_400
TOKEN_RATE = 10
ROW = "{:<34}{:>8}{:>12}{:>12}{:>14}{:>14}"
HEAD = ("subject", "count", "resident MB", "cpu %", "bytes in /s", "bytes out /s")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True)
class Usage:
    """What a process has used so far.

    :param float resident_mb: resident memory in 2**20 bytes.
    :param float cpu_s: processor time in seconds.
    :param float at: monotonic time in seconds.
    """

    resident_mb: float
    cpu_s: float
    at: float


def read_usage(pid):
    """Return what a process has used.

    :param int pid: the process.
    :rtype: Usage
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS:"))
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return Usage(int(line.split()[1]) / 1024, cpu_s, time.monotonic())


class Bench:
    """A platform, one entry or agent under measurement, and light peers.

    :param pathlib.Path folder: where settings and logs go.
    :param int accounts: client accounts.
    :param int max_links: most agents that an entry links.
    """

    def __init__(self, folder, accounts=10, max_links=MAX_LINKS):
        names = tuple(f"{ACCOUNT}-{i}" for i in range(accounts))
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
        """Start light agents and list them on the platform.

        :param int count: how many.
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
    """Measure one entry with some light agents at some rate.

    :param int count: light agents.
    :param float rate: requests a second.
    :param int accounts: client accounts that send.
    :param float seconds: length of the measurement.
    :param bool changes: whether configuration changes at the design rate.
    :param int tokens: pieces of each answer; more than one makes it a stream.
    :param int max_links: most agents that the entry links.
    :returns: memory, processor share, bytes in and out.
    :rtype: dict
    """
    with tempfile.TemporaryDirectory() as text:
        folder = pathlib.Path(text)
        bench = Bench(folder, accounts, max_links)
        async with bench.fleet as fleet:
            agents = await bench.add_light_agents(count)
            await fleet.start_entry(0)
            linked = min(count, max_links)
            await fleet.wait_until(lambda: _sees(fleet, linked), 20.0)
            await asyncio.sleep(SETTLE_S)
            pid = fleet.process_by_name["entry-0"].child_.pid
            changing = asyncio.create_task(_change(fleet)) if changes else None
            loads = [
                standins.AccountLoad(
                    name, rate / accounts, stream=tokens > 1, max_tokens=tokens
                )
                for name in bench.accounts
            ]
            result = await _observe(fleet, pid, agents, loads, seconds)
            await base.cancel_and_wait(changing)
            counts = {"count": count, "rate": rate, "accounts": accounts}
            return result | counts | {"tokens_a_second": rate * tokens}


async def _sees(fleet, count):
    _, state = await fleet.call("entry-0", "GET", "/state")
    return sum(e["connected"] for e in state["endpoints"].values()) >= count


async def _change(fleet):
    number = 0
    while True:
        number += 1
        weight = {"client_accounts": {f"{ACCOUNT}-0": {"weight": number}}}
        await fleet.patch_config(weight)
        await asyncio.sleep(1 / CONFIG_CHANGES_PER_S)


async def _observe(fleet, pid, agents, loads, seconds):
    received = sum(a.received_ for a in agents)
    sent = sum(a.sent_ for a in agents)
    before = read_usage(pid)
    if loads[0].rate:
        urls = [fleet.url("entry-0")]
        generator = standins.LoadGenerator(urls, loads, random.Random(SEED))
        book = await generator.run(seconds)
        answered = book.total().answered
    else:
        await asyncio.sleep(seconds)
        answered = 0
    after = read_usage(pid)
    spent_s = after.at - before.at
    return {
        "resident_mb": after.resident_mb,
        "cpu_percent": 100 * (after.cpu_s - before.cpu_s) / spent_s,
        "bytes_in": (sum(a.sent_ for a in agents) - sent) / spent_s,
        "bytes_out": (sum(a.received_ for a in agents) - received) / spent_s,
        "answered": answered,
    }


async def measure_peers(count, seconds):
    """Measure one entry with three light agents and some light entries.

    :param int count: light entries.
    :param float seconds: length of the measurement.
    :rtype: dict
    """
    with tempfile.TemporaryDirectory() as text:
        bench = Bench(pathlib.Path(text))
        async with bench.fleet as fleet:
            await bench.add_light_agents(3)
            await fleet.start_entry(0)
            await fleet.wait_until(lambda: _sees(fleet, 3), 20.0)
            entry = fleet.process_by_name["entry-0"]
            secret = bench.secret_path.read_text()
            peers = [light.LightEntry(i, secret) for i in range(count)]
            for peer in peers:
                await peer.start(entry.ready_["port"])
            await asyncio.sleep(SETTLE_S)
            before = read_usage(entry.child_.pid)
            bytes_before = _count_bytes(peers)
            await asyncio.sleep(seconds)
            after = read_usage(entry.child_.pid)
            return {"count": count, **_compare(before, after, bytes_before, peers)}


def _compare(before, after, bytes_before, peers):
    spent_s = after.at - before.at
    pairs = zip(bytes_before, _count_bytes(peers), strict=True)
    bytes_in, bytes_out = (late - early for early, late in pairs)
    return {
        "resident_mb": after.resident_mb,
        "cpu_percent": 100 * (after.cpu_s - before.cpu_s) / spent_s,
        "bytes_in": bytes_in / spent_s,
        "bytes_out": bytes_out / spent_s,
    }


async def measure_agent(count, rate, seconds, tokens=8):
    """Measure one agent with some light entries at some rate.

    :param int count: light entries.
    :param float rate: attempts a second of all of them.
    :param float seconds: length of the measurement.
    :param int tokens: tokens of each answer, which is a stream.
    :rtype: dict
    """
    with tempfile.TemporaryDirectory() as text:
        folder = pathlib.Path(text)
        plan = standins.FleetPlan(
            domains=("north",),
            entries=0,
            services_per_domain=0,
            engine={"cold_s": 0.1, "tokens": tokens, "step_s": light.ANSWER_S / tokens},
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
            count_before = _count_bytes(entries)
            await _execute(entries, rate, seconds)
            after = read_usage(agent.child_.pid)
            counts = {"count": count, "rate": rate, "tokens_a_second": rate * tokens}
            answered = sum(entry.answered_ for entry in entries)
            usage = _compare(before, after, count_before, entries)
            return counts | usage | {"answered": answered}


def _count_bytes(entries):
    sent = sum(light.count_sent(e.connection_) for e in entries)
    return sent, sum(e.received_ for e in entries)


async def _execute(entries, rate, seconds):
    random_state = random.Random(SEED)
    end = time.monotonic() + seconds
    due = time.monotonic()
    while rate and due < end:
        due += random_state.expovariate(rate)
        await asyncio.sleep(max(due - time.monotonic(), 0))
        await random_state.choice(entries).execute()
    await asyncio.sleep(max(end - time.monotonic(), 0))


def fit(results, by, field):
    """Return intercept and slope of a field over a count.

    :param list[dict] results: measurements.
    :param str by: the count.
    :param str field: the field.
    :rtype: tuple[float, float]
    """
    slope, intercept = numpy.polyfit(
        [r[by] for r in results], [r[field] for r in results], 1
    )
    return float(intercept), float(slope)


def report(title, results, by):
    """Print one series and its slopes.

    :param str title: what was measured.
    :param list[dict] results: measurements.
    :param str by: the count that grew.
    """
    for r in results:
        numbers = [f"{r['resident_mb']:.1f}", f"{r['cpu_percent']:.2f}"]
        numbers += [f"{r['bytes_in']:.0f}", f"{r['bytes_out']:.0f}"]
        print(ROW.format(title, r[by], *numbers))
    for field in ("resident_mb", "cpu_percent", "bytes_in", "bytes_out"):
        intercept, slope = fit(results, by, field)
        print(f"    {field} = {intercept:.3f} + {slope:.5f} x {by}")


def list_series(options):
    """Return title, count that grows, and measurements of each series.

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
    part = functools.partial
    return [
        ("entry, idle agents", "count", [part(entry, n, 0, 10) for n in counts]),
        (
            f"entry, idle agents, {FEW_LINKS} links",
            "count",
            [part(entry, n, 0, 10, max_links=FEW_LINKS) for n in counts],
        ),
        ("entry, requests a second", "rate", [part(entry, 30, r, 10) for r in rates]),
        (
            "entry, client accounts",
            "accounts",
            [part(entry, 30, rates[-1], n) for n in accounts],
        ),
        (
            "entry, tokens a second",
            "tokens_a_second",
            [part(entry, 30, TOKEN_RATE, 10, tokens=n) for n in tokens],
        ),
        ("entry, idle peers", "count", [part(peers, n) for n in counts[:3]]),
        ("agent, idle entries", "count", [part(agent, n, 0) for n in counts]),
        ("agent, attempts a second", "rate", [part(agent, 4, r) for r in rates]),
        (
            "agent, tokens a second",
            "tokens_a_second",
            [part(agent, 4, TOKEN_RATE, tokens=n) for n in tokens],
        ),
        (
            "entry, agents and config changes",
            "count",
            [part(entry, n, 0, 10, changes=True) for n in counts[:3]],
        ),
    ]


async def main():
    """Run every series."""
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
    print(ROW.format(*HEAD))
    results_by_title = {}
    for title, by, calls in list_series(options):
        if options.only in title:
            results_by_title[title] = [await call() for call in calls]
            report(title, results_by_title[title], by)
    if options.json:
        options.json.write_text(json.dumps(results_by_title, indent=1))


if __name__ == "__main__":
    asyncio.run(main())
