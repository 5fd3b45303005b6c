"""Fault injection of the stand-ins, controlled over HTTP."""

import asyncio
import dataclasses

from aiohttp import web

FOREVER_S = 3600.0


@dataclasses.dataclass
class Faults:
    """Faults that a stand-in injects; ``POST /faults`` changes them.

    :param bool down: reject every call with status 503.
    :param float slow_s: delay before each call is handled, in seconds.
    :param int lose_answers: number of next writes that take effect but get no answer.
    :param float late_s: delay between the effect of a write and its answer, in
        seconds.
    :param bool silent: accept calls and never answer them.
    :param float stall_s: pause in the middle of each answer, in seconds.
    :param int cut_answers: number of next streams that are aborted in the middle.
    :param bool crossed: answer with the id of another request.
    :param int refuse_next: number of next calls that are answered with status 500.
    :param bool lose_watches: keep watches open and never answer them.
    :param int gap_watches: number of next changes that watches do not report.
    :param bool stale_reads: answer reads and watches with the previous version.
    :param float late_writes_s: leave writes unanswered and apply them after this
        delay, in seconds.
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
        """Change fault switches.

        :param dict values: new values by name of the switch.
        :raises ValueError: if a switch does not exist.
        """
        for name, value in values.items():
            if not hasattr(self, name):
                raise ValueError(f"there is no fault switch {name!r}")
            setattr(self, name, value)

    def consume(self, name):
        """Decrement a counted switch and return whether it was positive.

        :param str name: name of the switch.
        :rtype: bool
        """
        remaining = getattr(self, name)
        if remaining <= 0:
            return False
        setattr(self, name, remaining - 1)
        return True

    async def before_call(self):
        """Apply the faults that act before a call is handled.

        :raises aiohttp.web.HTTPServiceUnavailable: if ``down`` is set.
        :raises aiohttp.web.HTTPInternalServerError: if ``refuse_next`` is positive.
        """
        if self.silent:
            await asyncio.sleep(FOREVER_S)
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.down:
            raise web.HTTPServiceUnavailable(text="down")
        if self.consume("refuse_next"):
            raise web.HTTPInternalServerError(text="refused")

    def add_routes(self, router):
        """Register ``POST /faults``.

        :param aiohttp.web.UrlDispatcher router: router to add it to.
        """
        router.add_post("/faults", self._on_faults)

    async def _on_faults(self, request):
        try:
            self.set(await request.json())
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(dataclasses.asdict(self))
