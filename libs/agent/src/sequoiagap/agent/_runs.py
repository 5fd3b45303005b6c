"""Runs at the endpoint, their held answers and those who wait for them."""

import asyncio
import dataclasses

from sequoiagap import base, outcome, wire

WINDOW_CHUNKS = 32
BUFFER_BYTES = 512 * 1024
KEYED_BUFFER_BYTES = 1024 * 1024


class Listener:
    """Sends the answer of a run to one attempt of one entry.

    It sends at most :data:`WINDOW_CHUNKS` chunks ahead of the entry's credit, so
    that a slow caller holds up nobody else on the connection.

    :param Run run: the run.
    :param sequoiagap.wire.Connection connection: the entry.
    :param str attempt_id: id under which the entry waits.
    :param int next_sequence: first chunk to send.
    """

    def __init__(self, run, connection, attempt_id, next_sequence=0):
        self.run = run
        self.connection = connection
        self.attempt_id = attempt_id
        self.taken_ = next_sequence
        self._sent = next_sequence
        self._left = False
        self._changed = asyncio.Event()

    def wake(self):
        """Look again for something to send."""
        self._changed.set()

    def leave(self):
        """Stop sending."""
        self._left = True
        self._changed.set()

    def take_credit(self, next_sequence):
        """Note that the entry has taken the chunks before a number.

        :param int next_sequence: first chunk that it has not taken.
        """
        self.taken_ = max(self.taken_, min(next_sequence, self._sent))
        self.run.drop_taken()
        self._changed.set()

    async def send_all(self):
        """Send the answer until its end.

        :raises sequoiagap.base.WireError: if the connection is lost.
        """
        run = self.run
        await self._wait_for(lambda: run.head_ is not None or run.end_ is not None)
        if run.head_ is not None:
            await self._send(run.head_)
        while not (run.end_ is not None and self._sent >= run.buffer.next_):
            await self._wait_for(self._may_send)
            while self._has_chunk():
                data = run.buffer.get(self._sent)
                self._sent += 1
                chunk = wire.Chunk(self.attempt_id, self._sent - 1, data)
                await self.connection.send(chunk)
        await self._send(run.end_)

    def _has_chunk(self):
        is_in_window = self._sent - self.taken_ < WINDOW_CHUNKS
        has_chunk = self._sent < self.run.buffer.next_
        return is_in_window and has_chunk and not self._left

    def _may_send(self):
        run = self.run
        is_at_end = run.end_ is not None and self._sent >= run.buffer.next_
        return is_at_end or self._has_chunk()

    async def _wait_for(self, condition):
        while not condition():
            self._changed.clear()
            await self._changed.wait()
            if self._left:
                raise base.WireError(f"nobody waits as {self.attempt_id}", "")

    async def _send(self, item):
        await self.connection.send(
            dataclasses.replace(item, attempt_id=self.attempt_id)
        )


class Run:
    """One execution at the endpoint.

    :param sequoiagap.wire.Execute order: the order that it began with.
    :param sequoiagap.outcome.Claim wish: claim to make first, or ``None``.

    :ivar dict listener_by_attempt_id: who waits for the answer.
    :ivar sequoiagap.wire.Head head_: status and headers, once there.
    :ivar end_: final marker or refusal, once there.
    :ivar bool started_: whether the endpoint may have begun to run it.
    :ivar float ended_at_: when it ended, on the agent's clock.
    :ivar int held_bytes_: bytes that were held at its end.
    :ivar list attempt_ids_: attempts that joined it.
    :ivar Place place_: its slot, or its place in the queue for one.
    """

    def __init__(self, order, wish=None):
        self.order = order
        self.wish = wish
        size = BUFFER_BYTES if wish is None else KEYED_BUFFER_BYTES
        self.buffer = outcome.AnswerBuffer(size)
        self.listener_by_attempt_id = {}
        self.head_ = None
        self.end_ = None
        self.started_ = False
        self.ended_at_ = 0.0
        self.held_bytes_ = 0
        self.attempt_ids_ = []
        self.place_ = None
        self._room = asyncio.Event()

    @property
    def is_keyed(self):
        """Whether others may ask for the answer with the key."""
        return self.wish is not None

    def can_give_from(self, sequence):
        """Return whether the answer is held from a chunk on.

        :param int sequence: number of the chunk.
        :rtype: bool
        """
        return self.buffer.first_ <= sequence <= self.buffer.next_

    def listen(self, connection, attempt_id, next_sequence=0):
        """Add who waits for the answer.

        :param sequoiagap.wire.Connection connection: the entry.
        :param str attempt_id: id under which it waits.
        :param int next_sequence: first chunk to send.
        :rtype: Listener
        """
        listener = Listener(self, connection, attempt_id, next_sequence)
        self.listener_by_attempt_id[attempt_id] = listener
        return listener

    def leave(self, listener):
        """Remove who waited.

        :param Listener listener: who; another one under its id stays.
        """
        if self.listener_by_attempt_id.get(listener.attempt_id) is listener:
            del self.listener_by_attempt_id[listener.attempt_id]
        listener.leave()
        self._room.set()

    async def take_head(self, status, headers):
        """Take status and headers of the answer.

        :param int status: HTTP status.
        :param dict headers: HTTP headers.
        """
        self.head_ = wire.Head("", status, headers)
        self._wake()

    async def take_data(self, data):
        """Take a piece of the answer; waits while those who wait are slow.

        :param bytes data: the piece.
        """
        while self.buffer.is_full and not self._make_room():
            self._room.clear()
            await self._room.wait()
        self.buffer.append(data)
        self._wake()

    def finish(self):
        """End the run with the whole answer."""
        self._end(wire.Final("", self.buffer.next_, self.buffer.size_))

    def refuse(self, refusal):
        """End the run without a whole answer.

        :param sequoiagap.wire.Refused refusal: why.
        """
        if self.end_ is None:
            self._end(refusal)

    def drop_taken(self):
        """Forget chunks that nobody may ask for again."""
        if not self.is_keyed:
            self._drop_taken()
        self._room.set()

    def _drop_taken(self):
        taken = [item.taken_ for item in self.listener_by_attempt_id.values()]
        if taken:
            self.buffer.drop_before(min(taken))

    def _make_room(self):
        """Forget what need not be held; tell whether there is room now."""
        if self.listener_by_attempt_id:
            self._drop_taken()
        elif not self.order.repeatable:
            # Nobody waits, and the run must come to its end.
            self.buffer.drop_before(self.buffer.next_)
        return not self.buffer.is_full

    def _end(self, end):
        self.end_ = end
        self._wake()

    def _wake(self):
        for listener in self.listener_by_attempt_id.values():
            listener.wake()
