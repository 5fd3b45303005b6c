"""Rate limit that an endpoint states for all gateways together, and a gateway's share.

A few gateways share the rate; each keeps a token bucket for its part. The more requests
an endpoint takes, the more gateways share them. Without news of a limit it is the turn
of others, as those that share it may be gone or have no requests.
"""

import math

from sequoiagap.admission import _limit_share

NO_LIMIT = math.inf
NOT_KNOWN = 0.0
MIN_REQUESTS_S = 0.25  # a request now and then shows when a limit ends
MIN_SHARING_GATEWAYS = 3  # plus one for each request per second
BURST_S = 0.25  # a bucket holds the tokens of this time, and at least one
UNCONFIRMED_S = 10.0  # without news of a limit, it is the turn of other gateways


class RateLimit:
    """The newest limit stated by an endpoint, and the part of it that one gateway has.

    A limit ends with an answer that states none. An answer may be older than its
    arrival shows, so it ends the limit only if its request was sent after the limit was
    last stated.

    All times are those of a clock that counts suspensions, in seconds.

    :param str endpoint_id: the endpoint.
    :param str gateway_id: this gateway.
    :param int assumed_gateways: number of gateways to assume until they are listed.

    :ivar float requests_s: requests per second that the endpoint takes from all
        gateways together; :data:`NO_LIMIT` if it states no limit.
    :ivar float stated_at: when the limit was last stated.
    :ivar float ended_at: when the request was sent whose answer stated no limit.
    """

    def __init__(self, endpoint_id, gateway_id, assumed_gateways=1):
        self.endpoint_id = endpoint_id
        self.gateway_id = gateway_id
        self.assumed_gateways = assumed_gateways
        self._limit_share = _limit_share.LimitShare(
            endpoint_id, gateway_id, assumed_gateways
        )
        self.requests_s = NO_LIMIT
        self.stated_at = -math.inf
        self.ended_at = -math.inf
        self._tokens = 0.0
        self._refilled_at = -math.inf

    @property
    def is_limited(self):
        """Whether the endpoint states a limit."""
        return self.requests_s != NO_LIMIT

    def record(self, requests_s, asked_at, at):
        """Record what an answer of the endpoint states.

        :param float requests_s: the limit; :data:`NO_LIMIT` if it states none.
        :param float asked_at: when the request was sent.
        :param float at: when the answer arrived.
        :returns: whether the limit has changed.
        :rtype: bool
        """
        if requests_s == NO_LIMIT:
            return self._record_none(asked_at)
        if at <= self.ended_at or at < self.stated_at:
            return False
        self.stated_at = at
        requests_s = max(requests_s, MIN_REQUESTS_S)
        if requests_s == self.requests_s:
            return False
        if not self.is_limited:
            self._tokens = 0.0  # what was sent before may still be on its way
            self._refilled_at = at
        self.requests_s = requests_s
        return True

    def may_send(self, gateway_ids, now):
        """Return whether this gateway may send the endpoint one more request.

        :param frozenset gateway_ids: ids of the registered gateways.
        :param float now: the time.
        :rtype: bool
        """
        if not self.is_limited:
            return True
        share = self._share(gateway_ids, now)
        self._refill(share, now)
        return share > 0.0 and self._tokens >= 1.0

    def record_sent(self):
        """Record a request that is sent to the endpoint."""
        if self.is_limited:
            self._tokens -= 1.0

    def wait_s(self, gateway_ids, now):
        """Return the time until this gateway may send a request, in seconds.

        :param frozenset gateway_ids: ids of the registered gateways.
        :param float now: the time.
        :returns: infinity if other gateways share the limit.
        :rtype: float
        """
        if self.may_send(gateway_ids, now):
            return 0.0
        share = self._share(gateway_ids, now)
        return (1.0 - self._tokens) / share if share else math.inf

    def _record_none(self, asked_at):
        if asked_at <= self.stated_at:
            return False
        self.ended_at = max(self.ended_at, asked_at)
        was_limited = self.is_limited
        self.requests_s = NO_LIMIT
        return was_limited

    def _share(self, gateway_ids, now):
        """Return the requests per second that this gateway may send."""
        turn = int((now - self.stated_at) / UNCONFIRMED_S)
        max_sharing = MIN_SHARING_GATEWAYS + self.requests_s
        return self._limit_share.part(self.requests_s, max_sharing, gateway_ids, turn)

    def _refill(self, share, now):
        elapsed_s = max(now - self._refilled_at, 0.0)
        self._refilled_at = now
        burst = max(BURST_S * share, 1.0)
        self._tokens = min(self._tokens + share * elapsed_s, burst)
