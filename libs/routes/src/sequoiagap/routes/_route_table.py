"""Lookup of routes, services and client accounts of one configuration version."""

import dataclasses

from sequoiagap.routes import _model


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """Routes, services and client accounts of one configuration version.

    :param int version: version of the configuration; 0 for none.
    :param tuple routes: the routes.
    :param dict service_by_name: the services by name.
    :param tuple accounts: the client accounts; ``None`` if no request needs a key.
    :param RequestLimits limits: limits of callers' requests.

    >>> route = _model.Route("r", "h.example", "/a/", "safe", (), 1.0)
    >>> table = RouteTable(1, (route,))
    >>> table.find_route("h.example:80", "/a/b").name
    'r'
    >>> table.find_route("h.example", "/b/") is None
    True
    """

    version: int = 0
    routes: tuple = ()
    service_by_name: dict = dataclasses.field(default_factory=dict)
    accounts: tuple | None = None
    limits: _model.RequestLimits = _model.RequestLimits()

    def __post_init__(self):
        by_host = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        account_by_key = {k: a for a in self.accounts or () for k in a.keys}
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_account_by_key", account_by_key)

    @property
    def needs_keys(self):
        """Whether requests to routes that are not public need a key."""
        return self.accounts is not None

    def find_route(self, host, path):
        """Return the route with the longest matching path prefix.

        :param str host: value of the ``Host`` header; a port is ignored.
        :param str path: path of the request, without the query.
        :returns: the route, or ``None`` if no route matches.
        :rtype: Route | None
        """
        by_prefix = self._by_host.get(host.partition(":")[0].lower())
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def min_target_gap_s(self, service):
        """Return the smallest target gap of the routes to a service.

        :param str service: name of the service.
        :returns: longest pause between events that meets the targets of all routes, in
            seconds; 0 if no route has a target.
        :rtype: float
        """
        gaps = [
            route.target_gap_s
            for route in self.routes
            if route.target_gap_s and any(t.service == service for t in route.targets)
        ]
        return min(gaps, default=0.0)

    def find_account(self, key):
        """Return the client account of a key.

        :param str key: key as the caller sent it.
        :returns: the account, or ``None`` if the key is unknown.
        :rtype: ClientAccount | None
        """
        return self._account_by_key.get(key)
