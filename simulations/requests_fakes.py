"""What surrounds entries and agents in a simulated deployment."""

import asyncio
import copy

from sequoiagap import base, platform
from sequoiagap.agent import _endpoint

SILENCE_S = 1.5
WORK_S = 0.3


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
    serves_full_requests = True
    in_flight_ = 0
    inherited_ = 0

    def limit(self, now):
        """Return the limit."""
        return 1000

    def try_acquire_slot(self, now):
        """Take a slot."""
        self.in_flight_ += 1
        return True

    def release_slot(self):
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
