"""The part of an answer that the agent holds."""

import collections


class AnswerBuffer:
    """Numbered chunks of one answer, as far as somebody may still ask for them.

    :param int capacity_bytes: bytes held before the reader has to wait.
    :param int capacity_chunks: chunks held before the reader has to wait.

    :ivar int first_: number of the first chunk that is still held.
    :ivar int next_: number of the next chunk to come.
    :ivar int size_: bytes of the answer so far.
    :ivar int held_bytes_: bytes held now.

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
        """Whether the reader has to wait."""
        return (
            self.held_bytes_ >= self.capacity_bytes
            or len(self._chunks) >= self.capacity_chunks
        )

    def append(self, data):
        """Take the next chunk.

        :param bytes data: its bytes.
        """
        self._chunks.append(data)
        self.next_ += 1
        self.size_ += len(data)
        self.held_bytes_ += len(data)

    def get(self, sequence):
        """Return a held chunk.

        :param int sequence: its number.
        :rtype: bytes
        :raises IndexError: if it is not held.
        """
        if not self.first_ <= sequence < self.next_:
            raise IndexError(f"chunk {sequence} is not held")
        return self._chunks[sequence - self.first_]

    def drop_before(self, sequence):
        """Forget the chunks before a number.

        :param int sequence: first chunk to keep.
        """
        while self.first_ < min(sequence, self.next_):
            self.held_bytes_ -= len(self._chunks.popleft())
            self.first_ += 1
