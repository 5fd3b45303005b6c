"""Rate limits that endpoints state, learnt from answers, agents and other gateways."""

import math

from sequoiagap import admission, base, routes
from sequoiagap.gateway import _messages

SHARE_INTERVAL_S = 2.0  # between two messages that confirm an unchanged limit
REPORT_READ_S = 0.3  # a report may have been read this long before it arrives

_log = base.get_logger("limits")


class RateLimits:
    """Tells which endpoints may receive a request by the limits that they state.

    A limit holds for all gateways together. A gateway tells the others of each limit
    that it learns from an answer, as they may have no requests for that endpoint.

    :param str gateway_id: id of this gateway.
    :param EndpointPool pool: loads of the endpoints.
    :param gateway_ids: function that returns the ids of the registered gateways, a
        frozenset.
    :param share: function that sends a message to all connected gateways.
    :param int assumed_gateways: number of gateways to assume until they are listed.
    """

    message_types = (_messages.RateLimitStated,)

    def __init__(self, gateway_id, pool, gateway_ids, share, assumed_gateways=1):
        self.gateway_id = gateway_id
        self.pool = pool
        self.gateway_ids = gateway_ids
        self.share = share
        self.assumed_gateways = assumed_gateways
        self._shared_at_by_id = {}

    def keep(self, loads, now):
        """Return the endpoints that may receive one more request from this gateway.

        :param list loads: :class:`EndpointLoad` of each.
        :param float now: suspend-aware time in seconds.
        :rtype: list[EndpointLoad]
        """
        ids = self.gateway_ids()
        return [
            load
            for load in loads
            if load.rate_limit is None or load.rate_limit.may_send(ids, now)
        ]

    def wait_s(self, loads, now):
        """Return the time until one of limited endpoints may receive a request.

        :param list loads: :class:`EndpointLoad` of each.
        :param float now: suspend-aware time in seconds.
        :returns: seconds; infinity if other gateways share all these limits.
        :rtype: float
        """
        ids = self.gateway_ids()
        return min(
            (load.rate_limit.wait_s(ids, now) for load in loads if load.rate_limit),
            default=math.inf,
        )

    def record_answer(self, load, max_requests_s, asked_at):
        """Record what an endpoint states in an answer, and tell the other gateways.

        :param EndpointLoad load: the endpoint.
        :param float max_requests_s: the limit; infinity for none, 0 if not known.
        :param float asked_at: when the request was sent, suspend-aware seconds.
        """
        now = routes.suspend_aware_time()
        is_changed = self._record(load, max_requests_s, asked_at, now, "answer")
        limit = load.rate_limit
        if limit is None:
            return
        endpoint_id = load.endpoint.endpoint_id
        shared_at = self._shared_at_by_id.get(endpoint_id, -math.inf)
        if is_changed or (limit.is_limited and now - shared_at > SHARE_INTERVAL_S):
            self._shared_at_by_id = _newest(self._shared_at_by_id, now)
            self._shared_at_by_id[endpoint_id] = now
            self.share(_message(load, now))

    def record_report(self, load, max_requests_s):
        """Record what the agent beside an endpoint reports of its limit.

        Agents report to all gateways, so the others need not be told.

        :param EndpointLoad load: the endpoint.
        :param float max_requests_s: the limit; infinity for none, 0 if not known.
        """
        now = routes.suspend_aware_time()
        self._record(load, max_requests_s, now - REPORT_READ_S, now, "report")

    def record_sent(self, load):
        """Record a request that is sent to an endpoint.

        :param EndpointLoad load: the endpoint.
        """
        if load.rate_limit is not None:
            load.rate_limit.record_sent()

    def snapshot(self, now):
        """Return the messages that tell another gateway of all limits in force.

        :param float now: suspend-aware time in seconds.
        :rtype: list
        """
        return [
            _message(load, now)
            for load in self.pool.load_by_id.values()
            if load.rate_limit is not None and load.rate_limit.is_limited
        ]

    def handle(self, message, now):
        """Record what another gateway has learnt.

        :param RateLimitStated message: the message.
        :param float now: suspend-aware time in seconds.
        :returns: whether it was news, so that others should have it too.
        :rtype: bool
        """
        load = self.pool.load_by_id.get(message.endpoint)
        if load is None or load.endpoint.started_ms != message.started_ms:
            return False
        at = now - message.age_s
        known_at = load.rate_limit.stated_at if load.rate_limit else -math.inf
        is_changed = self._record(load, message.max_requests_s, at, at, "gateway")
        is_confirmed = message.max_requests_s != admission.NO_LIMIT
        return is_changed or (is_confirmed and at - known_at > SHARE_INTERVAL_S / 2)

    def _record(self, load, max_requests_s, asked_at, at, source):
        """Record a statement; return whether the limit has changed."""
        if max_requests_s == admission.NOT_KNOWN:
            return False
        if load.rate_limit is None:
            if max_requests_s == admission.NO_LIMIT:
                return False
            load.rate_limit = admission.RateLimit(
                load.endpoint.endpoint_id, self.gateway_id, self.assumed_gateways
            )
        is_changed = load.rate_limit.record(max_requests_s, asked_at, at)
        if is_changed:
            _log.emit(
                base.Event.ENDPOINT_LIMITED,
                endpoint=load.endpoint.endpoint_id,
                requests_s=max_requests_s if load.rate_limit.is_limited else None,
                source=source,
                gateways=len(self.gateway_ids()),
            )
        return is_changed


def _newest(shared_at_by_id, now):
    """Return the entries that still delay a message."""
    return {i: at for i, at in shared_at_by_id.items() if now - at <= SHARE_INTERVAL_S}


def _message(load, now):
    limit = load.rate_limit
    at = limit.stated_at if limit.is_limited else limit.ended_at
    return _messages.RateLimitStated(
        load.endpoint.endpoint_id,
        load.endpoint.started_ms,
        limit.requests_s,
        now - at,
    )
