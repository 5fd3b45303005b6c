"""Checks that an answer is whole and belongs to its attempt."""

from sequoiagap import base


class AnswerAssembly:
    """Follows the chunks of one attempt's answer.

    :param str attempt_id: the attempt whose answer this is.

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
        """Take a chunk if it is the next one.

        :param int sequence: number of the chunk, from 0.
        :param bytes data: its bytes.
        :returns: whether it is next; a repeated chunk is dropped.
        :rtype: bool
        :raises sequoiagap.base.WireError: if a chunk before it is missing.
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
        """Tell whether the final marker agrees with what was accepted.

        :param int chunks: chunks that the answer has.
        :param int size: bytes that the answer has.
        :rtype: bool
        """
        return chunks == self.chunks_ and size == self.size_
