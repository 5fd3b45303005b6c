"""A gateway that starts as the store is back from a copy takes a revoked key."""

import asyncio
import pathlib
import sys

from standins_2 import clients, deployment, programs

RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
REVOKE_S = programs.BOUNDS["RevokeMs"] / 1000
COPY_AGE_S = 1.0  # before the revocation
RESTORE_AT_S = 6.0  # after the acknowledgement of the revocation
AWAY_S = 1.0
RESTART_S = 0.3  # the platform's delay until it starts an ended process again
REPEATED_S = 0.8  # after the return: the operator has written again what was lost
CALL_INTERVAL_S = 0.05
WATCHED_S = 6.0
REVOKED, OTHER = "revoked-key", "other-key"


def configuration(version, keys):
    """Return a configuration in which the account has these keys."""
    return deployment.configuration(
        version,
        [deployment.route("orders", "/orders/", "unsafe", "desk", MaxAttempts=1)],
        [deployment.service("desk")],
        keys,
    )


async def call_for(seconds, address, key, record, calls):
    """Send requests with a key at short intervals; note when each was sent."""
    pending = []
    until = record.now() + seconds
    while record.now() < until:
        call = clients.call(address, "/orders/1", record, key=key, timeout_s=1.0)
        pending.append((record.now(), asyncio.ensure_future(call)))
        await asyncio.sleep(CALL_INTERVAL_S)
    for sent_at, task in pending:
        calls.append((key, sent_at, await task))


async def restart(gateway, record):
    """Kill a gateway, and start it again as the platform does."""
    gateway.kill()
    record.write("killed", gateway=gateway.name)
    await gateway.process.wait()
    await asyncio.sleep(RESTART_S)
    await gateway.start()
    record.write("started", gateway=gateway.name)


async def return_from_copy(copy, setup, record):
    """Let the store come back from a copy, and all write again what they wrote."""
    await asyncio.sleep(AWAY_S - RESTART_S)
    setup.platform.restore(copy)
    for server in setup.servers:
        server.register()
    await setup.platform.start()
    record.write("store-back")
    await asyncio.sleep(REPEATED_S)
    setup.platform.put("config", "main", configuration(4, [OTHER]))
    record.write("written-again", version=4)


async def play(setup, record):
    """Play the case; return whether the rule was broken, and what was seen."""
    setup.platform.put("config", "main", configuration(3, [REVOKED, OTHER]))
    for zone in programs.ZONES:
        setup.add_server(f"desk-{zone}", "desk", zone)
    for zone in programs.ZONES[:2]:
        setup.add_gateway(f"front-{zone}", zone)
    await setup.start()
    front = setup.fronts[0]
    first = await clients.call(front, "/orders/1", record, key=REVOKED, timeout_s=1.0)
    if first.status != 200:
        raise RuntimeError(f"the key does not work before it is revoked: {first}")

    copy = setup.platform.make_copy()
    await asyncio.sleep(COPY_AGE_S)
    setup.platform.put("config", "main", configuration(4, [OTHER]))
    acknowledged = record.now()
    record.write("acknowledged", version=4, takes_away=REVOKED)
    await asyncio.sleep(RESTORE_AT_S)
    if deployment.HAS_TROUBLE:
        setup.platform.go_away()
    await restart(setup.gateways[0], record)
    calls = []
    steps = [call_for(WATCHED_S, front, key, record, calls) for key in (REVOKED, OTHER)]
    if deployment.HAS_TROUBLE:
        steps.append(return_from_copy(copy, setup, record))
    await asyncio.gather(*steps)
    return judge(calls, acknowledged, setup, record)


def judge(calls, acknowledged, setup, record):
    """Return whether requests with the revoked key ran too late."""
    ran = setup.ids_run()
    late = 0
    for key, sent_at, outcome in calls:
        after_s = sent_at - acknowledged
        if key == REVOKED and outcome.request_id in ran and after_s > REVOKE_S:
            late += 1
            record.write(
                "late-run", id=outcome.request_id, sent_after_ack_s=round(after_s, 3)
            )
    others = sum(key == OTHER and call.status == 200 for key, _, call in calls)
    record.write("result", late_runs=late, others_served=others)
    if not others:
        raise RuntimeError("no request with the other key was served")
    return late > 0, f"{late} requests with a revoked key ran later than {REVOKE_S} s"


if __name__ == "__main__":
    sys.exit(deployment.run_case(play, RECORD))
