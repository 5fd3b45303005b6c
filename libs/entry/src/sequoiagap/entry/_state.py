"""State dump and metrics of an entry."""

import time

from sequoiagap import base


def dump(entry):
    """Return the state of an entry as plain data.

    :param Entry entry: the entry.
    :rtype: dict
    """
    links = entry.links_
    return {
        "node_id": entry.settings.node_id,
        "role": "entry",
        "incarnation": entry.incarnation_,
        "failure_domain": entry.settings.failure_domain,
        "config_version": entry.holder_.current_.number,
        "ready": entry.is_ready(),
        "in_flight": entry.callers_.in_flight_,
        "admission": entry.admission_.describe(),
        "endpoints": {
            endpoint_id: _describe(link, links.selection_)
            for endpoint_id, link in sorted(links.by_id.items())
        },
        "known_endpoints": len(links.directory_.by_id),
        "local_out": sorted(entry.holder_.local_by_domain),
        "platform": {
            "watching": entry.watch_.watching_,
            "reachable": entry.watch_.reachable_,
            "behind": entry.watch_.behind_,
            "age_ms": entry.watch_schedule_.age_ms(time.monotonic()),
            "polling_list": entry.host_list_.polling_,
            "list_age_ms": entry.host_list_.age_ms(),
        },
        "peers": sorted({c.peer.node_id for c in entry.mesh_.connections_}),
        "platform_calls": entry.platform_.calls_,
        "metrics": collect_metrics(entry),
    }


def collect_metrics(entry):
    """Return all metrics of an entry, with gauges set to their current values.

    :param Entry entry: the entry.
    :rtype: dict
    """
    links = entry.links_.by_id.values()
    connected = sum(link.view.connected for link in links)
    entry.metrics_.set_gauge("connections", connected)
    entry.metrics_.set_gauge("requests_in_flight", entry.callers_.in_flight_)
    entry.admission_.collect_metrics()
    return base.collect_process_metrics(
        entry.metrics_, entry.holder_.current_.number, entry.platform_.calls_
    )


def _describe(link, selection):
    view = link.view
    return {
        "state": view.state,
        "role": view.role,
        "failure_domain": view.failure_domain,
        "serves": sorted(view.serves),
        "connected": view.connected,
        "chosen": view.endpoint_id in selection.chosen_,
        "leaving": link.member.leaving,
        "suspect": link.is_suspect(time.monotonic()),
        "listed": link.member.listed,
        "limit": view.limit,
        "reported_in_flight": view.reported_in_flight,
        "own_in_flight": view.own_in_flight,
        "service_time_s": view.service_time_s,
    }
