"""HTTP server of one stand-in."""

import asyncio
import json
import signal

from aiohttp import web


async def start(stand_in, port=0):
    """Serve a stand-in on the loopback address.

    :param stand_in: object with ``add_routes(router)``.
    :param int port: TCP port; 0 selects a free one.
    :returns: the runner, and the port in use.
    :rtype: tuple[aiohttp.web.AppRunner, int]
    """
    app = web.Application(client_max_size=8 * 1024 * 1024)
    stand_in.add_routes(app.router)
    runner = web.AppRunner(
        app, access_log=None, handler_cancellation=True, shutdown_timeout=0.2
    )
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port)
    await site.start()
    return runner, runner.addresses[0][1]


async def serve(stand_in):
    """Serve until SIGTERM or SIGINT; print the port as one JSON line.

    :param stand_in: object with ``add_routes(router)``.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    runner, port = await start(stand_in, getattr(stand_in, "port", 0))
    print(json.dumps({"ready": type(stand_in).__name__, "port": port}), flush=True)
    await stopped.wait()
    await runner.cleanup()
