"""Case: another writer has copied the servers' entries under an unknown service.

Usage: ``foreign_entries.py RECORD``. Exit code 1 if the rule was broken, 0 if it held,
2 if the case could not run.
"""

import asyncio
import json

import fleet
import revoked_key
import web

UNKNOWN_SERVICE = "guild-desk-trial"  # no configuration names it
HEARTBEAT_S = 1.2
BEFORE_TRAFFIC_S = 3.0
TRAFFIC_S = 15.0


def write_foreign_entries(desk):
    """Write what the other writer writes: one field differs from the servers' own."""
    for server_id in revoked_key.SERVERS:
        own = desk.store.kinds["servers"][server_id]
        spec = {**own["Spec"], "Service": UNKNOWN_SERVICE}
        desk.store.put("servers", f"trial-{server_id}", spec, born=own["born"])
        desk.record.add(f"another writer writes trial-{server_id}: {json.dumps(spec)}")


async def beat_forever(desk):
    """Write the servers' own entries again with each heartbeat."""
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        for server_id in revoked_key.SERVERS:
            own = desk.store.kinds["servers"][server_id]
            spec = {**own["Spec"], "Sequence": own["Spec"]["Sequence"] + 1}
            desk.store.put("servers", server_id, spec, born=own["born"])


async def is_sound(desk, server_id):
    """Return whether a server answers a request that is sent to it directly."""
    headers = {
        "Host": revoked_key.HOST,
        "Request-Id": f"direct-{server_id}",
        "Expect-Instance": server_id,
    }
    address, port = revoked_key.SERVERS[server_id], desk.ports[5]
    status, _, _ = await web.call(address, port, "GET", revoked_key.PATH, headers)
    return status == 200


async def play(record, folder):
    """Play the case; return the exit code."""
    desk = revoked_key.Desk(record, folder)
    callers = []
    try:
        await desk.start()
        callers.append(asyncio.create_task(beat_forever(desk)))
        if fleet.has_trouble():
            write_foreign_entries(desk)
        await asyncio.sleep(BEFORE_TRAFFIC_S)
        record.add("traffic starts")
        callers += [
            asyncio.create_task(desk.call_forever(gateway, revoked_key.KEPT_KEY))
            for gateway in revoked_key.GATEWAYS
        ]
        await asyncio.sleep(TRAFFIC_S)
        for caller in callers:
            caller.cancel()
        await asyncio.sleep(revoked_key.CALL_TIMEOUT_S)
        sound = [await is_sound(desk, server_id) for server_id in revoked_key.SERVERS]
    finally:
        for caller in callers:
            caller.cancel()
        desk.stop()
    return judge(desk, record, sound)


def judge(desk, record, sound):
    """Return the exit code by what clients and servers have seen."""
    served = sum(request_id in desk.ran for request_id in desk.sent)
    summary = {"sent": len(desk.sent), "served": served, "servers_sound": sum(sound)}
    record.add(json.dumps(summary))
    print(json.dumps(summary))
    if not all(sound) or not desk.sent:
        return 2
    return 0 if served else 1


if __name__ == "__main__":
    fleet.run_case(play)
