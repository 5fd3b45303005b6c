"""Cost of control in a rank group of real agents, by number of ranks.

Usage: ``python benchmarks/group_cost.py [--ranks N ...] [--quiet]``. For each
size it runs a group around its stand-in, with reports each 2 s and plans each 5 s on
a trace that oscillates, and prints messages, bytes, processor time and memory of the
leading agent and of a following one, and the stand-in's longest wait between two
steps. With ``--quiet`` the loads are steady, nothing changes and reports are asked
for each 10 s, as by default. Linux only: it reads ``/proc``.
"""

import argparse
import asyncio
import json
import os
import pathlib
import tempfile

from sequoiagap import agent, base, standins, wire

WARM_UP_S = 8.0
RUN_S = 20.0
LAYERS = 60
MESSAGES_OF = agent  # imported so that its messages are known
TICKS = os.sysconf("SC_CLK_TCK")


async def read_state(fleet, rank, secret):
    """Return the state dump of an agent."""
    port = fleet.process_by_name[f"rank-{rank}"].ready_["port"]
    hello = wire.Hello("benchmark", "operator", "inc", secret=secret)
    connection = await wire.connect("127.0.0.1", port, hello)
    answer = asyncio.get_running_loop().create_future()

    async def take(item):
        if isinstance(item, wire.StateReply):
            answer.set_result(json.loads(item.document))

    task = asyncio.create_task(connection.run(take))
    await connection.send(wire.StateRequest(1))
    state = await asyncio.wait_for(answer, 5.0)
    await base.cancel_and_wait(task)
    return state


def read_usage(fleet, rank):
    """Return processor seconds and resident megabytes of an agent."""
    pid = fleet.process_by_name[f"rank-{rank}"].child_.pid
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return cpu_s, int(line.split()[1]) / 1024


async def measure(ranks, quiet):
    experts_count = 2 * ranks
    group = {"interval_s": 5.0, "report_interval_s": 2.0, "policy": "full_replan"}
    if quiet:
        group = {"interval_s": 600.0, "report_interval_s": 10.0}
    plan = standins.RankFleetPlan(
        shape=(LAYERS, ranks, experts_count, 3),
        group=group,
        engine={"trace": "steady" if quiet else "oscillation", "step_s": 0.02},
    )
    with tempfile.TemporaryDirectory() as folder:
        async with standins.RankFleet(plan, folder) as fleet:
            secret = (pathlib.Path(folder) / "secret").read_text()
            await asyncio.sleep(WARM_UP_S)
            first = [(await read_state(fleet, r, secret))["group"] for r in (0, 1)]
            used = [read_usage(fleet, r) for r in (0, 1)]
            await asyncio.sleep(RUN_S)
            last = [(await read_state(fleet, r, secret))["group"] for r in (0, 1)]
            used_last = [read_usage(fleet, r) for r in (0, 1)]
            group = await fleet.group()
    changes = last[0]["lead"]["changes"] - first[0]["lead"]["changes"]
    for rank, role in enumerate(("leader", "follower")):
        sent = last[rank]["messages_sent"] - first[rank]["messages_sent"]
        size = last[rank]["bytes_sent"] - first[rank]["bytes_sent"]
        cpu = (used_last[rank][0] - used[rank][0]) / RUN_S
        print(
            f"| {ranks} | {role} | {changes} | {sent / RUN_S:.1f} | "
            f"{size / RUN_S / 1000:.2f} | {cpu * 100:.1f} | {used_last[rank][1]:.0f} | "
            f"{group['longest_wait_s'] * 1000:.0f} | {group['violations']} |",
            flush=True,
        )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--ranks", type=int, nargs="*", default=[3, 8, 16, 32])
    parser.add_argument("--quiet", action="store_true", help="no changes")
    options = parser.parse_args()
    print(
        "| ranks | agent | changes | messages sent /s | KB sent /s | % of a core | "
        "resident MB | longest wait ms | steps with two maps |"
    )
    print("| --- " * 9 + "|")
    for ranks in options.ranks:
        asyncio.run(measure(ranks, options.quiet))


if __name__ == "__main__":
    main()
