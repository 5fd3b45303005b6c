"""Bounded buffer of an answer at the agent, for retransmission."""

import collections


class AnswerBuffer:
    """Buffers the numbered chunks of one answer that may still be requested.

    The reader of the engine's answer stops while the buffer is full.

    :param int capacity_bytes: limit of buffered bytes.
    :param int capacity_chunks: limit of buffered chunks.

    :ivar int first_: number of the first buffered chunk.
    :ivar int next_: number of the next chunk to append.
    :ivar int size_: size of the answer so far, in bytes.
    :ivar int held_bytes_: buffered bytes.

    >>> buffer = AnswerBuffer(capacity_bytes=4)
    >>> buffer.append(b"abcd")
    >>> buffer.is_full
    True
    >>> buffer.drop_before(1)
    >>> buffer.first_, buffer.next_, buffer.is_full
    (1, 1, False)
    """

    def __init__(self, capacity_bytes, capacity_chunks=1024):
        self.capacity_bytes = capacity_bytes
        self.capacity_chunks = capacity_chunks
        self.first_ = 0
        self.next_ = 0
        self.size_ = 0
        self.held_bytes_ = 0
        self._chunks = collections.deque()

    @property
    def is_full(self):
        """Whether a limit is reached and the reader has to wait."""
        return (
            self.held_bytes_ >= self.capacity_bytes
            or len(self._chunks) >= self.capacity_chunks
        )

    def append(self, data):
        """Append the next chunk.

        :param bytes data: its bytes.
        """
        self._chunks.append(data)
        self.next_ += 1
        self.size_ += len(data)
        self.held_bytes_ += len(data)

    def get(self, sequence):
        """Return a buffered chunk.

        :param int sequence: number of the chunk.
        :rtype: bytes
        :raises IndexError: if the chunk is not buffered.
        """
        if not self.first_ <= sequence < self.next_:
            raise IndexError(f"chunk {sequence} is not buffered")
        return self._chunks[sequence - self.first_]

    def drop_before(self, sequence):
        """Drop acknowledged chunks.

        :param int sequence: number of the first chunk to keep.
        """
        while self.first_ < min(sequence, self.next_):
            self.held_bytes_ -= len(self._chunks.popleft())
            self.first_ += 1
