"""Start a fleet with stand-ins, send traffic and drain a failure domain.

Usage: ``python -m sequoiagap.standins.quickstart [--seconds N] [--rate N]``.
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import sys
import tempfile

from sequoiagap import standins
from sequoiagap.standins import _fleet

SEED = 7
DOMAIN = "north"
ROW = "{:<22}{:>8}{:>10}{:>10}{:>8}{:>12}{:>12}{:>14}"


async def run_operator_command(fleet, *words):
    """Run an operator command against the first entry and print its output.

    :param Fleet fleet: the fleet.
    :param words: subcommand and arguments.
    """
    command = [sys.executable, "-m", "sequoiagap.cli", *words]
    command += ["--entry", fleet.url("entry-0")]
    environment = os.environ | {"SEQUOIAGAP_OPERATOR_KEY": _fleet.OPERATOR_KEY}
    child = await asyncio.create_subprocess_exec(
        *command, env=environment, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await child.communicate()
    print(f"$ sequoiagap {' '.join(words)}\n{output.decode().rstrip()}")


async def count_in_domain(fleet, domain):
    """Return the number of executions at the endpoints of a failure domain.

    :param Fleet fleet: the fleet.
    :param str domain: the failure domain.
    :rtype: int
    """
    total = 0
    for name in fleet.endpoint_names():
        if name.startswith(domain):
            _, counts = await fleet.call(f"{name}-target", "GET", "/executions")
            total += sum(counts.values())
    return total


async def run_phase(fleet, name, seconds, rate, random_state):
    """Send traffic for one phase and print its results as a row.

    :param Fleet fleet: the fleet.
    :param str name: name of the phase.
    :param float seconds: duration of the phase, in seconds.
    :param float rate: mean rate, in requests per second.
    :param random.Random random_state: source of randomness.
    """
    before = await count_in_domain(fleet, DOMAIN)
    urls = [fleet.url(entry) for entry in fleet.entry_names()]
    report = await standins.run_load(urls, seconds, rate, random_state)
    answered = report.count_by_result.get("answered", 0)
    cut = report.count_by_result.get("cut", 0)
    executions = await count_in_domain(fleet, DOMAIN) - before
    metrics = report.metrics
    print(
        ROW.format(
            name,
            report.sent,
            answered,
            report.sent - answered - cut,
            cut,
            f"{metrics.quantile('first_byte_seconds', 0.5) * 1000:.1f}",
            f"{metrics.quantile('first_byte_seconds', 0.99) * 1000:.1f}",
            executions,
        )
    )


async def create_config(fleet, path):
    """Create configuration version 1 and wait until the fleet is ready.

    :param Fleet fleet: the fleet.
    :param pathlib.Path path: file to write the document to.
    """
    path.write_text(json.dumps(fleet.first_config(), indent=2))
    await run_operator_command(fleet, "config", "init", str(path))
    await fleet.wait_ready()


async def call_service(fleet):
    """Send one request to a plain service and print the answer.

    :param Fleet fleet: the fleet.
    """
    status, document = await fleet.call(
        "entry-1",
        "POST",
        "/services/orders/file",
        {"stone": "basalt"},
        key=_fleet.CALLER_KEY,
    )
    print(f"plain service call: status {status}, answer {document}")


async def main():
    """Run the quick start."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=4.0, help="of each phase")
    parser.add_argument("--rate", type=float, default=60.0, help="requests per second")
    options = parser.parse_args()
    random_state = random.Random(SEED)
    plan = standins.FleetPlan(engines_per_domain=2, configured=False)
    with tempfile.TemporaryDirectory() as folder:
        async with standins.Fleet(plan, pathlib.Path(folder)) as fleet:
            print(f"{len(fleet.process_by_name)} processes run")
            await create_config(fleet, pathlib.Path(folder) / "first.json")
            await call_service(fleet)
            await _run_phases(fleet, options, random_state)


async def _run_phases(fleet, options, random_state):
    columns = ["phase", "sent", "answered", "refused", "cut"]
    columns += ["p50 ms", "p99 ms", f"ran in {DOMAIN}"]
    print(ROW.format(*columns))
    arguments = (options.seconds, options.rate, random_state)
    await run_phase(fleet, "all domains in", *arguments)
    await run_operator_command(fleet, "domain", "out", DOMAIN)
    await run_phase(fleet, f"{DOMAIN} leaves", *arguments)
    await run_phase(fleet, f"{DOMAIN} is out", *arguments)
    await run_operator_command(fleet, "domain", "in", DOMAIN)
    await run_phase(fleet, f"{DOMAIN} is back", *arguments)
    await run_operator_command(fleet, "state")


if __name__ == "__main__":
    asyncio.run(main())
