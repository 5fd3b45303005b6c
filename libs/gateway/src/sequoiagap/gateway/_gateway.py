"""Gateway process: its listeners, store readings, readiness and shutdown."""

import asyncio
import random
import time

from sequoiagap import base, routes, wire
from sequoiagap.gateway import (
    _budgets,
    _crash_archive,
    _crash_evidence,
    _dispatch,
    _feed,
    _front,
    _leaving,
    _listener,
    _loads,
    _peers,
    _pool,
    _ports,
    _rate_limits,
    _report_inbox,
    _state_dump,
    _status,
)

MAX_READY_PROOF_AGE_S = 3.0  # above it, other gateways serve keyed callers better
CONNECTION_DRAIN_S = 0.3  # for requests already on the way over open connections
ANSWER_S = 0.1  # for the final answers of requests that end with the grace period
PROOF_SHARE = 0.94  # of the allowed time; the rest covers the way to the endpoint
MILLISECONDS = 1000

_log = base.get_logger("gateway")


class Gateway:
    """Accepts callers' requests and forwards them to endpoints along routes.

    :param settings.GatewaySettings settings: checked settings.
    :param Store store: source of configuration, endpoints and failure domains.
    :param Dialect dialect: names of headers.

    :ivar routes.RouteTable table: configuration in force.
    :ivar EndpointPool pool: endpoints in use.
    :ivar routes.Freshness freshness: proof that the configuration is current.
    """

    def __init__(self, settings, store, dialect):
        self.settings = settings
        self.store = store
        self.dialect = dialect
        self.table = routes.RouteTable()
        self.leaving = _leaving.LeavingEndpoints(lambda item: self.peers.share(item))
        self.pool = _pool.EndpointPool(self.leaving, lambda: self.table.service_by_name)
        self.freshness = routes.Freshness(
            settings.key_proof_ms / MILLISECONDS * PROOF_SHARE
        )
        self.metrics = base.Metrics()
        self.incarnation = base.new_id("run")
        self._random = random.Random()
        self._tasks = base.TaskSet()
        self._front_listener = None
        self._listeners = []
        self._server = None
        self._inbox = _report_inbox.ReportInbox(self._handle_report)
        self._last_report_by_endpoint = {}
        self._build()

    def _build(self):
        settings = self.settings
        node = _ports.Node(
            node_id=settings.node_id,
            role="gateway",
            address=str(settings.address),
            port=settings.port,
            failure_domain=settings.failure_domain,
        )
        self.peers = _peers.PeerLinks(
            node,
            self.store,
            self._hello,
            lambda query: self.feed.answer_peer(query),
            lambda: (self.crash_evidence, self.rate_limits, self.leaving),
        )
        self._crash_archive = _crash_archive.CrashArchive(self.store)
        self.crash_evidence = _crash_evidence.CrashEvidence(
            self.peers.share, self._crash_archive
        )
        self.feed = _feed.StoreFeed(
            self.store,
            self.peers,
            {
                "config": self._apply_config,
                "endpoints": self._apply_endpoints,
                "domains": self._apply_domains,
            },
            self.metrics,
            self._handle_store_return,
            self.freshness.max_age_s,
        )
        budgets = _budgets.SharedBudgets(
            _budgets.Budgets(
                retry_ratio=settings.retry_ratio,
                retry_slack=settings.retry_slack,
                retry_window_s=settings.retry_window_s,
                cold_overshoot=settings.cold_overshoot,
                cold_slack=settings.cold_slack,
                gateways=settings.max_gateways,
            ),
            time.monotonic(),
            settings.node_id,
            self.peers.registered_ids,
        )
        self.rate_limits = _rate_limits.RateLimits(
            settings.node_id,
            self.pool,
            self.peers.registered_ids,
            self.peers.share,
            settings.max_gateways,
        )
        chooser = _loads.EndpointChooser(self._random, settings.failure_domain)
        self.dispatcher = _dispatch.Dispatcher(
            self,
            self.dialect,
            chooser,
            budgets,
            self.rate_limits,
            self.crash_evidence,
            self.metrics,
            self._random,
        )
        self.front = _front.Front(
            self, self.dispatcher, self.dialect, self.metrics, self._random
        )
        self.status = _status.StatusServer(self)

    async def start(self):
        """Open the listeners and start reading the store."""
        settings = self.settings
        await self.dispatcher.start()
        self._front_listener = await self._listen(
            self.front.server(), settings.front_address
        )
        await self._listen(self.status.ready_server(), settings.ready_address)
        if settings.metrics_port:
            address = f"{settings.address}:{settings.metrics_port}"
            await self._listen(self.status.metrics_server(), address)
        await self._listen_for_processes()
        self._tasks.start(self.feed.run(), "feed")
        self._tasks.start(self.peers.run(), "peers")
        self._tasks.start(
            self.crash_evidence.load(routes.suspend_aware_time), "load-crashes"
        )

    async def stop(self):
        """Finish the requests in flight within the grace period, then shut down."""
        _log.emit(base.Event.PROCESS_STOPPING, in_flight=self.front.in_flight_)
        began = time.monotonic()
        deadline = began + self.settings.grace_s
        self.front.begin_stop(began, deadline - CONNECTION_DRAIN_S - ANSWER_S)
        await asyncio.sleep(min(_front.REFUSE_AFTER_STOP_S, self.settings.grace_s))
        await self.front.wait_idle(deadline - CONNECTION_DRAIN_S - time.monotonic())
        await self._drain_connections(deadline)
        _log.emit(base.Event.PROCESS_STOPPED, in_flight=self.front.in_flight_)
        for listener in self._listeners:
            await listener.close()
        await self._tasks.close()
        await self._crash_archive.close()
        await self.peers.stop()
        await self.dispatcher.stop()
        if self._server is not None:
            self._server.close()
        self._inbox.close()

    async def _drain_connections(self, deadline):
        """Stop accepting connections and answer the requests of open ones."""
        listener, self._front_listener = self._front_listener, None
        if listener is None:
            return
        await listener.stop_accepting()
        await asyncio.sleep(CONNECTION_DRAIN_S)
        await self.front.wait_idle(deadline - time.monotonic())
        await listener.wait_flushed(deadline - time.monotonic())

    def reload(self):
        """Do nothing: the store is read continuously, so no reload is needed."""

    def is_ready(self):
        """Return whether the platform's balancer should send callers here.

        :rtype: bool
        """
        if self.front.stopping_since_ is not None or not self.feed.is_loaded():
            return False
        if self.feed.is_unreachable() and self.dispatcher.reachability.is_lost():
            return False
        age = self.freshness.age(routes.suspend_aware_time())
        return age <= min(MAX_READY_PROOF_AGE_S, self.freshness.max_age_s)

    def record_misdirected(self, endpoint_id):
        """Drop an endpoint whose address belongs to another one, and read the list.

        :param str endpoint_id: endpoint that the request was addressed to.
        """
        self.pool.discard(endpoint_id)
        self.feed.refresh("endpoints")

    def gateway_count(self):
        """Return how many gateways share the endpoints: this one and those linked.

        :rtype: int
        """
        return self.peers.linked_count() + 1

    def dump_state(self):
        """Return the state of the process as plain data.

        :rtype: dict
        """
        return _state_dump.dump(self)

    def _handle_store_return(self, is_copy):
        """Hold lapsed entries: the store answers again, perhaps from a copy."""
        now = time.monotonic()
        self.pool.hold_missing(now)
        if is_copy:
            self.pool.ignore_departed(now)
            self.peers.check_registration()
            self.crash_evidence.save_again(routes.suspend_aware_time())

    def _apply_config(self, table, requested_at, is_settled):
        version = table.version if table is not None else 0
        if version > self.table.version:
            self.table = table
            self.metrics.set_gauge("config_version", table.version)
            _log.emit(
                base.Event.CONFIG_ADOPTED,
                config_version=table.version,
                routes=len(table.routes),
                accounts=len(table.accounts or ()),
            )
        if version < self.table.version:
            # The newer configuration stays in force, but is not proved current.
            _log.emit(
                base.Event.PLATFORM_BEHIND, held=version, in_force=self.table.version
            )
        elif is_settled:
            self.freshness.record_reading(requested_at)

    def _apply_endpoints(self, endpoint_by_id, requested_at, is_settled):
        if endpoint_by_id is not None:
            self.pool.update(endpoint_by_id, time.monotonic())
            self.crash_evidence.record_registered_starts(
                endpoint_by_id.values(), routes.suspend_aware_time()
            )

    def _apply_domains(self, domains_out, requested_at, is_settled):
        if domains_out is None:
            return
        if not is_settled:
            domains_out = domains_out | self.pool.domains_out_
        self.pool.set_domains_out(domains_out)

    async def _listen(self, server, address):
        listener = _listener.HttpListener(server, address)
        await listener.start()
        self._listeners.append(listener)
        return listener

    async def _listen_for_processes(self):
        host, port = str(self.settings.address), self.settings.port
        self._server = await wire.listen(self.peers.serve, host, port)
        self._inbox.open(host, port)
        self._tasks.start(self._inbox.run(), "reports")

    def _handle_report(self, report):
        last_report = self._last_report_by_endpoint.get(report.endpoint)
        is_same_run = last_report is not None and last_report[0] == report.incarnation
        if is_same_run and report.sequence <= last_report[1]:
            return
        self._last_report_by_endpoint[report.endpoint] = (
            report.incarnation,
            report.sequence,
        )
        self.crash_evidence.record_start(
            report.endpoint, report.started_ms, routes.suspend_aware_time()
        )
        load = self.pool.find_by_address(report.endpoint)
        if load is not None:
            self.rate_limits.record_report(load, report.max_requests_s)
        if self.pool.record_report(report, time.monotonic()):
            _log.emit(base.Event.ENDPOINT_RESTARTED, address=report.endpoint)
            self.feed.refresh("endpoints")

    def _hello(self):
        return wire.Hello(
            node_id=self.settings.node_id,
            role="gateway",
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            config_version=self.table.version,
            secret=self.settings.deployment,
        )


async def run(gateway_settings, store, dialect):
    """Run a gateway until it receives a stop signal.

    :param settings.GatewaySettings gateway_settings: checked settings.
    :param Store store: source of configuration, endpoints and failure domains.
    :param Dialect dialect: names of headers.
    """
    gateway = Gateway(gateway_settings, store, dialect)
    await base.run_program(gateway, lambda: {"ready": gateway_settings.node_id})
