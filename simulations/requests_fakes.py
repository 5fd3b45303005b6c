"""Fakes around entries and agents in a simulated deployment."""

import asyncio
import copy

from sequoiagap import base, platform
from sequoiagap.agent import _endpoint

SILENCE_S = 1.5
WORK_S = 0.3


class Pipe:
    """Simulates one end of a connection; messages keep their order."""

    def __init__(self, world, own, peer):
        self.world = world
        self.peer = peer
        self.own = own
        self.closed_ = False
        self.silent_ = False
        self.remote_end = None
        self._inbox = asyncio.Queue()
        self._handle = None
        self._broken = False
        self._free_at = 0.0
        self._late = set()

    def mark_busy(self, busy):
        """Do nothing, as heartbeats are not simulated."""

    async def send(self, item):
        """Send a message, which arrives after a delay, late or never.

        :raises sequoiagap.base.WireError: if this end is closed.
        """
        if self.closed_:
            raise base.WireError("closed", "")
        world, loop = self.world, asyncio.get_running_loop()
        if self._broken and not world.draw_fault(world.faults.late):
            return
        if self._broken:
            self._free_at = loop.time() + world.random.uniform(0, 2 * SILENCE_S)
        self._free_at = max(self._free_at, loop.time()) + world.delay()
        item = copy.deepcopy(item)
        loop.call_at(self._free_at, self.remote_end.receive, item)
        if world.draw_fault(world.faults.duplicate):
            loop.call_at(
                self._free_at + 2 * world.delay(), self.remote_end.receive, item
            )
        if world.draw_fault(world.faults.cut):
            self.break_connection()

    def receive(self, item):
        """Receive a message that has arrived."""
        if not self.closed_:
            self._inbox.put_nowait(item)
        elif self._handle is not None and self.own.role == "agent":
            # The message reached the agent, although this end is already closed.
            task = asyncio.create_task(self._handle(item))
            self._late.add(task)
            task.add_done_callback(self._finish_late)

    def break_connection(self):
        """Break the connection; each end detects it after its own delay."""
        loop = asyncio.get_running_loop()
        for end in (self, self.remote_end):
            end._broken = True
            loop.call_later(self.world.random.uniform(0, SILENCE_S), end.close)

    def close(self):
        """Close this end."""
        if not self.closed_:
            self.closed_ = True
            self._inbox.put_nowait(None)

    async def run(self, handle):
        """Handle messages until this end is closed."""
        self._handle = handle
        while (item := await self._inbox.get()) is not None:
            await handle(item)
        return "closed"

    def _finish_late(self, task):
        self._late.discard(task)
        if not task.cancelled() and isinstance(task.exception(), base.WireError):
            return  # the connection is closed when it answers
        task.result()


class Platform:
    """Keeps objects in memory; writes may take effect late or lose their answer."""

    def __init__(self, world):
        self.world = world
        self.objects = {}
        self.down_until = 0.0

    async def get(self, name):
        """Return an object, or ``None``."""
        await self._call()
        return self.objects.get(name)

    async def put(self, name, value, expected_version):
        """Write an object if its version is the expected one."""
        await self._call()
        if self.world.draw_fault(self.world.faults.lost_write):
            loop = asyncio.get_running_loop()
            write = (name, copy.deepcopy(value), expected_version)
            loop.call_later(self.world.random.uniform(0, 3), self._write_late, *write)
            await asyncio.sleep(0.5)
            raise base.PlatformError("no answer", "", effect_unknown=True)
        return self._write(name, copy.deepcopy(value), expected_version)

    async def _call(self):
        await asyncio.sleep(self.world.delay())
        now = asyncio.get_running_loop().time()
        if self.world.draw_fault(self.world.faults.down):
            self.down_until = now + self.world.random.uniform(0, 4)
        if now < self.down_until:
            raise base.PlatformError("down", "")

    def _write_late(self, *write):
        try:
            self._write(*write)
        except platform.ObjectConflict:
            return

    def _write(self, name, value, expected_version):
        stored = self.objects.get(name)
        version = 0 if stored is None else stored.version
        if version != expected_version:
            raise platform.ObjectConflict(name, version)
        self.objects[name] = platform.StoredObject(name, version + 1, value)
        return self.objects[name]


class Gate:
    """Admission gate of an endpoint without overload."""

    state = "warm"
    role_ = "both"
    serves_full_requests = True
    in_flight_ = 0
    inherited_ = 0

    def limit(self, now):
        """Return the limit of concurrent requests."""
        return 1000

    def try_acquire_slot(self, now):
        """Acquire a slot; always succeeds."""
        self.in_flight_ += 1
        return True

    def release_slot(self):
        """Release a slot."""
        self.in_flight_ -= 1


class Endpoint:
    """Counts executions by key and answers with the key."""

    def __init__(self, world, agent):
        self.world = world
        self.agent = agent

    async def call(self, order, on_head, on_data):
        """Execute a request and send its answer.

        :raises sequoiagap.agent._endpoint.EndpointError: if a fault is injected.
        """
        await self.agent.wait_until_resumed()
        await asyncio.sleep(self.world.delay())
        if self.world.draw_fault(self.world.faults.endpoint):
            raise _endpoint.EndpointError("connection refused", sent=False)
        key = order.idempotency_key or order.request_id
        self.world.executions[key] = self.world.executions.get(key, 0) + 1
        await asyncio.sleep(self.world.random.uniform(0, 2 * WORK_S))
        if self.world.draw_fault(self.world.faults.endpoint):
            raise _endpoint.EndpointError("connection broke", sent=True)
        await on_head(200, {})
        for part in ("answer", "of", key):
            await asyncio.sleep(self.world.delay())
            await on_data(part.encode() + b" ")


class Sink:
    """Collects an answer."""

    def __init__(self):
        self.started = False
        self.data_ = b""

    async def head(self, status, headers):
        """Begin an answer and drop earlier data."""
        self.data_ = b""

    async def data(self, data):
        """Append a chunk of the answer."""
        self.data_ += data
