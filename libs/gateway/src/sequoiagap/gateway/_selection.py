"""Selection of the endpoint for a request: outages, admission and choice."""

import asyncio
import time

from sequoiagap.gateway import _admission, _loads, _outage, _refusals


class EndpointSelector:
    """Waits for endpoints, admits requests and chooses an endpoint for each.

    :param state: object with ``table`` and ``pool`` in force, and with
        ``gateway_count()``.
    :param EndpointChooser chooser: chooses among endpoints.
    :param SendGate gate: tells which endpoints may receive a request.
    :param AttemptLog attempt_log: records waits.
    :param random.Random random_state: adds jitter to retry delays.
    """

    def __init__(self, state, chooser, gate, attempt_log, random_state):
        self.state = state
        self.chooser = chooser
        self.gate = gate
        self.attempt_log = attempt_log
        self.random_state = random_state
        self._admission_by_service = {}

    async def wait_out_outage(self, request):
        """Wait while the endpoints' group is down, if it may recover in time.

        :param Request request: the request.
        """
        began = time.monotonic()
        loads = self.state.pool.candidates(request.service)
        outage_s = self._unavailable_s(request.service, loads, began)
        if outage_s is None:
            return
        service_admission = self.admission(request.service)
        caller = _outage.Caller(
            request.arrived_at,
            request.deadline,
            request.route.timeout_s,
            request.route.patience_s,
        )
        capacity = (
            sum(load.endpoint.slots for load in loads) // self.state.gateway_count()
        )
        until = service_admission.queue.wait_deadline(
            caller, outage_s, service_admission.service_s, capacity, began
        )
        if until <= began:
            return
        with service_admission.queue:
            await self._wait_for_group(request.service, until)
        self.attempt_log.record_wait(request, outage_s, began)

    def choose(self, request, progress):
        """Return the load of the endpoint to use, or a refusal.

        :param Request request: the request.
        :param Progress progress: its progress; tried endpoints are chosen last.
        :rtype: EndpointLoad | sequoiagap.base.Refusal
        """
        now = time.monotonic()
        all_loads = self.state.pool.candidates(request.service)
        options = self._options(request.service, all_loads, now)
        candidates = options.usable
        decision = self._decide(request, options, now)
        is_first = not progress.sent
        cannot_serve = not candidates or _loads.is_down(candidates, now)
        if not decision.is_admitted and (is_first or cannot_serve):
            return _refusals.overloaded(decision.reason, decision.retry_after_s)
        open_loads = [load for load in candidates if not load.is_closed(now)]
        return self.chooser.choose(open_loads or candidates, now, progress.tried)

    def _decide(self, request, options, now):
        service_admission = self.admission(request.service)
        within_limits = options.usable + options.at_cold_rate
        if all(load.is_closed(now) for load in within_limits):
            limited = _open(options.at_rate_limit, now)
            if limited:
                wait_s = self.gate.limit_wait_s(limited)
                return service_admission.refuse_limited(wait_s)
            paused = _open(options.paused, now)
            if paused:
                return service_admission.refuse_paused(self.gate.pause_wait_s(paused))
        return service_admission.decide(
            options.usable,
            request.route.target_latency_s,
            now,
            request.deadline - now,
            within_limits,
        )

    def admission(self, service):
        """Return the admission control of a service.

        :param str service: its name.
        :rtype: ServiceAdmission
        """
        found = self._admission_by_service.get(service)
        if found is None:
            found = _admission.ServiceAdmission(self.random_state)
            self._admission_by_service[service] = found
        return found

    async def _wait_for_group(self, service, until):
        while (now := time.monotonic()) < until:
            loads = self.state.pool.candidates(service)
            if self._unavailable_s(service, loads, now) is None:
                return
            await asyncio.sleep(min(_outage.CHECK_INTERVAL_S, until - now))

    def _unavailable_s(self, service_name, loads, now):
        """Return for how many seconds no endpoint has accepted requests.

        ``None`` means that at least one accepts them now. Cold endpoints accept few
        requests per second at first; requests that wait for one proceed as the share
        of each second allows.
        """
        if not loads:
            return None
        if _loads.is_down(loads, now):
            return max(load.closed_for(now) for load in loads)
        options = self._options(service_name, loads, now)
        if _open(options.at_cold_rate, now) and not _open(options.usable, now):
            return _loads.UNKNOWN_OUTAGE_S
        return None

    def _options(self, service_name, loads, now):
        service = self.state.table.service_by_name.get(service_name)
        return self.gate.options(service, loads, now)


def _open(loads, now):
    """Return the endpoints whose group serves."""
    return [load for load in loads if not load.is_closed(now)]
