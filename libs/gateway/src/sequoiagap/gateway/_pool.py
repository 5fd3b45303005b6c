"""Registry of the endpoints that requests may be sent to."""

import dataclasses

from sequoiagap import base, routes
from sequoiagap.gateway import _leaving, _loads, _ports

RETURN_HOLD_S = 2.0  # by then owners have written lapsed entries again
IGNORE_DEPARTED_S = 5.0  # by then a copy's entries of departed endpoints have lapsed
DEPARTED_KEPT_S = 120.0

_log = base.get_logger("endpoints")


class EndpointPool:
    """Holds the load of each registered endpoint and selects candidates by service.

    An endpoint whose entry lapsed while the store was unreachable is kept until the
    store has been reachable for a while, because its entry may be written again.

    :param LeavingEndpoints leaving: endpoints that are about to end.
    :param service_names: function that returns the names of the configured services.

    :ivar dict load_by_id: :class:`EndpointLoad` of each known endpoint.
    :ivar frozenset domains_out_: failure domains that receive no requests.
    """

    def __init__(self, leaving=None, service_names=frozenset):
        self.leaving = leaving or _leaving.LeavingEndpoints()
        self.service_names = service_names
        self.load_by_id = {}
        self.domains_out_ = frozenset()
        self._load_by_address = {}
        self._group_by_name = {}
        self._hold_until = 0.0
        self._ignore_departed_until = 0.0
        self._departed_at_by_start = {}

    def hold_missing(self, now):
        """Keep endpoints without an entry for a while, as the store was unreachable.

        :param float now: monotonic time in seconds.
        """
        self._hold_until = now + RETURN_HOLD_S

    def ignore_departed(self, now):
        """Ignore entries of departed endpoints: the store was restored from a copy.

        :param float now: monotonic time in seconds.
        """
        self._ignore_departed_until = now + IGNORE_DEPARTED_S

    def update(self, endpoint_by_id, now):
        """Apply a reading of the registered endpoints.

        :param dict endpoint_by_id: the newest reading.
        :param float now: monotonic time in seconds.
        """
        for endpoint_id, endpoint in endpoint_by_id.items():
            is_settled = now >= self._ignore_departed_until
            if is_settled or not self._has_departed(endpoint_id, endpoint):
                self._add_or_update(endpoint_id, endpoint)
        for endpoint_id in list(self.load_by_id.keys() - endpoint_by_id.keys()):
            if now >= self._hold_until or self._is_replaced(endpoint_id):
                self._record_departure(endpoint_id, now)
                self._remove(endpoint_id)
        self._load_by_address = self._find_owners()

    def set_domains_out(self, domains_out):
        """Set the failure domains that operators took out of service.

        :param frozenset domains_out: their names.
        """
        if domains_out != self.domains_out_:
            _log.emit(base.Event.DOMAINS_OUT, domains=sorted(domains_out))
        self.domains_out_ = domains_out

    def discard(self, endpoint_id):
        """Stop using an endpoint until the next reading: its address has moved.

        :param str endpoint_id: the endpoint.
        """
        if endpoint_id in self.load_by_id:
            self._remove(endpoint_id)

    def find_by_address(self, address):
        """Return the load of the endpoint at ``address:port``, or ``None``.

        :rtype: EndpointLoad | None
        """
        return self._load_by_address.get(address)

    def record_report(self, report, now):
        """Record an agent's report of its endpoint.

        :param EndpointReport report: the report.
        :param float now: when it arrived, monotonic seconds.
        :returns: whether the endpoint has restarted and is not registered anew yet.
        :rtype: bool
        """
        load = self.find_by_address(report.endpoint)
        if load is None:
            return False
        sample = _ports.LoadSample(report.running, report.waiting, report.slots)
        load.record_sample(sample, now)
        load.slowness = max(report.slowness, 1.0)
        registered_ms = load.endpoint.started_ms
        if report.is_leaving and report.started_ms in (0, registered_ms):
            self.leaving.record(load.endpoint, "report")
        is_new_start = load.record_start(report.started_ms, now)
        if not report.group:
            return is_new_start
        group = self._group_by_name.setdefault(report.group, _loads.GroupState())
        group.update(report.epoch, report.is_open, now)
        group.reported_at = now
        load.group = group
        return is_new_start

    def record_group_down(self, load, now):
        """Record that an endpoint's group lacks a rank, according to an answer.

        Until agents have reported group names, the endpoints of a service without a
        known group count as one group.

        :param EndpointLoad load: the endpoint that answered.
        :param float now: monotonic time in seconds.
        """
        if load.group is None:
            service = load.endpoint.service
            group = _loads.GroupState()
            for other in self.load_by_id.values():
                if other.endpoint.service == service and other.group is None:
                    other.group = group
        load.group.update(load.group.epoch, False, now)

    def candidates(self, service):
        """Return the loads of a service's endpoints that may receive requests.

        :param str service: name of the service.
        :rtype: list[EndpointLoad]
        """
        return [
            load
            for load in self.load_by_id.values()
            if load.endpoint.service == service
            and not self.leaving.includes(load.endpoint)
            and load.endpoint.failure_domain not in self.domains_out_
            and self._load_by_address.get(load.endpoint.host_and_port) is load
        ]

    def record_leaving(self, endpoint_id, source):
        """Record that the present start of an endpoint is about to end.

        :param str endpoint_id: the endpoint.
        :param str source: who has told it.
        """
        load = self.load_by_id.get(endpoint_id)
        if load is not None:
            self.leaving.record(load.endpoint, source)

    def _add_or_update(self, endpoint_id, endpoint):
        if endpoint.state == routes.EndpointState.DRAINING:
            self.leaving.record(endpoint, "store")
        elif self.leaving.includes(endpoint):
            endpoint = dataclasses.replace(
                endpoint, state=routes.EndpointState.DRAINING
            )
        current = self.load_by_id.get(endpoint_id)
        if current is None or current.endpoint.started_ms != endpoint.started_ms:
            load = _loads.EndpointLoad(endpoint)
            load.cold_until = _cold_until(endpoint)
            self.load_by_id[endpoint_id] = load
            _log.emit(
                base.Event.ENDPOINT_SEEN,
                endpoint=endpoint_id,
                service=endpoint.service,
                address=endpoint.host_and_port,
                failure_domain=endpoint.failure_domain,
                state=str(endpoint.state),
            )
            return
        if current.endpoint.state != endpoint.state:
            _log.emit(
                base.Event.ENDPOINT_STATE,
                endpoint=endpoint_id,
                state=str(endpoint.state),
            )
        if current.endpoint.cold_remaining_s != endpoint.cold_remaining_s:
            current.cold_until = _cold_until(endpoint)
        current.endpoint = endpoint

    def _find_owners(self):
        """Return the load of the endpoint at each address.

        Of several entries with one address, the latest start owns it. An entry of a
        service that no configuration names is another writer's, and owns none.
        """
        names = self.service_names()

        def rank(load):
            return load.endpoint.service in names, load.endpoint.started_ms

        loads = sorted(self.load_by_id.values(), key=rank)
        return {load.endpoint.host_and_port: load for load in loads}

    def _has_departed(self, endpoint_id, endpoint):
        """Return whether this start of an endpoint was removed before."""
        return (endpoint_id, endpoint.started_ms) in self._departed_at_by_start

    def _record_departure(self, endpoint_id, now):
        departed_at = self._departed_at_by_start
        departed_at[endpoint_id, self.load_by_id[endpoint_id].endpoint.started_ms] = now
        for key in [
            key for key, at in departed_at.items() if now - at > DEPARTED_KEPT_S
        ]:
            del departed_at[key]

    def _is_replaced(self, endpoint_id):
        """Return whether another endpoint has the same address."""
        missing = self.load_by_id[endpoint_id].endpoint
        return any(
            load.endpoint.address == missing.address
            and load.endpoint.port == missing.port
            for other_id, load in self.load_by_id.items()
            if other_id != endpoint_id
        )

    def _remove(self, endpoint_id):
        del self.load_by_id[endpoint_id]
        _log.emit(base.Event.ENDPOINT_GONE, endpoint=endpoint_id)


def _cold_until(endpoint):
    return routes.suspend_aware_time() + endpoint.cold_remaining_s
