"""Simulates a deployment: real decision code, simulated network and platform."""

import asyncio
import dataclasses
import random

from sequoiagap import (
    admission,
    base,
    config,
    members,
    outcome,
    platform,
    routing,
    wire,
)
from sequoiagap.agent import _executor
from sequoiagap.entry import _dispatch, _link
from simulations import requests_fakes

DEADLINE_S = 6.0


@dataclasses.dataclass
class Faults:
    """Probabilities of faults, from 0 to 1."""

    cut: float = 0.0
    crash: float = 0.0
    pause: float = 0.0
    late: float = 0.0
    duplicate: float = 0.0
    lost_write: float = 0.0
    down: float = 0.0
    endpoint: float = 0.0
    leave: float = 0.0


class Agent:
    """Runs an agent's executor; it can crash and pause."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.paused_until = 0.0
        self.pipes = []
        self.start()

    def start(self):
        """Start a new incarnation."""
        self.hello = wire.Hello(self.name, "agent", base.new_id("inc"))
        self.executor = _executor.Executor(
            requests_fakes.Endpoint(self.world, self),
            requests_fakes.Gate(),
            outcome.Ledger(self.hello.incarnation),
            self.world.holder,
            self.name,
            "north",
            self.world.platform,
        )
        self.handlers = wire.HandlerTable()
        self.executor.attach(self.handlers)

    async def wait_until_resumed(self):
        """Wait until the process is resumed."""
        loop = asyncio.get_running_loop()
        while self.paused_until > loop.time():  # noqa: ASYNC110 - it may increase
            await asyncio.sleep(self.paused_until - loop.time())

    async def serve(self, pipe):
        """Serve one connection."""
        self.pipes.append(pipe)
        executor, handlers = self.executor, self.handlers

        async def handle(item):
            await self.wait_until_resumed()
            if executor is self.executor:
                await handlers.handle(pipe, item)

        try:
            await executor.send_clock_and_load(pipe)
            await pipe.run(handle)
        except base.WireError:
            pass
        finally:
            executor.forget_connection(pipe)

    async def crash(self):
        """Lose all state and connections and start again."""
        old = self.executor
        for pipe in self.pipes:
            pipe.close()
            pipe.remote_end.close()
        self.pipes = []
        self.start()
        for task in old._tasks.tasks_ | old.answers_.tasks_.tasks_:
            task.cancel()
        for store in old.claims_._store_by_service.values():
            for writer in store._writer_by_shard.values():
                await base.cancel_and_wait(writer._task)


class World:
    """Simulates entries, agents, endpoints and a platform.

    :param int seed: seed of all random choices.
    :param Faults faults: probabilities of faults.
    """

    def __init__(self, seed, faults):
        self.random = random.Random(seed)
        self.faults = faults
        self.holder = config.ConfigHolder()
        self.platform = requests_fakes.Platform(self)
        self.executions = {}
        self.agent_by_port = {i: Agent(self, f"agent-{i}") for i in range(3)}
        self.dispatchers = [self._entry(f"entry-{i}") for i in range(2)]

    def draw_fault(self, probability):
        """Return at random whether a fault happens."""
        return self.random.random() < probability

    def delay(self):
        """Return a random message delay in seconds, with a mean of 0.01 s."""
        return self.random.expovariate(1 / 0.01)

    async def connect(self, address, port, own):
        """Connect to an agent; replaces :func:`sequoiagap.wire.connect`."""
        agent = self.agent_by_port[port]
        await asyncio.sleep(self.delay())
        await agent.wait_until_resumed()
        local_end, remote_end = (
            requests_fakes.Pipe(self, own, agent.hello),
            requests_fakes.Pipe(self, agent.hello, own),
        )
        local_end.remote_end, remote_end.remote_end = remote_end, local_end
        self._serving = asyncio.create_task(agent.serve(remote_end))
        return local_end

    async def inject_faults(self):
        """Crash and pause agents at random until cancelled."""
        while True:
            await asyncio.sleep(0.5)
            for agent in self.agent_by_port.values():
                if self.draw_fault(self.faults.crash):
                    await agent.crash()
                if self.draw_fault(self.faults.pause):
                    pause = self.random.uniform(0, 1.5 * DEADLINE_S)
                    now = asyncio.get_running_loop().time()
                    agent.paused_until = now + pause

    def _entry(self, name):
        links = _Links(self, name)
        budget = admission.RetryBudget(share=1.0)
        return _dispatch.Dispatcher(
            links, self.holder, budget, outcome.Journal(), self.random
        )


class _NoExchange:
    """Replaces the exchange of configuration and reports, which is not simulated."""

    def attach(self, handlers):
        pass

    async def send_offer(self, connection):
        pass

    def forget(self, node_id):
        pass


class _Links:
    def __init__(self, world, name):
        self.by_id = {}
        self.tasks = []
        for port, agent in world.agent_by_port.items():
            host = platform.HostEntry(agent.name, "agent", "", port, "north")
            view = routing.EndpointView(agent.name, "north", frozenset(["orders"]))
            link = _link.AgentLink(
                members.Member(host),
                view,
                lambda: wire.Hello(name, "entry", name),
                _NoExchange(),
                _NoExchange(),
            )
            self.by_id[agent.name] = link

    def run(self):
        """Start every link."""
        self.tasks = [asyncio.create_task(link.run()) for link in self.by_id.values()]

    async def ensure_reachable(self, target, tried=(), endpoint_id=""):
        """Do nothing, as every agent has a link."""

    def candidates(self, target, tried=(), endpoint_id=""):
        """Return the connected endpoints."""
        return [link.view for link in self.by_id.values() if link.view.connected]
