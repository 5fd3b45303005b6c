"""A deployment in one process: real decisions, simulated network and platform."""

import asyncio
import copy
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
from sequoiagap.agent import _endpoint, _executor
from sequoiagap.entry import _dispatch, _link

SILENCE_S = 1.5
DEADLINE_S = 6.0
WORK_S = 0.3


@dataclasses.dataclass
class Faults:
    """How likely each fault is, from 0 to 1."""

    cut: float = 0.0
    crash: float = 0.0
    pause: float = 0.0
    late: float = 0.0
    duplicate: float = 0.0
    lost_write: float = 0.0
    down: float = 0.0
    endpoint: float = 0.0
    leave: float = 0.0


class Pipe:
    """One end of a simulated connection; messages keep their order."""

    def __init__(self, world, own, peer):
        self.world = world
        self.peer = peer
        self.own = own
        self.closed_ = False
        self.silent_ = False
        self.far = None
        self._inbox = asyncio.Queue()
        self._handle = None
        self._broken = False
        self._free_at = 0.0
        self._late = set()

    def mark_busy(self, busy):
        """Heartbeats are not simulated."""

    async def send(self, item):
        """Send a message, which comes after a while, late or never."""
        if self.closed_:
            raise base.WireError("closed", "")
        world, loop = self.world, asyncio.get_running_loop()
        if self._broken and not world.happens(world.faults.late):
            return
        if self._broken:
            self._free_at = loop.time() + world.random.uniform(0, 2 * SILENCE_S)
        self._free_at = max(self._free_at, loop.time()) + world.delay()
        item = copy.deepcopy(item)
        loop.call_at(self._free_at, self.far.take, item)
        if world.happens(world.faults.duplicate):
            loop.call_at(self._free_at + 2 * world.delay(), self.far.take, item)
        if world.happens(world.faults.cut):
            self.break_off()

    def take(self, item):
        """Take a message that has arrived."""
        if not self.closed_:
            self._inbox.put_nowait(item)
        elif self._handle is not None and self.own.role == "agent":
            # The agent has it, whatever both believe of the connection.
            task = asyncio.create_task(self._handle(item))
            self._late.add(task)
            task.add_done_callback(self._finish_late)

    def break_off(self):
        """Lose the connection; each end notices in its own time."""
        loop = asyncio.get_running_loop()
        for end in (self, self.far):
            end._broken = True
            loop.call_later(self.world.random.uniform(0, SILENCE_S), end.close)

    def close(self):
        """Close this end."""
        if not self.closed_:
            self.closed_ = True
            self._inbox.put_nowait(None)

    async def run(self, handle):
        """Handle messages until the end; some come after it."""
        self._handle = handle
        while (item := await self._inbox.get()) is not None:
            await handle(item)
        return "closed"

    def _finish_late(self, task):
        self._late.discard(task)
        if not task.cancelled() and isinstance(task.exception(), base.WireError):
            return  # its answer finds the connection closed
        task.result()


class Platform:
    """Objects in memory; writes may land late or lose their answer."""

    def __init__(self, world):
        self.world = world
        self.objects = {}
        self.down_until = 0.0

    async def get(self, name):
        """Return an object."""
        await self._call()
        return self.objects.get(name)

    async def put(self, name, value, expected_version):
        """Write an object conditionally."""
        await self._call()
        if self.world.happens(self.world.faults.lost_write):
            loop = asyncio.get_running_loop()
            write = (name, copy.deepcopy(value), expected_version)
            loop.call_later(self.world.random.uniform(0, 3), self._write_late, *write)
            await asyncio.sleep(0.5)
            raise base.PlatformError("no answer", "", effect_unknown=True)
        return self._write(name, copy.deepcopy(value), expected_version)

    async def _call(self):
        await asyncio.sleep(self.world.delay())
        now = asyncio.get_running_loop().time()
        if self.world.happens(self.world.faults.down):
            self.down_until = now + self.world.random.uniform(0, 4)
        if now < self.down_until:
            raise base.PlatformError("down", "")

    def _write_late(self, *write):
        try:
            self._write(*write)
        except platform.ObjectConflict:
            return

    def _write(self, name, value, expected_version):
        known = self.objects.get(name)
        version = 0 if known is None else known.version
        if version != expected_version:
            raise platform.ObjectConflict(name, version)
        self.objects[name] = platform.StoredObject(name, version + 1, value)
        return self.objects[name]


class Gate:
    """Bears everything."""

    state = "warm"
    role_ = "both"
    serves_whole = True
    in_flight_ = 0
    foreign_ = 0

    def limit(self, now):
        """Return the limit."""
        return 1000

    def try_enter(self, now):
        """Take a slot."""
        self.in_flight_ += 1
        return True

    def leave_slot(self):
        """Give a slot back."""
        self.in_flight_ -= 1


