"""HTTP response that limits the interim answers before its head."""

import aiohttp

MAX_INTERIM_ANSWERS = 16


class BoundedResponse(aiohttp.ClientResponse):
    """A response that fails after too many interim answers.

    The HTTP library skips interim answers (status 1xx) without a limit; an endless
    sequence of them would use the whole processor.
    """

    async def start(self, connection):
        """Read the head of the answer.

        :raises aiohttp.ClientPayloadError: if too many interim answers precede it.
        """
        protocol = connection.protocol
        read = protocol.read
        left = MAX_INTERIM_ANSWERS

        async def read_bounded():
            nonlocal left
            if left < 0:
                raise aiohttp.ClientPayloadError("too many interim answers")
            left -= 1
            return await read()

        protocol.read = read_bounded
        try:
            return await super().start(connection)
        finally:
            del protocol.read
