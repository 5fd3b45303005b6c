"""A rank group of real agents around its stand-in, behind relays."""

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
    """What a group consists of.

    :param tuple shape: layers, ranks, experts and slots.
    :param dict group: settings of the group, over the defaults.
    :param dict engine: parameters of the stand-in of the engines.
    :param str mode: how the engines change their map.
    :param float store_rate: bytes a second of the weight store.
    :param bool platform_up: whether the platform runs.
    :param str platform_url: platform to use; empty to start one.
    :param str secret_file: secret to use; empty to make one.
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
    """Starts, breaks and stops a group; an asynchronous context manager.

    :param RankFleetPlan plan: what it consists of.
    :param pathlib.Path folder: where settings and logs go.

    :ivar dict process_by_name: every process, by name; agents are ``rank-N``.
    :ivar list relays_: the relay before each rank's agent.
    """

    def __init__(self, plan, folder):
        self.plan = plan
        self.folder = pathlib.Path(folder)
        self.process_by_name = {}
        self.relays_ = []
        self.session_ = None

    async def __aenter__(self):
        """Start everything."""
        self.session_ = aiohttp.ClientSession()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info):
        """Kill every process."""
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
        """Return the HTTP address of a stand-in.

        :param str name: name of the process.
        :rtype: str
        """
        return f"http://127.0.0.1:{self.process_by_name[name].ready_['port']}"

    async def group(self):
        """Return what the group of engines says of itself.

        :rtype: dict
        """
        async with self.session_.get(self.url("ranks") + "/group") as response:
            return await response.json()

    async def set_rank_faults(self, rank, **switches):
        """Change the fault switches of a rank's engine.

        :param int rank: the rank.
        :param switches: ``frozen``, ``slowness``, ``restart``, ``lose_staged``.
        """
        url = f"{self.url('ranks')}/ranks/{rank}/faults"
        async with self.session_.post(url, json=switches) as response:
            response.raise_for_status()

    async def set_faults(self, name, **switches):
        """Change the fault switches of the platform or the weight store.

        :param str name: ``platform`` or ``weights``.
        :param switches: new values by switch.
        """
        url = f"{self.url(name)}/faults"
        async with self.session_.post(url, json=switches) as response:
            response.raise_for_status()

    async def wait_until(self, condition, timeout_s):
        """Poll the group until a condition holds.

        :param condition: function of what :meth:`group` returns.
        :param float timeout_s: longest wait, in seconds.
        :returns: what the group said last.
        :rtype: dict
        :raises TimeoutError: if it does not hold in time.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                state = await self.group()
                if condition(state):
                    return state
                await asyncio.sleep(POLL_S)

    async def start_agent(self, rank, **group):
        """Start the agent of a rank, or start it again.

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
        """Put a rank's agent on the platform's list of hosts.

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
        """Return the log of a rank's agent.

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
        layers, _, count, slots = self.plan.shape
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
                "experts": count,
                "slots": slots,
                "interval_s": 0.5,
                "report_interval_s": 0.1,
                "expert_bytes": 1000,
                **self.plan.group,
            },
        }