class Endpoint:
    """Counts executions by key; its answer names the key."""

    def __init__(self, world, agent):
        self.world = world
        self.agent = agent

    async def call(self, order, on_head, on_data):
        """Run an order."""
        await self.agent.awake()
        await asyncio.sleep(self.world.delay())
        if self.world.happens(self.world.faults.endpoint):
            raise _endpoint.EndpointError("can't be reached", sent=False)
        key = order.idempotency_key or order.request_id
        self.world.executions[key] = self.world.executions.get(key, 0) + 1
        await asyncio.sleep(self.world.random.uniform(0, 2 * WORK_S))
        if self.world.happens(self.world.faults.endpoint):
            raise _endpoint.EndpointError("broke off", sent=True)
        await on_head(200, {})
        for part in ("answer", "of", key):
            await asyncio.sleep(self.world.delay())
            await on_data(part.encode() + b" ")


class Agent:
    """An agent that crashes and pauses."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.paused_until = 0.0
        self.pipes = []
        self.start()

    def start(self):
        """Start a fresh incarnation."""
        self.hello = wire.Hello(self.name, "agent", base.new_id("inc"))
        self.executor = _executor.Executor(
            Endpoint(self.world, self),
            Gate(),
            outcome.Ledger(self.hello.incarnation),
            self.world.holder,
            self.name,
            "north",
            self.world.platform,
        )
        self.handlers = wire.HandlerTable()
        self.executor.attach(self.handlers)

    async def awake(self):
        """Wait until the process is not paused."""
        loop = asyncio.get_running_loop()
        while self.paused_until > loop.time():  # noqa: ASYNC110 - it may grow
            await asyncio.sleep(self.paused_until - loop.time())

    async def serve(self, pipe):
        """Serve one connection."""
        self.pipes.append(pipe)
        executor, handlers = self.executor, self.handlers

        async def handle(item):
            await self.awake()
            if executor is self.executor:
                await handlers.handle(pipe, item)

        try:
            await executor.greet(pipe)
            await pipe.run(handle)
        except base.WireError:
            pass
        finally:
            executor.forget_connection(pipe)

    async def crash(self):
        """Lose everything and start again."""
        old = self.executor
        for pipe in self.pipes:
            pipe.close()
            pipe.far.close()
        self.pipes = []
        self.start()
        for task in old._tasks.tasks_ | old.answers_.tasks_.tasks_:
            task.cancel()
        for store in old.claims_._store_by_service.values():
            for writer in store._writer_by_shard.values():
                await base.cancel_and_wait(writer._task)


class Sink:
    """Takes an answer."""

    def __init__(self):
        self.started = False
        self.data_ = b""

    async def head(self, status, headers):
        """Begin an answer."""
        self.data_ = b""

    async def data(self, data):
        """Take a piece."""
        self.data_ += data


class World:
    """Entries, agents, endpoints and a platform.

    :param int seed: decides everything that is random.
    :param Faults faults: what goes wrong, and how often.
    """

    def __init__(self, seed, faults):
        self.random = random.Random(seed)
        self.faults = faults
        self.holder = config.ConfigHolder()
        self.platform = Platform(self)
        self.executions = {}
        self.agent_by_port = {i: Agent(self, f"agent-{i}") for i in range(3)}
        self.dispatchers = [self._entry(f"entry-{i}") for i in range(2)]

    def happens(self, likelihood):
        """Draw whether a fault happens."""
        return self.random.random() < likelihood

    def delay(self):
        """Draw the time of a message; most are quick."""
        return self.random.expovariate(1 / 0.01)

    async def connect(self, address, port, own):
        """Take the place of :func:`sequoiagap.wire.connect`."""
        agent = self.agent_by_port[port]
        await asyncio.sleep(self.delay())
        await agent.awake()
        near, far = Pipe(self, own, agent.hello), Pipe(self, agent.hello, own)
        near.far, far.far = far, near
        self._serving = asyncio.create_task(agent.serve(far))
        return near

    async def disturb(self):
        """Crash and pause agents until cancelled."""
        while True:
            await asyncio.sleep(0.5)
            for agent in self.agent_by_port.values():
                if self.happens(self.faults.crash):
                    await agent.crash()
                if self.happens(self.faults.pause):
                    pause = self.random.uniform(0, 1.5 * DEADLINE_S)
                    now = asyncio.get_running_loop().time()
                    agent.paused_until = now + pause

    def _entry(self, name):
        links = _Links(self, name)
        budget = admission.RetryBudget(share=1.0)
        return _dispatch.Dispatcher(
            links, self.holder, budget, outcome.Journal(), self.random
        )


class _NoSpread:
    """Configuration and reports do not spread in a simulation."""

    def attach(self, handlers):
        pass

    async def greet(self, connection):
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
                _NoSpread(),
                _NoSpread(),
            )
            self.by_id[agent.name] = link

    def run(self):
        """Start every link."""
        self.tasks = [asyncio.create_task(link.run()) for link in self.by_id.values()]

    async def reach(self, target, tried=(), endpoint_id=""):
        """Every agent is linked."""

    def candidates(self, target, tried=(), endpoint_id=""):
        """Return the connected endpoints."""
        return [link.view for link in self.by_id.values() if link.view.connected]
