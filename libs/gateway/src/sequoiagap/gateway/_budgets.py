"""Limits that all gateways keep together, divided without coordination."""

import dataclasses

from sequoiagap import admission, routes
from sequoiagap.gateway import _loads

RATIO_SHARE = 0.8  # of the allowed ratio; the rest covers sliding windows
SLACK_SHARE = 0.5  # of the slack; the rest covers gateways that were just added
COLD_SHARE = 0.8  # of the cold rate; the rest covers gateways that were just added


@dataclasses.dataclass(frozen=True)
class Budgets:
    """Limits shared by all gateways.

    :param float retry_ratio: attempts beyond the first, per request.
    :param float retry_slack: additional retries per window, over all gateways.
    :param float retry_window_s: length of each window, in seconds.
    :param float cold_overshoot: factor by which the rate of cold endpoints may be
        exceeded.
    :param float cold_slack: additional requests per second to a cold endpoint, over all
        gateways.
    :param int gateways: number of gateways to assume until they are listed.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    gateways: int = 1


class SharedBudgets:
    """Share of this gateway in the shared limits.

    The slack of a window is not available to a process that started within that
    window: its predecessor on the host may have spent it.

    :param Budgets budgets: the limits.
    :param float started_at: when this process started, monotonic seconds.
    :param str gateway_id: id of this gateway.
    :param gateway_ids: function that returns the ids of the registered gateways, a
        frozenset; empty if they are not known.
    """

    def __init__(self, budgets, started_at, gateway_id="", gateway_ids=frozenset):
        self.budgets = budgets
        self.started_at = started_at
        self.gateway_id = gateway_id
        self.gateway_ids = gateway_ids
        self._retries_by_service = {}
        self._has_slack = False

    def retries(self, service, now):
        """Return the retry budget of a service.

        :param str service: its name.
        :param float now: monotonic time in seconds.
        :rtype: sequoiagap.admission.RetryBudget
        """
        self._grant_slack_once(now)
        burst = self._retry_burst()
        budget = self._retries_by_service.get(service)
        if budget is None:
            share = min(self.budgets.retry_ratio * RATIO_SHARE, 1.0)
            budget = admission.RetryBudget(share, burst)
            if not self._has_slack:
                budget.drain()
            self._retries_by_service[service] = budget
        elif budget.burst != burst:
            budget.resize(burst)
        return budget

    def _grant_slack_once(self, now):
        if self._has_slack or now - self.started_at < self.budgets.retry_window_s:
            return
        self._has_slack = True
        for budget in self._retries_by_service.values():
            budget.resize(self._retry_burst())
            budget.fill()

    def _retry_burst(self):
        """Return this gateway's share of the slack; at least one retry."""
        return max(SLACK_SHARE * self.budgets.retry_slack / self._gateway_count(), 1.0)

    def _gateway_count(self):
        return len(self.gateway_ids()) or max(self.budgets.gateways, 1)

    def keep_cold_rate(self, service, loads, now):
        """Return the endpoints that may receive one more request now.

        :param sequoiagap.routes.Service service: their service, or ``None``.
        :param list loads: :class:`EndpointLoad` of each.
        :param float now: monotonic time in seconds.
        :rtype: list[EndpointLoad]
        """
        if service is None or not service.cold_requests_s:
            return loads
        budgets = self.budgets
        bound = service.cold_requests_s * budgets.cold_overshoot + budgets.cold_slack
        cold_now = routes.suspend_aware_time()
        return [
            load
            for load in loads
            if load.cold_until <= cold_now
            or _loads.may_send_to_cold(load, self._cold_part(load, bound, now), now)
        ]

    def _cold_part(self, load, bound, now):
        """Return the requests per second that this gateway may send to an endpoint."""
        if now - self.started_at < _loads.COLD_WINDOW_S:
            return 0.0  # a predecessor on this host may have used the share
        if load.cold_share is None:
            load.cold_share = admission.LimitShare(
                load.endpoint.endpoint_id,
                self.gateway_id,
                max(self.budgets.gateways, 1),
            )
        limit = COLD_SHARE * bound
        # With more gateways, none of them could send a whole request.
        return load.cold_share.part(limit, limit, self.gateway_ids())
