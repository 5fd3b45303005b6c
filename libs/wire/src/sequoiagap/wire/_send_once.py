"""Client middleware that keeps the HTTP library from sending a request again."""

import aiohttp


async def send_once(request, handler):
    """Send a request over one connection only.

    If a connection ends without an answer, aiohttp by itself sends requests with an
    idempotent method once more. Whether a request may be repeated doesn't depend on its
    method here, and a repeat has to be paid for by the retry budget. The error is
    therefore raised as one that aiohttp passes on.

    :param aiohttp.ClientRequest request: the request.
    :param handler: coroutine function that sends it.
    :rtype: aiohttp.ClientResponse
    :raises aiohttp.ClientConnectionError: if the connection ended.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        reason = f"{type(error).__name__}: {error}"
        raise aiohttp.ClientConnectionError(reason) from error
