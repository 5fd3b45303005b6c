"""A handler that fails in the middle of a stream never ends it cleanly."""

import unittest

import aiohttp
from aiohttp import web

from sequoiagap.entry import _errors
from tests import support


async def fail_midway(request):
    """Begin a stream and fail."""
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b"first")
    raise ValueError("marked-value")


class MidwayTest(unittest.IsolatedAsyncioTestCase):
    async def test_failed_stream_is_cut(self):
        logs = support.silence_logs()
        app = web.Application(middlewares=[_errors.handle_errors])
        app.on_response_prepare.append(_errors.mark_started)
        app.router.add_get("/stream", fail_midway)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}/stream"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            with self.assertRaises(aiohttp.ClientPayloadError):
                await answer.read()
        self.assertIn('"number": 1010', logs.getvalue())
        self.assertNotIn("marked-value", logs.getvalue())
