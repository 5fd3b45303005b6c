"""The gateway's process: listeners, readings, readiness and stop."""

import asyncio
import random
import time

from sequoiagap import base, routes, wire
from sequoiagap.gateway import (
    _budgets,
    _dispatch,
    _feed,
    _front,
    _listener,
    _loads,
    _peers,
    _pool,
    _ports,
    _report_inbox,
    _status,
)

READY_PROOF_S = 3.0  # without a proof this long, callers are better off elsewhere
LAST_REQUESTS_S = 0.3  # for requests on their way over connections that are open
PROOF_SHARE = 0.94  # of the time allowed; the rest is for the way to the endpoint
MILLISECONDS = 1000

_log = base.get_logger("gateway")


class Gateway:
    """Serves callers' requests by routes, straight to the endpoints.

    :param settings.GatewaySettings settings: checked settings.
    :param Store store: the readings that it decides by.
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
        self.pool = _pool.EndpointPool()
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
        self._inbox = _report_inbox.ReportInbox(self._take_report)
        self._sequence_by_run = {}
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
            node, self.store, self._hello, lambda asked: self.feed.answer_peer(asked)
        )
        self.feed = _feed.StoreFeed(
            self.store,
            self.peers,
            {
                "config": self._take_config,
                "endpoints": self._take_endpoints,
                "domains": self._take_domains,
            },
            self.metrics,
            self._note_return,
            self.freshness.max_age_s,
        )
        budgets = _budgets.SharedBudgets(
            _budgets.Budgets(
                retry_ratio=settings.retry_ratio,
                retry_slack=settings.retry_slack,
                cold_overshoot=settings.cold_overshoot,
                cold_slack=settings.cold_slack,
                gateways=settings.max_gateways,
            ),
            self.peers.registered,
        )
        chooser = _loads.EndpointChooser(self._random, settings.failure_domain)
        self.dispatcher = _dispatch.Dispatcher(
            self, self.dialect, chooser, budgets, self.metrics, self._random
        )
        self.front = _front.Front(
            self, self.dispatcher, self.dialect, self.metrics, self._random
        )
        self.status = _status.StatusServer(self)

    async def start(self):
        """Listen and begin to read the store."""
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

    async def stop(self):
        """Finish what is under way, within the grace period, and end."""
        _log.emit(base.Event.PROCESS_STOPPING, in_flight=self.front.in_flight_)
        began = time.monotonic()
        self.front.stopping_since_ = began
        ends_at = began + self.settings.grace_s
        await asyncio.sleep(min(_front.REFUSE_AFTER_STOP_S, self.settings.grace_s))
        await self.front.wait_idle(ends_at - LAST_REQUESTS_S - time.monotonic())
        await self._take_last_requests(ends_at)
        _log.emit(base.Event.PROCESS_STOPPED, in_flight=self.front.in_flight_)
        for listener in self._listeners:
            await listener.close()
        await self._tasks.close()
        await self.peers.stop()
        await self.dispatcher.stop()
        if self._server is not None:
            self._server.close()
        self._inbox.close()

    async def _take_last_requests(self, ends_at):
        """Let no caller connect any more, and answer those that are connected."""
        listener, self._front_listener = self._front_listener, None
        if listener is None:
            return
        await listener.stop_accepting()
        await asyncio.sleep(LAST_REQUESTS_S)
        await self.front.wait_idle(ends_at - time.monotonic())

    def reload(self):
        """Nothing is read again: the store is followed all the time."""

    def is_ready(self):
        """Return whether callers should be sent here.

        :rtype: bool
        """
        if self.front.stopping_since_ is not None or not self.feed.is_known():
            return False
        if self.feed.is_away() and self.dispatcher.reach.is_lost():
            return False
        age = self.freshness.age(routes.suspend_aware_time())
        return age <= min(READY_PROOF_S, self.freshness.max_age_s)

    def note_misdirected(self, endpoint_id):
        """Take it that an address belongs to another endpoint now, and read anew.

        :param str endpoint_id: the endpoint that was meant.
        """
        self.pool.discard(endpoint_id)
        self.feed.hurry("endpoints")

    def gateways(self):
        """Return how many gateways share the endpoints, as far as can be seen.

        :rtype: int
        """
        return self.peers.linked() + 1

    def dump_state(self):
        """Return everything that the process knows, as plain data.

        :rtype: dict
        """
        now = time.monotonic()
        return {
            "config_version": self.table.version,
            "routes": len(self.table.routes),
            "proof_age_s": self.freshness.age(routes.suspend_aware_time()),
            "ready": self.is_ready(),
            "in_flight": self.front.in_flight_,
            "domains_out": sorted(self.pool.domains_out_),
            "nodes": sorted(self.peers.node_by_id),
            "endpoints": {
                endpoint_id: {
                    "service": load.endpoint.service,
                    "state": str(load.endpoint.state),
                    "expected": load.expected(now),
                    "own": len(load.sent_at_by_attempt),
                    "failures": load.failures,
                }
                for endpoint_id, load in self.pool.load_by_id.items()
            },
        }

    def _note_return(self, is_copy):
        """Take it that the store is back, maybe without what was written last."""
        now = time.monotonic()
        self.pool.hold(now)
        if is_copy:
            self.pool.distrust(now)
            self.peers.check_registration()

    def _take_config(self, table, asked_at, is_settled):
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
            # What was accepted stays in force, but nothing proves that it is current.
            _log.emit(
                base.Event.PLATFORM_BEHIND, held=version, in_force=self.table.version
            )
        elif is_settled:
            self.freshness.record_reading(asked_at)

    def _take_endpoints(self, endpoint_by_id, asked_at, is_settled):
        if endpoint_by_id is not None:
            self.pool.update(endpoint_by_id, time.monotonic())

    def _take_domains(self, domains_out, asked_at, is_settled):
        if domains_out is None:
            return
        if not is_settled:
            domains_out = domains_out | self.pool.domains_out_
        self.pool.take_domains(domains_out)

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

    def _take_report(self, report):
        run = self._sequence_by_run.get(report.endpoint)
        is_same_run = run is not None and run[0] == report.incarnation
        if is_same_run and report.sequence <= run[1]:
            return
        self._sequence_by_run[report.endpoint] = (report.incarnation, report.sequence)
        if self.pool.take_report(report, time.monotonic()):
            _log.emit(base.Event.ENDPOINT_RESTARTED, address=report.endpoint)
            self.feed.hurry("endpoints")

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
    """Run a gateway until it is told to stop.

    :param settings.GatewaySettings gateway_settings: checked settings.
    :param Store store: the readings that it decides by.
    :param Dialect dialect: names of headers.
    """
    gateway = Gateway(gateway_settings, store, dialect)
    await base.run_program(gateway, lambda: {"ready": gateway_settings.node_id})
