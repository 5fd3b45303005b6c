"""Pauses that endpoints ask this gateway for as they turn a request away."""

import math

from sequoiagap import base

RAMP_S = 2.0  # from the end of a pause until all slots may be used again
KEPT_S = RAMP_S  # after the end of a pause

_log = base.get_logger("endpoints")


class EndpointPauses:
    """Tells which endpoints want no request from this gateway for now.

    A pause holds for one start of an endpoint. Only its end or another start lifts it:
    an answer to an earlier request says nothing about it. Afterwards the requests that
    may be in flight grow from one, so that those that were held back do not all meet
    the endpoint at once.

    All times are those of a clock that counts suspensions, in seconds.
    """

    def __init__(self):
        self._until_by_start = {}

    def record(self, endpoint, pause_s, now):
        """Record that an endpoint wants no requests for a time.

        :param routes.Endpoint endpoint: the endpoint.
        :param float pause_s: for how long, in seconds.
        :param float now: when the answer arrived.
        """
        self._forget_past(now)
        start = _start(endpoint)
        until = max(now + pause_s, self._until_by_start.get(start, -math.inf))
        self._until_by_start[start] = until
        _log.emit(
            base.Event.ENDPOINT_PAUSED,
            endpoint=endpoint.endpoint_id,
            pause_s=round(pause_s, 3),
            remaining_s=round(until - now, 3),
        )

    def may_send(self, load, now):
        """Return whether an endpoint may receive one more request.

        :param EndpointLoad load: the endpoint.
        :param float now: the time.
        :rtype: bool
        """
        until = self._until_by_start.get(_start(load.endpoint))
        if until is None:
            return True
        if now < until:
            return False
        allowed = 1 + int(load.endpoint.slots * (now - until) / RAMP_S)
        return now - until >= RAMP_S or len(load.sent_at_by_attempt) < allowed

    def remaining_s(self, endpoint, now):
        """Return for how long an endpoint still wants no requests, in seconds.

        :param routes.Endpoint endpoint: the endpoint.
        :param float now: the time.
        :rtype: float
        """
        return max(self._until_by_start.get(_start(endpoint), now) - now, 0.0)

    def _forget_past(self, now):
        self._until_by_start = {
            start: until
            for start, until in self._until_by_start.items()
            if now - until <= KEPT_S
        }


def _start(endpoint):
    return endpoint.endpoint_id, endpoint.started_ms
