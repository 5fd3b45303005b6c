"""Checks whether an endpoint has just ended, without sending it a request."""

import asyncio

CHECK_TIMEOUT_S = 0.1  # a host that runs answers in milliseconds


async def refuses_connections(endpoint):
    """Return whether an endpoint's host refuses connections, as no process listens.

    :param routes.Endpoint endpoint: the endpoint.
    :returns: ``False`` also if there is no answer.
    :rtype: bool
    """
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
