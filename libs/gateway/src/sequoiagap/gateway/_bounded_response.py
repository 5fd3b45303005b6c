"""An endpoint's answer of which only so much may come before its head."""

import aiohttp

MAX_INTERIM_ANSWERS = 16


class BoundedResponse(aiohttp.ClientResponse):
    """A response that gives up on interim answers without end.

    The HTTP library skips interim answers (status 1xx) for as long as they come, which
    would take the whole processor.
    """

    async def start(self, connection):
        """Take the head of the answer.

        :raises aiohttp.ClientPayloadError: if too many interim answers come before.
        """
        protocol = connection.protocol
        read = protocol.read
        left = MAX_INTERIM_ANSWERS

        async def read_bounded():
            nonlocal left
            if left < 0:
                raise aiohttp.ClientPayloadError("interim answers without end")
            left -= 1
            return await read()

        protocol.read = read_bounded
        try:
            return await super().start(connection)
        finally:
            del protocol.read
