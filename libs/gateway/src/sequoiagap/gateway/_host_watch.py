"""Ends attempts at an endpoint whose host has stopped responding.

A host that hangs or is cut off with requests in its engine answers nobody, and it
doesn't see closed connections until it recovers; callers give up before that. A
request that may run again is therefore moved to another endpoint early.
"""

import asyncio
import time

from sequoiagap import base

CHECK_INTERVAL_S = 0.2
QUIET_S = 0.6  # without a byte; the process alone may have died
SILENT_S = 0.8  # without an agent's report; single datagrams may be lost


async def run_watched(attempt, load, sink, may_reroute):
    """Run an attempt, and end it if its endpoint's host falls silent.

    :param Attempt attempt: the attempt.
    :param EndpointLoad load: load of the endpoint.
    :param sink: as for :meth:`Attempt.run`.
    :param may_reroute: function that returns whether the request may be sent elsewhere.
    :rtype: AttemptResult
    """
    running = asyncio.ensure_future(attempt.run(sink))
    try:
        while not running.done():
            await asyncio.wait([running], timeout=CHECK_INTERVAL_S)
            if not running.done() and _is_stuck(attempt, load) and may_reroute():
                break
    finally:
        await base.cancel_and_wait(running)
    if running.cancelled():
        return attempt.abandon("the host of the endpoint fell silent")
    return running.result()


def _is_stuck(attempt, load):
    if attempt.is_blocked_:
        return False  # nothing can arrive before the caller reads
    now = time.monotonic()
    return now - attempt.last_byte_at_ >= QUIET_S and load.is_silent(now, SILENT_S)
