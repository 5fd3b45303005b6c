"""Fault switches of the stand-ins."""

import asyncio
import dataclasses

from aiohttp import web

FOREVER_S = 3600.0


@dataclasses.dataclass
class Faults:
    """What a stand-in does wrong; ``POST /faults`` changes it.

    :param bool down: refuse every call with status 503.
    :param float slow_s: wait before each call, in seconds.
    :param int lose_answers: how many next writes take effect unanswered.
    :param float late_s: answer writes this long after their effect, in seconds.
    :param bool silent: take calls and never answer.
    :param float stall_s: pause in the middle of the next answers, in seconds.
    :param int cut_answers: how many next answers break off in the middle.
    :param bool crossed: answer with the id of another request.
    :param int refuse_next: how many next calls to answer with status 500.
    :param bool lose_watches: hold watches and never answer them.
    :param int gap_watches: how many next changes watches do not tell of.
    :param bool stale_reads: answer reads and watches with the content before.
    :param float late_writes_s: writes take effect this long after the caller
        was cut off without an answer, in seconds.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    late_s: float = 0.0
    silent: bool = False
    stall_s: float = 0.0
    cut_answers: int = 0
    crossed: bool = False
    refuse_next: int = 0
    lose_watches: bool = False
    gap_watches: int = 0
    stale_reads: bool = False
    late_writes_s: float = 0.0

    def set(self, values):
        """Change some switches.

        :param dict values: new values by switch.
        :raises ValueError: for an unknown switch.
        """
        for name, value in values.items():
            if not hasattr(self, name):
                raise ValueError(f"there is no fault switch {name!r}")
            setattr(self, name, value)

    def take(self, name):
        """Use up one of a counted switch; tell whether there was one.

        :param str name: name of the switch.
        :rtype: bool
        """
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True

    async def before_call(self):
        """Apply the switches that come before a call.

        :raises aiohttp.web.HTTPServiceUnavailable: if the stand-in is down.
        """
        if self.silent:
            await asyncio.sleep(FOREVER_S)
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.down:
            raise web.HTTPServiceUnavailable(text="down")
        if self.take("refuse_next"):
            raise web.HTTPInternalServerError(text="refused")

    def add_routes(self, router):
        """Register ``POST /faults``.

        :param aiohttp.web.UrlDispatcher router: where to register.
        """
        router.add_post("/faults", self._on_faults)

    async def _on_faults(self, request):
        try:
            self.set(await request.json())
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(dataclasses.asdict(self))
