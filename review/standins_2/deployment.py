"""A small deployment: store, servers, gateways and agents; and the frame of a case."""

import asyncio
import os
import signal
import traceback

from standins_2 import clients, programs, servers, store

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_RUN_S = 112
SETTLE_S = 0.2
EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN = 1, 0, 2
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


def route(name, prefix, kind, service, **more):
    """Return a route of a configuration."""
    return {
        "Name": name,
        "Host": clients.HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 8000 if kind == "stream" else 1000,
        "TargetLatencyMs": 400 if kind == "stream" else 200,
        "TargetGapMs": 120 if kind == "stream" else 0,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": kind == "stream",
        "Resumable": False,
    } | more


def service(name, **more):
    """Return a service of a configuration."""
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConnections": 408,
        "ColdS": 0.0,
        "ColdPerS": 0.0,
    } | more


def configuration(version, routes, services, keys):
    """Return a configuration with one client account."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": LIMITS,
        "Tenants": [{"Name": "guild", "ApiKeys": list(keys), "Priority": 1}],
    }


class Deployment:
    """Store, servers and the project's programs of one run.

    :param Record record: what was sent, answered and run.
    :param str folder: temporary folder of the run.
    """

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.addresses = programs.Addresses()
        self.platform = store.Store(self.addresses.take(), programs.STORE_PORT, record)
        self.servers = []
        self.gateways = []
        self.agents = []

    @property
    def fronts(self):
        """Addresses of the gateways."""
        return [gateway.fields["Ip"] for gateway in self.gateways]

    def add_server(self, name, service_name, zone):
        """Add a server and return it."""
        server = servers.Server(
            name,
            service_name,
            zone,
            self.addresses.take(),
            programs.SERVER_PORT,
            self.platform,
            self.record,
        )
        self.servers.append(server)
        return server

    def add_agent(self, server):
        """Add the agent beside a model server."""
        fields = programs.rank_fields(
            f"side-{server.name}",
            server.zone,
            server.address,
            self.platform.host_and_port,
            f"{server.address}:{server.port}",
            server.service,
        )
        self.agents.append(programs.Program("ranks", fields, self.folder))

    def add_gateway(self, name, zone):
        """Add a gateway."""
        fields = programs.gateway_fields(
            name, zone, self.addresses.take(), self.platform.host_and_port
        )
        self.gateways.append(programs.Program("gateway", fields, self.folder))

    async def start(self):
        """Start everything; return once all gateways say that they are ready."""
        await self.platform.start()
        for server in self.servers:
            await server.start()
        for program in (*self.agents, *self.gateways):
            await program.start()
        for front in self.fronts:
            await clients.until_ready(front)
        self.record.write("ready", gateways=len(self.gateways), agents=len(self.agents))

    async def stop(self):
        """End everything."""
        for program in (*self.gateways, *self.agents):
            await program.stop()
        for server in self.servers:
            await server.stop()
        await asyncio.sleep(SETTLE_S)  # until connections that were ended are noticed

    def ids_run(self):
        """Return the ids of all requests that began to run."""
        return {
            message.get("Request-Id")
            for server in self.servers
            for _, message in server.runs
        }


async def _run(play, record):
    loop, own = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, own.cancel)
    with programs.temporary_folder() as folder:
        deployment = Deployment(record, folder)
        try:
            async with asyncio.timeout(MAX_RUN_S):
                return await play(deployment, record)
        finally:
            await deployment.stop()


def run_case(play, record_path):
    """Run a case and return the exit code of its script.

    :param play: coroutine function that takes deployment and record, and returns
        whether the rule was broken and a line that says what was seen.
    :param record_path: where the record is written.
    """
    record = programs.Record(record_path)
    record.write("begin", trouble=HAS_TROUBLE)
    try:
        is_broken, seen = asyncio.run(_run(play, record))
    except (Exception, asyncio.CancelledError):
        record.write("error", error=traceback.format_exc())
        print("the case couldn't run:", traceback.format_exc())
        return EXIT_NOT_RUN
    finally:
        record.close()
    print(seen)
    return EXIT_BROKEN if is_broken else EXIT_HELD
