"""Limits that all gateways keep together, divided without coordination."""

import dataclasses

from sequoiagap import admission, routes
from sequoiagap.gateway import _loads

RATIO_SHARE = 0.8  # of the allowed ratio; the rest covers sliding windows
COLD_SHARE = 0.8  # of the cold rate; the rest covers gateways that were just added


@dataclasses.dataclass(frozen=True)
class Budgets:
    """Limits shared by all gateways.

    :param float retry_ratio: attempts beyond the first, per request.
    :param float retry_slack: additional retries per window, over all gateways.
    :param float cold_overshoot: factor by which the rate of cold endpoints may be
        exceeded.
    :param float cold_slack: additional requests per second to a cold endpoint, over all
        gateways.
    :param int gateways: largest number of gateways, used until they are listed.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    gateways: int = 1


class SharedBudgets:
    """Share of this gateway in the shared limits.

    :param Budgets budgets: the limits.
    :param count_gateways: function that returns the number of registered gateways; 0
        if that is not known.
    """

    def __init__(self, budgets, count_gateways=lambda: 0):
        self.budgets = budgets
        self.count_gateways = count_gateways
        self._shares = max(budgets.gateways, 1)
        self._retries_by_service = {}

    def retries(self, service):
        """Return the retry budget of a service.

        :param str service: its name.
        :rtype: sequoiagap.admission.RetryBudget
        """
        budget = self._retries_by_service.get(service)
        if budget is None:
            budget = admission.RetryBudget(
                share=min(self.budgets.retry_ratio * RATIO_SHARE, 1.0),
                burst=max(self.budgets.retry_slack / self._shares / 2, 1.0),
            )
            self._retries_by_service[service] = budget
        return budget

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
        allowed = COLD_SHARE * bound / (self.count_gateways() or self._shares)
        cold_now = routes.suspend_aware_time()
        return [
            load
            for load in loads
            if load.cold_until <= cold_now
            or _loads.may_send_to_cold(load, allowed, now)
        ]
