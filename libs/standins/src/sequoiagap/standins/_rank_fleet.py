"""Test fleet of one rank group: real agents behind relays, with simulated engines."""

import asyncio
import dataclasses
import json
import os
import pathlib
import sys

import aiohttp

from sequoiagap.standins import _frame_relay, _process

POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class RankFleetPlan:
    """Describes a rank group and its settings.

    :param tuple shape: numbers of layers, ranks, experts and slots per rank.
    :param dict group: settings of the group, merged over the defaults.
    :param dict engine: parameters of the engines' stand-in.
    :param str mode: how an armed map takes effect in the engines.
    :param float store_rate: rate of the weight store, in bytes per second.
    :param bool platform_up: whether the platform answers at the start.
    :param str platform_url: URL of the platform; empty to start a stand-in.
    :param str secret_file: path of the secret; empty to create one.
    """

    shape: tuple = (2, 3, 6, 3)
    group: dict = dataclasses.field(default_factory=dict)
    engine: dict = dataclasses.field(default_factory=dict)
    mode: str = "hold_at_step"
    store_rate: float = 1e9
    platform_up: bool = True
    platform_url: str = ""
    secret_file: str = ""


class RankFleet:
    """Runs a group as an asynchronous context manager and injects faults into it.

    :param RankFleetPlan plan: composition of the group.
    :param pathlib.Path folder: folder for settings and logs.

    :ivar dict process_by_name: started processes, by name; agents are ``rank-N``.
    :ivar list relays_: relay in front of each rank's agent.
    """

    def __init__(self, plan, folder):
        self.plan = plan
        self.folder = pathlib.Path(folder)
        self.process_by_name = {}
        self.relays_ = []
        self.session_ = None

    async def __aenter__(self):
        """Start all processes."""
        self.session_ = aiohttp.ClientSession()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info):
        """Kill all processes and close the relays."""
        for process in self.process_by_name.values():
            if process.child_ is not None:
                await process.kill()
        for relay in self.relays_:
            await relay.close()
        await self.session_.close()

    @property
    def ranks(self):
        """Number of ranks."""
        return self.plan.shape[1]

    def url(self, name):
        """Return the base URL of a stand-in.

        :param str name: name of the process.
        :rtype: str
        """
        return f"http://127.0.0.1:{self.process_by_name[name].ready_['port']}"

    async def group(self):
        """Return the state of the engine group.

        :rtype: dict
        """
        async with self.session_.get(self.url("ranks") + "/group") as response:
            return await response.json()

    async def set_rank_faults(self, rank, **switches):
        """Set fault switches of a rank's engine.

        :param int rank: the rank.
        :param switches: new values of ``frozen``, ``slowness``, ``restart`` or
            ``lose_staged``.
        """
        url = f"{self.url('ranks')}/ranks/{rank}/faults"
        async with self.session_.post(url, json=switches) as response:
            response.raise_for_status()

    async def set_faults(self, name, **switches):
        """Set fault switches of the platform or the weight store.

        :param str name: ``platform`` or ``weights``.
        :param switches: new values by name of the switch.
        """
        url = f"{self.url(name)}/faults"
        async with self.session_.post(url, json=switches) as response:
            response.raise_for_status()

    async def wait_until(self, condition, timeout_s):
        """Poll the group until a condition holds.

        :param condition: function of the result of :meth:`group`.
        :param float timeout_s: maximum wait, in seconds.
        :returns: last result of :meth:`group`.
        :rtype: dict
        :raises TimeoutError: if the condition does not hold in time.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                state = await self.group()
                if condition(state):
                    return state
                await asyncio.sleep(POLL_S)

    async def start_agent(self, rank, **group):
        """Start or restart the agent of a rank.

        :param int rank: the rank.
        :param group: settings of the group for this agent only.
        """
        path = self.folder / f"rank-{rank}.json"
        settings = self._settings(rank)
        settings["group"] |= group
        path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "sequoiagap.cli", "agent", str(path)]
        process = await self._start_process(f"rank-{rank}", command)
        self.relays_[rank].target_port = process.ready_["port"]

    async def register(self, rank, serves=("desk-model",)):
        """Add a rank's agent to the platform's host list.

        :param int rank: the rank.
        :param tuple serves: models that it serves.
        """
        name = f"rank-{rank}"
        host = {
            "host_id": name,
            "role": "agent",
            "address": "127.0.0.1",
            "port": self.process_by_name[name].ready_["port"],
            "failure_domain": "north",
            "state": "live",
            "serves": list(serves),
        }
        url = self.plan.platform_url or self.url("platform")
        async with self.session_.put(f"{url}/hosts/{name}", json=host) as response:
            response.raise_for_status()

    def log(self, rank):
        """Return the log text of a rank's agent.

        :param int rank: the rank.
        :rtype: str
        """
        return (self.folder / f"rank-{rank}.log").read_text()

    async def _start(self):
        if not self.plan.secret_file:
            (self.folder / "secret").write_text(os.urandom(16).hex())
        if not self.plan.platform_url:
            await self._start_stand_in("platform", "platform", {})
        if not self.plan.platform_up:
            await self.set_faults("platform", down=True)
        rate = {"rate_bytes_s": self.plan.store_rate}
        await self._start_stand_in("weights", "weights", rate)
        engine = {
            "shape": self.plan.shape,
            "mode": self.plan.mode,
            "weights_url": self.url("weights"),
            **self.plan.engine,
        }
        await self._start_stand_in("ranks", "ranks", engine)
        self.relays_ = [_frame_relay.FrameRelay(0, rank) for rank in range(self.ranks)]
        for relay in self.relays_:
            await relay.start()
        await asyncio.gather(*(self.start_agent(r) for r in range(self.ranks)))

    async def _start_stand_in(self, name, kind, parameters):
        command = [sys.executable, "-m", "sequoiagap.standins", kind]
        await self._start_process(name, [*command, json.dumps(parameters)])

    async def _start_process(self, name, command):
        process = _process.Process(name, command, self.folder / f"{name}.log")
        self.process_by_name[name] = process
        await process.start()
        return process

    def _settings(self, rank):
        layers, _, experts, slots = self.plan.shape
        peers = [{"address": "127.0.0.1", "port": r.port_} for r in self.relays_]
        return {
            "role": "agent",
            "node_id": f"rank-{rank}",
            "deployment": "test",
            "region": "local",
            "failure_domain": "north",
            "address": "127.0.0.1",
            "port": 0,
            "platform": {
                "url": self.plan.platform_url or self.url("platform"),
                "timeout_s": 0.5,
            },
            "secret_file": self.plan.secret_file or str(self.folder / "secret"),
            "endpoint": {
                "kind": "model",
                "url": f"{self.url('ranks')}/ranks/{rank}",
                "serves": ["desk-model"],
                "engine": self.plan.mode,
            },
            "group": {
                "name": "group-0",
                "rank": rank,
                "peers": peers,
                "layers": layers,
                "experts": experts,
                "slots": slots,
                "interval_s": 0.5,
                "report_interval_s": 0.1,
                "expert_bytes": 1000,
                **self.plan.group,
            },
        }
