"""Runs at the endpoint, their buffered answers and the streams to entries."""

import asyncio
import dataclasses

from sequoiagap import base, outcome, wire

WINDOW_CHUNKS = 32
BUFFER_BYTES = 512 * 1024
KEYED_BUFFER_BYTES = 1024 * 1024


class AnswerStream:
    """Sends the answer of a run to one attempt of an entry.

    At most :data:`WINDOW_CHUNKS` chunks are sent ahead of the entry's credit, so a
    slow caller does not block other attempts on the same connection.

    :param Run run: the run.
    :param sequoiagap.wire.Connection connection: the entry.
    :param str attempt_id: attempt that the entry waits for.
    :param int next_sequence: number of the first chunk to send.

    :ivar int acknowledged_: number of the first chunk that the entry has not
        acknowledged.
    """

    def __init__(self, run, connection, attempt_id, next_sequence=0):
        self.run = run
        self.connection = connection
        self.attempt_id = attempt_id
        self.acknowledged_ = next_sequence
        self._sent = next_sequence
        self._is_closed = False
        self._changed = asyncio.Event()

    def wake(self):
        """Wake the sender to check for data to send."""
        self._changed.set()

    def close(self):
        """Stop sending."""
        self._is_closed = True
        self._changed.set()

    def record_credit(self, next_sequence):
        """Record that the entry has consumed all chunks before a number.

        :param int next_sequence: number of the first chunk not yet consumed.
        """
        self.acknowledged_ = max(self.acknowledged_, min(next_sequence, self._sent))
        self.run.drop_acknowledged()
        self._changed.set()

    async def send_all(self):
        """Send the complete answer.

        :raises sequoiagap.base.WireError: if the connection is lost or the stream is
            closed.
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
        is_in_window = self._sent - self.acknowledged_ < WINDOW_CHUNKS
        has_chunk = self._sent < self.run.buffer.next_
        return is_in_window and has_chunk and not self._is_closed

    def _may_send(self):
        run = self.run
        is_at_end = run.end_ is not None and self._sent >= run.buffer.next_
        return is_at_end or self._has_chunk()

    async def _wait_for(self, condition):
        while not condition():
            self._changed.clear()
            await self._changed.wait()
            if self._is_closed:
                raise base.WireError(
                    f"the stream of attempt {self.attempt_id} is closed", ""
                )

    async def _send(self, item):
        await self.connection.send(
            dataclasses.replace(item, attempt_id=self.attempt_id)
        )


class Run:
    """One execution of a request at the endpoint, shared by its attempts.

    :param sequoiagap.wire.Execute order: the order that started the run.
    :param sequoiagap.outcome.Claim proposal: claim to make before the run starts, or
        ``None``.

    :ivar dict stream_by_attempt_id: open streams of the answer.
    :ivar sequoiagap.wire.Head head_: status and headers, once received.
    :ivar end_: final marker or refusal, once the run has ended.
    :ivar bool started_: whether the endpoint may have started to run it.
    :ivar float ended_at_: when the run ended, on the agent's clock, in seconds.
    :ivar int held_bytes_: bytes in the buffer when the run ended.
    :ivar list attempt_ids_: ids of the attempts that share the run.
    :ivar SlotRequest slot_request_: its slot, or its position in the queue for one.
    """

    def __init__(self, order, proposal=None):
        self.order = order
        self.proposal = proposal
        size = BUFFER_BYTES if proposal is None else KEYED_BUFFER_BYTES
        self.buffer = outcome.AnswerBuffer(size)
        self.stream_by_attempt_id = {}
        self.head_ = None
        self.end_ = None
        self.started_ = False
        self.ended_at_ = 0.0
        self.held_bytes_ = 0
        self.attempt_ids_ = []
        self.slot_request_ = None
        self._has_space = asyncio.Event()

    @property
    def is_keyed(self):
        """Whether other attempts may request the answer with the key."""
        return self.proposal is not None

    def holds_from(self, sequence):
        """Return whether the answer is buffered from a chunk onwards.

        :param int sequence: number of the chunk.
        :rtype: bool
        """
        return self.buffer.first_ <= sequence <= self.buffer.next_

    def open_stream(self, connection, attempt_id, next_sequence=0):
        """Add a stream of the answer to an entry.

        :param sequoiagap.wire.Connection connection: the entry.
        :param str attempt_id: attempt that the entry waits for.
        :param int next_sequence: number of the first chunk to send.
        :rtype: AnswerStream
        """
        stream = AnswerStream(self, connection, attempt_id, next_sequence)
        self.stream_by_attempt_id[attempt_id] = stream
        return stream

    def close_stream(self, stream):
        """Close a stream and remove it.

        :param AnswerStream stream: the stream; a newer stream of the same attempt
            stays.
        """
        if self.stream_by_attempt_id.get(stream.attempt_id) is stream:
            del self.stream_by_attempt_id[stream.attempt_id]
        stream.close()
        self._has_space.set()

    async def receive_head(self, status, headers):
        """Receive status and headers of the answer.

        :param int status: HTTP status.
        :param dict headers: HTTP headers.
        """
        self.head_ = wire.Head("", status, headers)
        self._wake()

    async def receive_data(self, data):
        """Receive a part of the answer; waits while the buffer is full.

        :param bytes data: the part.
        """
        while self.buffer.is_full and not self._free_space():
            self._has_space.clear()
            await self._has_space.wait()
        self.buffer.append(data)
        self._wake()

    def finish(self):
        """End the run with a complete answer."""
        self._end(wire.Final("", self.buffer.next_, self.buffer.size_))

    def refuse(self, refusal):
        """End the run without a complete answer, unless it has ended.

        :param sequoiagap.wire.Refused refusal: the reason.
        """
        if self.end_ is None:
            self._end(refusal)

    def drop_acknowledged(self):
        """Drop chunks that no attempt can request again."""
        if not self.is_keyed:
            self._drop_acknowledged()
        self._has_space.set()

    def _drop_acknowledged(self):
        acknowledged = [
            item.acknowledged_ for item in self.stream_by_attempt_id.values()
        ]
        if acknowledged:
            self.buffer.drop_before(min(acknowledged))

    def _free_space(self):
        """Drop chunks that need not be kept; return whether there is space."""
        if self.stream_by_attempt_id:
            self._drop_acknowledged()
        elif not self.order.repeatable:
            # No entry waits, but a run that is not repeatable must complete.
            self.buffer.drop_before(self.buffer.next_)
        return not self.buffer.is_full

    def _end(self, end):
        self.end_ = end
        self._wake()

    def _wake(self):
        for stream in self.stream_by_attempt_id.values():
            stream.wake()
