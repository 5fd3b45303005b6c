"""Control overhead of a rank group of real agents, by number of ranks.

Usage: ``python benchmarks/group_cost.py [--ranks N ...] [--quiet]``. For each number
of ranks it runs a group with a stand-in for its engine, reports every 2 s and plans
every 5 s, on an oscillating load trace. It prints messages, bytes, processor time and
memory of the leader's agent and of one follower's agent, and the longest wait between
two steps of the stand-in. With ``--quiet`` the load is steady, the map does not change
and reports are requested every 10 s, which is the default interval. Linux only, since
it reads ``/proc``.
"""

import argparse
import asyncio
import json
import os
import pathlib
import tempfile

from sequoiagap import agent, base, standins, wire

WARM_UP_S = 8.0
MEASUREMENT_S = 20.0
LAYERS = 60
MESSAGE_LIBRARY = agent  # its import registers the message types
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


async def read_state(fleet, rank, secret):
    """Return the state document of an agent, requested over the wire protocol."""
    port = fleet.process_by_name[f"rank-{rank}"].ready_["port"]
    hello = wire.Hello("benchmark", "operator", "inc", secret=secret)
    connection = await wire.connect("127.0.0.1", port, hello)
    answer = asyncio.get_running_loop().create_future()

    async def on_message(item):
        if isinstance(item, wire.StateReply):
            answer.set_result(json.loads(item.document))

    task = asyncio.create_task(connection.run(on_message))
    await connection.send(wire.StateRequest(1))
    state = await asyncio.wait_for(answer, 5.0)
    await base.cancel_and_wait(task)
    return state


def read_usage(fleet, rank):
    """Return processor time in seconds and resident memory in MiB of an agent."""
    pid = fleet.process_by_name[f"rank-{rank}"].child_.pid
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return cpu_s, int(line.split()[1]) / 1024


async def measure(ranks, quiet):
    expert_count = 2 * ranks
    group = {"interval_s": 5.0, "report_interval_s": 2.0, "policy": "full_replan"}
    if quiet:
        group = {"interval_s": 600.0, "report_interval_s": 10.0}
    plan = standins.RankFleetPlan(
        shape=(LAYERS, ranks, expert_count, 3),
        group=group,
        engine={"trace": "steady" if quiet else "oscillation", "step_s": 0.02},
    )
    with tempfile.TemporaryDirectory() as folder:
        async with standins.RankFleet(plan, folder) as fleet:
            secret = (pathlib.Path(folder) / "secret").read_text()
            await asyncio.sleep(WARM_UP_S)
            states_before = [
                (await read_state(fleet, r, secret))["group"] for r in (0, 1)
            ]
            usage_before = [read_usage(fleet, r) for r in (0, 1)]
            await asyncio.sleep(MEASUREMENT_S)
            states_after = [
                (await read_state(fleet, r, secret))["group"] for r in (0, 1)
            ]
            usage_after = [read_usage(fleet, r) for r in (0, 1)]
            group = await fleet.group()
    changes = states_after[0]["lead"]["changes"] - states_before[0]["lead"]["changes"]
    for rank, role in enumerate(("leader", "follower")):
        sent = (
            states_after[rank]["messages_sent"] - states_before[rank]["messages_sent"]
        )
        size = states_after[rank]["bytes_sent"] - states_before[rank]["bytes_sent"]
        cpu = (usage_after[rank][0] - usage_before[rank][0]) / MEASUREMENT_S
        print(
            f"| {ranks} | {role} | {changes} | {sent / MEASUREMENT_S:.1f} | "
            f"{size / MEASUREMENT_S / 1000:.2f} | {cpu * 100:.1f} | "
            f"{usage_after[rank][1]:.0f} | "
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
