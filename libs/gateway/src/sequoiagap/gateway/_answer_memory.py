"""Bounds the memory of all answers that the gateway buffers at once.

An endpoint may send bytes without end, and one may announce more than it sends. The
limit of one answer does not bound the sum of many. Answers with an announced length
reserve all of it before they are read, and wait for it if need be, so that they never
wait for each other half-way. Answers without one take memory as they grow; if none is
left, the largest of them fails.
"""

import asyncio
import collections

MAX_BYTES = 64 * 1024 * 1024
ENDPOINT_SHARE = 0.5  # of the memory, so that one faulty endpoint leaves the rest
SMALL_ANSWER_BYTES = 64 * 1024  # such an answer never waits
BLOCK_BYTES = 64 * 1024


class AnswerMemoryError(Exception):
    """No memory is left for an answer of unknown length."""


class AnswerBody:
    """Body of an answer in blocks, so that it never moves as it grows.

    >>> body = AnswerBody()
    >>> body.append(b"ab")
    >>> body.append(b"c")
    >>> len(body), body.to_bytes()
    (3, b'abc')
    """

    def __init__(self):
        self._blocks = []
        self._size = 0

    def __len__(self):
        return self._size

    def __iter__(self):
        """Yield blocks of up to :data:`BLOCK_BYTES`."""
        return iter(self._blocks)

    def append(self, piece):
        """Add bytes to the end.

        :param bytes piece: the bytes.
        """
        self._size += len(piece)
        piece = memoryview(piece)
        while piece:
            if not self._blocks or len(self._blocks[-1]) == BLOCK_BYTES:
                self._blocks.append(bytearray())
            room = BLOCK_BYTES - len(self._blocks[-1])
            self._blocks[-1] += piece[:room]
            piece = piece[room:]

    def to_bytes(self):
        """Return all bytes in one piece."""
        return b"".join(self._blocks)


class AnswerMemory:
    """Memory that the buffered answers of all endpoints share.

    :param int max_bytes: size of the memory; small answers may exceed it.

    :ivar int used_: bytes in use.
    """

    def __init__(self, max_bytes=MAX_BYTES):
        self.max_bytes = max_bytes
        self.used_ = 0
        self._used_by_endpoint = collections.Counter()
        self._leases = set()
        self._waiters = []

    def lease(self, endpoint_id):
        """Return an :class:`AnswerLease` for an answer of an endpoint.

        :param str endpoint_id: the endpoint that sends it.
        """
        return AnswerLease(self, endpoint_id)

    async def take(self, lease, extra):
        """Take more memory for an answer; wait for it if other answers will end.

        :param AnswerLease lease: memory of the answer.
        :param int extra: bytes to take.
        :raises AnswerMemoryError: if only answers of unknown length could make room,
            and this is the largest of them.
        """
        while not self._has_room(lease, extra):
            if lease.is_evicted_:
                raise AnswerMemoryError("a smaller answer needs the memory")
            rivals = self._rivals(lease, extra)
            growing = [rival for rival in rivals if not rival.is_sized_]
            largest = max(growing, key=lambda rival: rival.size_, default=None)
            if largest is not None and largest.size_ > lease.size_ + extra:
                largest.evict()
            elif lease.is_sized_ or len(growing) < len(rivals):
                await self._room_change()
            else:
                raise AnswerMemoryError("no memory is left for answers")
        self._resize(lease, extra)

    def give_back(self, lease, surplus):
        """Give memory of an answer back.

        :param AnswerLease lease: memory of the answer.
        :param int surplus: bytes to give back.
        """
        self._resize(lease, -surplus)
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _resize(self, lease, change):
        self.used_ += change
        self._used_by_endpoint[lease.endpoint_id] += change
        if not self._used_by_endpoint[lease.endpoint_id]:
            del self._used_by_endpoint[lease.endpoint_id]
        lease.size_ += change
        if lease.size_:
            self._leases.add(lease)
        else:
            self._leases.discard(lease)

    def _has_room(self, lease, extra):
        if lease.is_evicted_:
            return False
        if lease.size_ + extra <= SMALL_ANSWER_BYTES:
            return True
        is_within_share = self._is_within_share(lease, extra)
        return is_within_share and self.used_ + extra <= self.max_bytes

    def _is_within_share(self, lease, extra):
        used = self._used_by_endpoint[lease.endpoint_id]
        return used + extra <= self.max_bytes * ENDPOINT_SHARE

    def _rivals(self, lease, extra):
        """Return the other answers that hold what an answer lacks."""
        others = self._leases - {lease}
        if self._is_within_share(lease, extra):
            return others
        return {other for other in others if other.endpoint_id == lease.endpoint_id}

    async def _room_change(self):
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter


class AnswerLease:
    """Memory of one answer.

    :param AnswerMemory memory: where it is taken from.
    :param str endpoint_id: the endpoint that sends the answer.

    :ivar int size_: bytes taken.
    :ivar bool is_sized_: whether the length of the answer is known.
    :ivar bool is_evicted_: whether the answer has to fail to make room.
    :ivar on_evicted: function that is called when it has to fail, or ``None``.
    """

    def __init__(self, memory, endpoint_id):
        self.memory = memory
        self.endpoint_id = endpoint_id
        self.size_ = 0
        self.is_sized_ = False
        self.is_evicted_ = False
        self.on_evicted = None

    async def reserve(self, length):
        """Take the memory of an answer whose length was announced.

        :param int length: its length in bytes.
        """
        self.is_sized_ = True
        await self.memory.take(self, length)

    async def grow_to(self, size):
        """Take memory up to the present size of an answer of unknown length.

        :param int size: its size so far, in bytes; a smaller one gives memory back.
        :raises AnswerMemoryError: if there is none for it.
        """
        if size > self.size_:
            await self.memory.take(self, size - self.size_)
        elif size < self.size_:
            self.memory.give_back(self, self.size_ - size)

    def keep(self):
        """Keep the memory of an answer that is complete, and can't fail any more."""
        self.is_sized_ = True

    def evict(self):
        """Make the answer fail and give its memory back."""
        self.is_evicted_ = True
        if self.on_evicted is not None:
            self.on_evicted()
        self.release()

    def release(self):
        """Give all memory back; does nothing the second time."""
        if self.size_:
            self.memory.give_back(self, self.size_)
