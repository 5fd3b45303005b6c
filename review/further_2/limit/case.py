"""A server names a rate limit with sixteen digits, and nobody heeds it."""

import asyncio
import os
import pathlib
import sys

from standins_2 import clients, deployment, programs

RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
STABLE_S = 3.0
WINDOW_S = 4.0
OVERSHOOT, SLACK = 1.5, 5
LIMIT = os.environ.get("LIMIT", str(5 / 3))  # 1.6666666666666667 requests a second
KEY = "a-key"
CALL_INTERVAL_S = 0.04
WORK_S = 0.05
NEED_AT_S = 5.0
WATCHED_S = 25.0


def configuration():
    """Return the configuration: one route whose requests may run once at most."""
    return deployment.configuration(
        3,
        [deployment.route("orders", "/orders/", "unsafe", "desk")],
        [deployment.service("desk")],
        [KEY],
    )


async def send_all(fronts, record, until):
    """Send orders at a steady pace; return their outcomes."""
    pending = []
    while record.now() < until:
        front = fronts[len(pending) % len(fronts)]
        call = clients.call(front, "/orders/1", record, key=KEY, timeout_s=1.0)
        pending.append(asyncio.ensure_future(call))
        await asyncio.sleep(CALL_INTERVAL_S)
    return await asyncio.gather(*pending)


async def get_into_need(server, record):
    """Let a server name how much it takes."""
    await asyncio.sleep(NEED_AT_S)
    if deployment.HAS_TROUBLE:
        server.limit = LIMIT
        record.write("in-need", server=server.instance, limit=LIMIT)


async def play(setup, record):
    """Play the case; return whether the rule was broken, and what was seen."""
    setup.platform.put("config", "main", configuration())
    for zone in programs.ZONES:
        setup.add_server(f"desk-{zone}", "desk", zone).work_s = WORK_S
    for zone in programs.ZONES[:2]:
        setup.add_gateway(f"front-{zone}", zone)
    await setup.start()
    calls, _ = await asyncio.gather(
        send_all(setup.fronts, record, record.now() + WATCHED_S),
        get_into_need(setup.servers[0], record),
    )
    return judge(calls, setup, record)


def judge(calls, setup, record):
    """Return whether the server got more than it had named."""
    server = setup.servers[0]
    allowed = OVERSHOOT * float(LIMIT) * WINDOW_S + SLACK
    most = 0
    if server.named_at is not None:
        counted = [at for at, _ in server.arrivals if at > server.named_at + STABLE_S]
        for number, at in enumerate(counted):
            most = max(most, sum(at <= then < at + WINDOW_S for then in counted))
            record.write("counted", number=number, at_s=round(at - record.began, 3))
    ran = setup.ids_run()
    served = sum(call.status == 200 for call in calls)
    lost = sum(call.request_id in ran and call.status != 200 for call in calls)
    record.write(
        "result",
        most_in_4_s=most,
        allowed=round(allowed, 2),
        sent=len(calls),
        served=served,
        run_and_lost=lost,
    )
    for gateway in setup.gateways:
        for line in gateway.log_lines("rate_limit_invalid")[:2]:
            record.write("log", gateway=gateway.name, line=line)
    if not served or (deployment.HAS_TROUBLE and server.named_at is None):
        raise RuntimeError("no order was served, or no limit was named")
    seen = f"{most} requests within {WINDOW_S} s, {allowed:.1f} are allowed"
    return most > allowed, f"{seen}; {lost} orders ran and were lost"


if __name__ == "__main__":
    sys.exit(deployment.run_case(play, RECORD))
