"""Decides which endpoints a request may be sent to now, and why not to the others."""

import dataclasses

from sequoiagap import routes


@dataclasses.dataclass(frozen=True)
class SendOptions:
    """Endpoints of a service, by what holds requests back from them.

    :param list usable: :class:`EndpointLoad` of each that may receive one request.
    :param list at_cold_rate: those that are cold and have had their share of requests.
    :param list at_rate_limit: those at the rate limit that they state.
    :param list paused: those that want no requests from this gateway for now.
    """

    usable: list
    at_cold_rate: list
    at_rate_limit: list
    paused: list


class SendGate:
    """Holds requests back from endpoints; each attempt of any request passes it.

    Endpoints that leave are no candidates, see :meth:`EndpointPool.candidates`.

    :param EndpointPauses pauses: endpoints that want no requests for now.
    :param RateLimits rate_limits: limits that endpoints state.
    :param SharedBudgets budgets: limits shared with other gateways.
    """

    def __init__(self, pauses, rate_limits, budgets):
        self.pauses = pauses
        self.rate_limits = rate_limits
        self.budgets = budgets

    def options(self, service, loads, now):
        """Return which endpoints may receive one more request now.

        :param sequoiagap.routes.Service service: their service, or ``None``.
        :param list loads: :class:`EndpointLoad` of each.
        :param float now: monotonic time in seconds.
        :rtype: SendOptions
        """
        at = routes.suspend_aware_time()
        unpaused = [load for load in loads if self.pauses.may_send(load, at)]
        unlimited = self.rate_limits.keep(unpaused, at)
        usable = self.budgets.keep_cold_rate(service, unlimited, now)
        return SendOptions(
            usable=usable,
            at_cold_rate=_without(unlimited, usable),
            at_rate_limit=_without(unpaused, unlimited),
            paused=_without(loads, unpaused),
        )

    def limit_wait_s(self, loads):
        """Return the time until one of limited endpoints may receive a request.

        :param list loads: :class:`EndpointLoad` of each.
        :returns: seconds; infinity if other gateways share all these limits.
        :rtype: float
        """
        return self.rate_limits.wait_s(loads, routes.suspend_aware_time())

    def pause_wait_s(self, loads):
        """Return the time until the first of paused endpoints is free, in seconds.

        :param list loads: :class:`EndpointLoad` of each; at least one.
        :rtype: float
        """
        now = routes.suspend_aware_time()
        return min(self.pauses.remaining_s(load.endpoint, now) for load in loads)


def _without(loads, kept):
    if len(loads) == len(kept):
        return []
    kept_ids = {id(load) for load in kept}
    return [load for load in loads if id(load) not in kept_ids]
