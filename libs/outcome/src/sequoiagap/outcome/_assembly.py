"""Completeness check of the answer of an attempt."""

from sequoiagap import base


class AnswerAssembly:
    """Checks that the chunks of an answer arrive in order and completely.

    :param str attempt_id: id of the attempt.

    :ivar int chunks_: chunks accepted so far.
    :ivar int size_: bytes accepted so far.

    >>> assembly = AnswerAssembly("att-1")
    >>> assembly.accept(0, b"ab")
    True
    >>> assembly.accept(0, b"ab")
    False
    >>> assembly.is_whole(1, 2)
    True
    """

    def __init__(self, attempt_id):
        self.attempt_id = attempt_id
        self.chunks_ = 0
        self.size_ = 0

    def accept(self, sequence, data):
        """Accept a chunk if it is the next one.

        :param int sequence: number of the chunk, from 0.
        :param bytes data: its bytes.
        :returns: whether the chunk was accepted; a repeated chunk is ignored.
        :rtype: bool
        :raises sequoiagap.base.WireError: if an earlier chunk is missing.
        """
        if sequence < self.chunks_:
            return False
        if sequence > self.chunks_:
            raise base.WireError(
                f"chunk {self.chunks_} of {self.attempt_id} is missing", "Try again"
            )
        self.chunks_ += 1
        self.size_ += len(data)
        return True

    def is_whole(self, chunks, size):
        """Return whether all chunks that the final message announces were accepted.

        :param int chunks: number of chunks of the answer.
        :param int size: size of the answer in bytes.
        :rtype: bool
        """
        return chunks == self.chunks_ and size == self.size_
