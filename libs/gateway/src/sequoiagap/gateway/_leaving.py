"""Endpoints that are about to end, whoever has told it.

A start of an endpoint that leaves does not come back: only another start of it does.
What one reading of the store, one answer or one gateway says therefore holds for good.
"""

from sequoiagap import base
from sequoiagap.gateway import _messages

MAX_KEPT = 4_000  # starts; those of some hours at the design size
MAX_TOLD = 256  # newest starts, to a gateway that connects

_log = base.get_logger("endpoints")


class LeavingEndpoints:
    """Tells which starts of endpoints receive no new requests, as they will end.

    :param share: function that sends a message to all connected gateways.
    """

    message_types = (_messages.EndpointLeaving,)

    def __init__(self, share=lambda message: None):
        self.share = share
        self._starts = {}  # a set in order of insertion

    def includes(self, endpoint):
        """Return whether this start of an endpoint is leaving.

        :param routes.Endpoint endpoint: the endpoint.
        :rtype: bool
        """
        return (endpoint.endpoint_id, endpoint.started_ms) in self._starts

    def record(self, endpoint, source):
        """Record that this start of an endpoint is leaving, and tell other gateways.

        :param routes.Endpoint endpoint: the endpoint.
        :param str source: who has told it: ``answer``, ``report`` or ``store``.
        """
        if self._add(endpoint.endpoint_id, endpoint.started_ms, source):
            message = _messages.EndpointLeaving(
                endpoint.endpoint_id, endpoint.started_ms
            )
            self.share(message)

    def snapshot(self, now):
        """Return the messages that tell another gateway of all that are leaving.

        :param float now: suspend-aware time in seconds.
        :rtype: list
        """
        newest = list(self._starts)[-MAX_TOLD:]
        return [_messages.EndpointLeaving(*start) for start in newest]

    def handle(self, message, now):
        """Record what another gateway has learnt.

        :param EndpointLeaving message: the message.
        :param float now: suspend-aware time in seconds.
        :returns: whether it was news, so that others should have it too.
        :rtype: bool
        """
        return self._add(message.endpoint, message.started_ms, "gateway")

    def _add(self, endpoint_id, started_ms, source):
        start = (endpoint_id, started_ms)
        if start in self._starts:
            return False
        self._starts[start] = True
        if len(self._starts) > MAX_KEPT:
            del self._starts[next(iter(self._starts))]
        _log.emit(
            base.Event.ENDPOINT_LEAVES,
            endpoint=endpoint_id,
            started_ms=started_ms,
            source=source,
        )
        return True
