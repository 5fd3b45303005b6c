"""Test fleet of real processes on one machine, with stand-ins for external systems."""

import asyncio
import json
import pathlib
import signal
import sys

import aiohttp

from sequoiagap.standins import _documents, _process, _relays

READY_TIMEOUT_S = 20.0
POLL_S = 0.05
CALLER_KEY = "caller-key"
OPERATOR_KEY = _documents.OPERATOR_KEY


class Fleet:
    """Runs a fleet as an asynchronous context manager and injects faults into it.

    :param FleetPlan plan: composition of the fleet.
    :param pathlib.Path folder: folder for settings and logs.

    :ivar dict process_by_name: started processes, by name.
    :ivar Relays relays_: relays of the connections, empty unless the plan has them.
    """

    def __init__(self, plan, folder):
        self.plan = plan
        self.folder = pathlib.Path(folder)
        self.process_by_name = {}
        self.relays_ = _relays.Relays()
        self.session_ = None

    async def __aenter__(self):
        """Start all processes; with a configuration, wait until the fleet is ready."""
        self.session_ = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info):
        """Kill all processes and close the relays."""
        for process in self.process_by_name.values():
            process.send_signal(signal.SIGKILL)
        for process in self.process_by_name.values():
            if process.child_ is not None:
                await process.child_.wait()
        await self.relays_.close()
        await self.session_.close()

    def url(self, name):
        """Return the base URL of a process.

        :param str name: name of the process.
        :rtype: str
        """
        ready = self.process_by_name[name].ready_
        return f"http://127.0.0.1:{ready.get('http_port', ready.get('port'))}"

    def entry_names(self):
        """Return the names of the entries.

        :rtype: list[str]
        """
        return [f"entry-{i}" for i in range(self.plan.entries)]

    def endpoint_names(self):
        """Return the names of the endpoints, which equal those of their agents.

        :rtype: list[str]
        """
        return [name for name, _, _ in self._endpoints()]

    async def call(self, name, method, path, body=None, key=OPERATOR_KEY):
        """Send a request to a process and return status and JSON body.

        :param str name: name of the process.
        :param str method: HTTP method.
        :param str path: HTTP path.
        :param dict body: JSON body, or ``None``.
        :param str key: key to authenticate with.
        :rtype: tuple[int, dict]
        """
        headers = {"Authorization": f"Bearer {key}"}
        url = self.url(name) + path
        request = self.session_.request(method, url, json=body, headers=headers)
        async with request as response:
            return response.status, await response.json()

    async def set_faults(self, name, **switches):
        """Set fault switches of a stand-in.

        :param str name: ``platform``, or ``NAME-target`` for an endpoint's stand-in.
        :param switches: new values by name of the switch.
        :raises ValueError: if a switch does not exist.
        """
        status, document = await self.call(name, "POST", "/faults", switches)
        if status != 200:
            raise ValueError(document["error"])

    async def patch_config(self, changes, entry="entry-0"):
        """Submit a configuration patch against the current version.

        :param dict changes: merge patch.
        :param str entry: name of the entry to submit to.
        :rtype: tuple[int, dict]
        """
        _, current = await self.call(entry, "GET", "/config")
        body = {"against": current["version"], "changes": changes}
        return await self.call(entry, "POST", "/config", body)

    async def executions(self):
        """Return the number of executions by request key, over all endpoints.

        :rtype: dict[str, int]
        """
        total = {}
        for name in self.endpoint_names():
            _, counts = await self.call(f"{name}-target", "GET", "/executions")
            for key, count in counts.items():
                total[key] = total.get(key, 0) + count
        return total

    async def wait_until(self, condition, timeout_s):
        """Poll a condition until it holds.

        :param condition: coroutine function that returns a bool.
        :param float timeout_s: maximum wait, in seconds.
        :raises TimeoutError: if the condition does not hold in time.
        """
        async with asyncio.timeout(timeout_s):
            while not await condition():  # noqa: ASYNC110 - state of other processes
                await asyncio.sleep(POLL_S)

    async def wait_ready(self):
        """Wait until every entry can reach its endpoints, up to ``max_links``."""
        await self.wait_until(self._is_ready, READY_TIMEOUT_S)

    def first_config(self):
        """Return the document of configuration version 1.

        :rtype: dict
        """
        return _documents.first_config(self.plan)

    async def start_entry(self, index):
        """Start or restart an entry.

        :param int index: index of the entry.
        """
        name = f"entry-{index}"
        domain = self.plan.domains[index % len(self.plan.domains)]
        node = await self._make_node_settings(name, domain)
        settings = node | {
            "role": "entry",
            "http_port": 0,
            "keys_file": str(self.folder / "keys.json"),
            "drain_lag_s": 0.3,
            **self.plan.entry,
        }
        await self._start_role("entry", name, settings)
        host = await self._make_host_entry(name, "entry", domain, [])
        await self.call("platform", "PUT", f"/hosts/{name}", host)

    async def start_agent(self, name):
        """Start or restart the agent of an endpoint.

        :param str name: name of the endpoint.
        """
        kind, domain = {n: (k, d) for n, k, d in self._endpoints()}[name]
        serves = ["desk-model"] if kind == "model" else ["orders"]
        endpoint = {
            "kind": kind,
            "url": self.url(f"{name}-target"),
            "serves": serves,
            "warm_up_s": 1.0,
            **self.plan.endpoint,
        }
        node = await self._make_node_settings(name, domain)
        settings = node | {"role": "agent", "endpoint": endpoint, **self.plan.agent}
        await self._start_role("agent", name, settings)
        host = await self._make_host_entry(name, "agent", domain, serves)
        await self.call("platform", "PUT", f"/hosts/{name}", host)

    async def start_stand_in(self, name, kind, parameters):
        """Start or restart a stand-in.

        :param str name: name of the process.
        :param str kind: ``platform``, ``engine`` or ``service``.
        :param dict parameters: parameters of its class.
        """
        arguments = [kind, json.dumps(parameters)]
        command = [sys.executable, "-m", "sequoiagap.standins", *arguments]
        await self._start_process(name, command)

    async def _start(self):
        _documents.write_shared_files(self.folder, self.plan.accounts)
        await self.start_stand_in("platform", "platform", self.plan.platform)
        if self.plan.configured:
            await self._write_config()
        await asyncio.gather(*(self._start_endpoint(*e) for e in self._endpoints()))
        await asyncio.gather(*(self.start_entry(i) for i in range(self.plan.entries)))
        if self.plan.configured:
            await self.wait_ready()

    async def _start_endpoint(self, name, kind, domain):
        if kind == "model":
            await self.start_stand_in(f"{name}-target", "engine", self.plan.engine)
        else:
            await self.start_stand_in(f"{name}-target", "service", self.plan.service)
        await self.start_agent(name)

    async def _is_ready(self):
        for name in self.entry_names():
            _, state = await self.call(name, "GET", "/state")
            admitting = [e for e in state["endpoints"].values() if e["limit"] > 0]
            usable = [e for e in admitting if e["connected"]]
            expected = len(self.endpoint_names())
            expected = min(expected, self.plan.entry.get("max_links", expected))
            if not state["ready"] or len(usable) < expected:
                return False
        return True

    def _endpoints(self):
        endpoints = []
        for domain in self.plan.domains:
            for i in range(self.plan.engines_per_domain):
                endpoints.append((f"{domain}-model-{i}", "model", domain))
            for i in range(self.plan.services_per_domain):
                endpoints.append((f"{domain}-desk-{i}", "service", domain))
        return endpoints

    async def _make_node_settings(self, name, domain):
        url = self.url("platform")
        if self.plan.relays:
            port = self.process_by_name["platform"].ready_["port"]
            port = await self.relays_.platform_port(name, port)
            url = f"http://127.0.0.1:{port}"
        settings = _documents.node_settings(self.plan, self.folder, name, domain, url)
        return settings | {"seeds": self._seeds(name, domain)}

    def _seeds(self, name, domain):
        """Return the addresses of running entries in a failure domain."""
        ports = [
            self.relays_.peer_by_name[entry].port_
            if self.plan.relays
            else self.process_by_name[entry].ready_["port"]
            for index, entry in enumerate(self.entry_names())
            if self.plan.domains[index % len(self.plan.domains)] == domain
            and entry != name
            and self.is_ready(entry)
        ]
        return [{"address": "127.0.0.1", "port": port} for port in ports]

    def is_ready(self, name):
        """Return whether a process has started and reported its ports.

        :param str name: name of the process.
        :rtype: bool
        """
        process = self.process_by_name.get(name)
        has_relay = not self.plan.relays or name in self.relays_.peer_by_name
        return process is not None and bool(process.ready_) and has_relay

    async def _make_host_entry(self, name, role, domain, serves):
        port = self.process_by_name[name].ready_.get("port", 0)
        if self.plan.relays:
            port = await self.relays_.peer_port(name, port)
        return {
            "host_id": name,
            "role": role,
            "address": "127.0.0.1",
            "port": port,
            "failure_domain": domain,
            "state": "live",
            "serves": serves,
        }

    async def _start_role(self, role, name, settings):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        command = [*self.plan.program, role, str(path)]
        await self._start_process(name, command)

    async def _start_process(self, name, command):
        process = _process.Process(name, command, self.folder / f"{name}.log")
        self.process_by_name[name] = process
        await process.start()

    async def _write_config(self):
        value = {"number": 1, "document": self.first_config(), "history": []}
        body = {"expected_version": 0, "value": value}
        await self.call("platform", "PUT", "/objects/sequoiagap-config", body)
