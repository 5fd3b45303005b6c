"""State of a gateway as plain data, and the gauges that are read from it."""

import time

from sequoiagap import routes


def dump(gateway):
    """Return the state of a gateway as plain data.

    :param Gateway gateway: the gateway.
    :rtype: dict
    """
    now, at = time.monotonic(), routes.suspend_aware_time()
    return {
        "config_version": gateway.table.version,
        "routes": len(gateway.table.routes),
        "proof_age_s": gateway.freshness.age(at),
        "ready": gateway.is_ready(),
        "in_flight": gateway.front.in_flight_,
        "answer_bytes": gateway.dispatcher.answer_memory.used_,
        "domains_out": sorted(gateway.pool.domains_out_),
        "quarantined_parts": sorted(
            gateway.crash_evidence.quarantine.suspicion_by_part
        ),
        "nodes": sorted(gateway.peers.node_by_id),
        "endpoints": {
            endpoint_id: _dump_endpoint(gateway, load, now, at)
            for endpoint_id, load in gateway.pool.load_by_id.items()
        },
    }


def set_endpoint_gauges(gateway):
    """Set the metrics that count endpoints which get no requests.

    :param Gateway gateway: the gateway.
    """
    now = routes.suspend_aware_time()
    endpoints = [load.endpoint for load in gateway.pool.load_by_id.values()]
    pauses_s = [gateway.dispatcher.pauses.remaining_s(e, now) for e in endpoints]
    leaving = sum(map(gateway.leaving.includes, endpoints))
    gateway.metrics.set_gauge("endpoints_leaving", leaving)
    gateway.metrics.set_gauge("endpoints_paused", sum(s > 0 for s in pauses_s))
    gateway.metrics.set_gauge("longest_pause_seconds", max(pauses_s, default=0.0))


def _dump_endpoint(gateway, load, now, at):
    endpoint = load.endpoint
    return {
        "service": endpoint.service,
        "state": str(endpoint.state),
        "expected": load.expected(now),
        "own": len(load.sent_at_by_attempt),
        "failures": load.failures,
        "max_requests_s": _stated_limit(load),
        "leaving": gateway.leaving.includes(endpoint),
        "paused_s": round(gateway.dispatcher.pauses.remaining_s(endpoint, at), 1),
    }


def _stated_limit(load):
    """Return the rate limit that an endpoint states, or ``None``."""
    limit = load.rate_limit
    return limit.requests_s if limit is not None and limit.is_limited else None
