"""Cases: the store comes back from a copy that lacks the revocation of a key.

Usage: ``revoked_key.py RECORD PLAN``, with a plan of ``PLAN_BY_NAME``. Exit code 1 if
the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import dataclasses
import itertools
import json
import random
import sys

import fleet
import store as store_standin
import web

STORE = "127.0.0.20"
GATEWAYS = {"front-a-1": "127.0.0.21", "front-b-1": "127.0.0.22"}
SERVERS = {"i-one": "127.0.0.31", "i-two": "127.0.0.32"}
HOST, PATH, SERVICE = "desk.example", "/registry/7", "guild-desk"
KEPT_KEY, REVOKED_KEY = "keptkey00000000001", "revokedkey00000002"

REVOKE_S = 5.0  # RevokeMs
COPY_BEFORE_S = 0.5  # the copy was made this long before the revocation
RESTART_S = 0.3  # until the platform starts a killed process again
WARM_UP_S = 2.0
SPREAD_S = 2.0
OBSERVED_S = 6.0  # after the return of the store
CALL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """Times of a drill.

    :param float after_s: from the acknowledgement of the revocation to the drill.
    :param float away_s: how long the store is away.
    :param float rewrite_s: from its return until the operator and the servers have
        written again.
    :param str killed: gateway that is killed as the drill begins; empty for none.
    """

    after_s: float
    away_s: float
    rewrite_s: float
    killed: str = ""


PLAN_BY_NAME = {
    "restart": Plan(after_s=6.0, away_s=1.0, rewrite_s=0.8, killed="front-a-1"),
    "restart-alone": Plan(after_s=6.0, away_s=0.0, rewrite_s=0.0, killed="front-a-1"),
    "quick-drill": Plan(after_s=6.0, away_s=1.0, rewrite_s=0.8),
    "drill": Plan(after_s=0.1, away_s=3.0, rewrite_s=2.0),
}


class Desk:
    """Deployment with a plain service whose requests need a key.

    :ivar dict ran: number of runs by request id.
    """

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.store = store_standin.Store()
        self.ran = {}
        self.sent = {}
        self.machines = {}
        self._numbers = itertools.count(1)
        addresses = [STORE, *GATEWAYS.values(), *SERVERS.values()]
        self.ports = fleet.free_ports(addresses, 6)

    def config(self, version, keys):
        """Return a configuration as the operator writes it."""
        route = {
            "Name": "r-registry",
            "Host": HOST,
            "PathPrefix": "/registry/",
            "Kind": "safe",
            "TimeoutMs": 1000,
            "TargetLatencyMs": 200,
            "Priority": 2,
            "Service": SERVICE,
            "MaxAttempts": 2,
            "Public": False,
        }
        return {
            "Version": version,
            "Routes": [route],
            "Services": [
                {"Name": SERVICE, "HealthPath": "/health", "MaxConnections": 96}
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": [{"Name": "guild", "ApiKeys": keys, "Priority": 1}],
        }

    def write_servers(self):
        """Write the entries of the servers."""
        for number, (server_id, address) in enumerate(SERVERS.items()):
            spec = {
                "Service": SERVICE,
                "Address": f"{address}:{self.ports[5]}",
                "Zone": "ab"[number],
                "Version": "v1",
                "Slots": 6,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Sequence": 1,
            }
            self.store.put("servers", server_id, spec, born=1_700_000_000_000)

    async def start(self):
        """Start the store, the servers and the gateways."""
        self.store.put("config", "main", self.config(5, [KEPT_KEY, REVOKED_KEY]))
        self.write_servers()
        await self.store.start(STORE, self.ports[4])
        self.servers = []
        for server_id, address in SERVERS.items():
            server = web.WebServer(self._handler(server_id))
            await server.start(address, self.ports[5])
            self.servers.append(server)
        for name, address in GATEWAYS.items():
            settings = fleet.gateway_settings(
                name,
                address,
                name.split("-")[1],
                self.ports[:4],
                f"{STORE}:{self.ports[4]}",
            )
            self.machines[name] = fleet.Machine(name, settings, self.folder)
            self.machines[name].start()
        for address in GATEWAYS.values():
            if not await fleet.wait_ready(address, self.ports[2]):
                raise RuntimeError(f"the gateway at {address} is not ready")

    def stop(self):
        """End all processes and servers."""
        for machine in self.machines.values():
            machine.kill()
        self.store.go_away()
        for server in self.servers:
            server.stop()

    def _handler(self, server_id):
        async def handle(request, writer):
            request_id = request.headers.get("request-id", "")
            headers = {"Request-Id": request_id}
            if request.headers.get("expect-instance") != server_id:
                return 421, {**headers, "Instance-Id": server_id}, b""
            self.ran[request_id] = self.ran.get(request_id, 0) + 1
            self.record.add(f"run {request_id} at {server_id}")
            await asyncio.sleep(0.02)
            return 200, {**headers, "Server-Seal": f"s.{request_id}"}, b"record 7"

        return handle

    async def call_forever(self, gateway, key):
        """Send requests with a key to a gateway until cancelled."""
        while True:
            asyncio.get_running_loop().create_task(self._call(gateway, key))
            await asyncio.sleep(CALL_INTERVAL_S)

    async def _call(self, gateway, key):
        request_id = f"{next(self._numbers):08x}"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": 1000,
            "Authorization": f"Token {key}",
        }
        which = "revoked" if key == REVOKED_KEY else "kept"
        self.sent[request_id] = (self.record.now(), gateway, key)
        self.record.add(f"sent {request_id} to {gateway} with the {which} key")
        try:
            status, _, _ = await web.call(
                GATEWAYS[gateway], self.ports[1], "GET", PATH, headers, b"", 1.0
            )
        except (OSError, TimeoutError) as error:
            status = type(error).__name__
        self.record.add(f"answered {request_id}: {status}")


async def play(record, folder, plan):
    """Play a plan; return the exit code."""
    desk = Desk(record, folder)
    callers = []
    try:
        await desk.start()
        callers = [
            asyncio.create_task(desk.call_forever(gateway, key))
            for gateway in GATEWAYS
            for key in (KEPT_KEY, REVOKED_KEY)
        ]
        # The gateways read the store at times of their own.
        await asyncio.sleep(WARM_UP_S + random.uniform(0.0, SPREAD_S))
        kept = desk.store.make_copy()
        record.add("the platform makes a copy of the store")
        await asyncio.sleep(COPY_BEFORE_S)
        desk.store.put("config", "main", desk.config(7, [KEPT_KEY]))
        revoked_at = record.now()
        record.add("acknowledged: version 7, which takes the key away")
        await asyncio.sleep(plan.after_s)
        if fleet.has_trouble():
            await play_trouble(desk, plan, kept)
        else:
            await asyncio.sleep(plan.away_s + plan.rewrite_s)
        await asyncio.sleep(OBSERVED_S)
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.sleep(CALL_TIMEOUT_S if callers else 0.0)
        desk.stop()
    return judge(desk, record, revoked_at)


async def play_trouble(desk, plan, kept):
    """Play the drill; the platform starts a killed process again."""
    record, restart = desk.record, None
    if plan.killed:
        desk.machines[plan.killed].kill()
        record.add(f"{plan.killed} is killed")
        restart = asyncio.create_task(start_again(desk, plan.killed))
    if plan.away_s:
        desk.store.go_away()
        record.add("the store is away")
        await asyncio.sleep(plan.away_s)
        await desk.store.come_back(kept)
        record.add(f"the store is back from the copy, era {desk.store.era}")
        await asyncio.sleep(plan.rewrite_s)
        desk.store.put("config", "main", desk.config(7, [KEPT_KEY]))
        desk.write_servers()
        record.add("the operator and the servers have written again: version 7")
    if restart is not None:
        await restart


async def start_again(desk, name):
    """Start a killed process again, as the platform does."""
    await asyncio.sleep(RESTART_S)
    desk.machines[name].start()
    desk.record.add(f"{name} is started again")


def judge(desk, record, revoked_at):
    """Return the exit code by what clients and servers have seen."""
    allowed_until = revoked_at + REVOKE_S
    broken = [
        (sent_at, request_id, gateway)
        for request_id, (sent_at, gateway, key) in desk.sent.items()
        if key == REVOKED_KEY and sent_at > allowed_until and request_id in desk.ran
    ]
    kept_ran = sum(
        request_id in desk.ran
        for request_id, (_, _, key) in desk.sent.items()
        if key == KEPT_KEY
    )
    before = sum(
        request_id in desk.ran
        for request_id, (sent_at, _, key) in desk.sent.items()
        if key == REVOKED_KEY and sent_at < revoked_at
    )
    for sent_at, request_id, gateway in sorted(broken):
        late_s = sent_at - revoked_at
        record.add(
            f"broken: {request_id} to {gateway} was sent {late_s:.2f} s after the"
            f" acknowledgement and ran"
        )
    summary = {
        "ran_after_revocation": len(broken),
        "kept_key_ran": kept_ran,
        "revoked_key_ran_before": before,
    }
    record.add(json.dumps(summary))
    print(json.dumps(summary))
    if not kept_ran or not before:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    fleet.run_case(
        lambda record, folder: play(record, folder, PLAN_BY_NAME[sys.argv[2]])
    )
