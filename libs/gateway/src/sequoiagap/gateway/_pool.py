"""The endpoints that requests may be sent to."""

import dataclasses

from sequoiagap import base, routes
from sequoiagap.gateway import _loads, _ports

RETURN_HOLD_S = 2.0  # lapsed entries are back this long after the store's return
DISTRUST_S = 5.0  # by then entries of a copy whose owners have left have lapsed again
LEFT_KEPT_S = 120.0

_log = base.get_logger("endpoints")


class EndpointPool:
    """Endpoints by service, with what is known of their load.

    An endpoint whose entry lapsed while the store was away stays until the store has
    been back for a while, as its entry may come again.

    :ivar dict load_by_id: :class:`EndpointLoad` of each known endpoint.
    :ivar frozenset domains_out_: failure domains that get nothing.
    """

    def __init__(self):
        self.load_by_id = {}
        self.domains_out_ = frozenset()
        self._load_by_address = {}
        self._group_by_name = {}
        self._hold_until = 0.0
        self._distrust_until = 0.0
        self._left_at_by_start = {}

    def hold(self, now):
        """Keep endpoints whose entries are missing, as the store was away.

        :param float now: monotonic time in seconds.
        """
        self._hold_until = now + RETURN_HOLD_S

    def distrust(self, now):
        """Take no endpoint back that has left, as the store returned from a copy.

        :param float now: monotonic time in seconds.
        """
        self._distrust_until = now + DISTRUST_S

    def update(self, endpoint_by_id, now):
        """Take the registered endpoints.

        :param dict endpoint_by_id: the newest reading.
        :param float now: monotonic time in seconds.
        """
        for endpoint_id, endpoint in endpoint_by_id.items():
            if now >= self._distrust_until:
                self._take(endpoint_id, endpoint)
            elif not self._has_left(endpoint_id, endpoint):
                self._take(endpoint_id, self._keep_leaving(endpoint_id, endpoint))
        for endpoint_id in list(self.load_by_id.keys() - endpoint_by_id.keys()):
            if now >= self._hold_until or self._is_replaced(endpoint_id):
                self._note_left(endpoint_id, now)
                self._drop(endpoint_id)
        # An address belongs to what started there last, whatever else is registered.
        by_start = sorted(
            self.load_by_id.values(), key=lambda load: load.endpoint.started_ms
        )
        self._load_by_address = {_address(load.endpoint): load for load in by_start}

    def take_domains(self, domains_out):
        """Take the failure domains that operators took out.

        :param frozenset domains_out: their names.
        """
        if domains_out != self.domains_out_:
            _log.emit(base.Event.DOMAINS_OUT, domains=sorted(domains_out))
        self.domains_out_ = domains_out

    def discard(self, endpoint_id):
        """Use an endpoint no more until the next reading, as its address has moved.

        :param str endpoint_id: the endpoint.
        """
        if endpoint_id in self.load_by_id:
            self._drop(endpoint_id)

    def find_by_address(self, address):
        """Return the load of the endpoint at ``address:port``, or ``None``.

        :rtype: EndpointLoad | None
        """
        return self._load_by_address.get(address)

    def take_report(self, report, now):
        """Take an agent's report of its endpoint.

        :param EndpointReport report: the report.
        :param float now: when it came, monotonic seconds.
        :returns: whether the endpoint has started anew and is not registered as such.
        :rtype: bool
        """
        load = self.find_by_address(report.endpoint)
        if load is None:
            return False
        sample = _ports.LoadSample(report.running, report.waiting, report.slots)
        load.record_sample(sample, now)
        load.slowness = max(report.slowness, 1.0)
        is_new_start = load.take_start(report.started_ms, now)
        if not report.group:
            return is_new_start
        group = self._group_by_name.setdefault(report.group, _loads.GroupState())
        group.update(report.epoch, report.is_open, now)
        group.reported_at = now
        load.group = group
        return is_new_start

    def note_group_down(self, load, now):
        """Take it that an endpoint's group lacks a rank, as an answer said so.

        Before any agent has named the groups, those endpoints of the service of which
        none is known are taken for one group.

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
        """Return the loads of a service's endpoints that may get requests.

        :param str service: name of the service.
        :rtype: list[EndpointLoad]
        """
        return [
            load
            for load in self.load_by_id.values()
            if load.endpoint.service == service
            and load.endpoint.state == routes.EndpointState.READY
            and load.endpoint.failure_domain not in self.domains_out_
            and self._load_by_address.get(_address(load.endpoint)) is load
        ]

    def _take(self, endpoint_id, endpoint):
        known = self.load_by_id.get(endpoint_id)
        if known is None or known.endpoint.started_ms != endpoint.started_ms:
            load = _loads.EndpointLoad(endpoint)
            load.cold_until = _cold_until(endpoint)
            self.load_by_id[endpoint_id] = load
            _log.emit(
                base.Event.ENDPOINT_SEEN,
                endpoint=endpoint_id,
                service=endpoint.service,
                address=f"{endpoint.address}:{endpoint.port}",
                failure_domain=endpoint.failure_domain,
                state=str(endpoint.state),
            )
            return
        if known.endpoint.state != endpoint.state:
            _log.emit(
                base.Event.ENDPOINT_STATE,
                endpoint=endpoint_id,
                state=str(endpoint.state),
            )
        if known.endpoint.cold_remaining_s != endpoint.cold_remaining_s:
            known.cold_until = _cold_until(endpoint)
        known.endpoint = endpoint

    def _has_left(self, endpoint_id, endpoint):
        """Return whether this start of an endpoint has left before."""
        return (endpoint_id, endpoint.started_ms) in self._left_at_by_start

    def _keep_leaving(self, endpoint_id, endpoint):
        """Return an endpoint as leaving, if this start of it was so before."""
        known = self.load_by_id.get(endpoint_id)
        if known is None or known.endpoint.started_ms != endpoint.started_ms:
            return endpoint
        if known.endpoint.state != routes.EndpointState.DRAINING:
            return endpoint
        return dataclasses.replace(endpoint, state=routes.EndpointState.DRAINING)

    def _note_left(self, endpoint_id, now):
        left = self._left_at_by_start
        left[endpoint_id, self.load_by_id[endpoint_id].endpoint.started_ms] = now
        for key in [key for key, at in left.items() if now - at > LEFT_KEPT_S]:
            del left[key]

    def _is_replaced(self, endpoint_id):
        """Return whether another endpoint has taken the address."""
        lost = self.load_by_id[endpoint_id].endpoint
        return any(
            load.endpoint.address == lost.address and load.endpoint.port == lost.port
            for other_id, load in self.load_by_id.items()
            if other_id != endpoint_id
        )

    def _drop(self, endpoint_id):
        del self.load_by_id[endpoint_id]
        _log.emit(base.Event.ENDPOINT_GONE, endpoint=endpoint_id)


def _address(endpoint):
    return f"{endpoint.address}:{endpoint.port}"


def _cold_until(endpoint):
    return routes.suspend_aware_time() + endpoint.cold_remaining_s
