"""Assembly of the agent process."""

import json

from sequoiagap import (
    admission,
    base,
    config,
    members,
    outcome,
    platform,
    settings,
    wire,
)
from sequoiagap.agent import (
    _endpoint,
    _executor,
    _gatekeeper,
    _group_member,
    _guard,
    _orders,
    _reports,
    _roles,
    _spread,
)

_log = base.get_logger("agent")


class Agent:
    """The process beside one endpoint, and the only sender to it.

    :param sequoiagap.settings.AgentSettings settings: checked settings.

    :ivar int port_: TCP port in use, once started.
    :ivar str incarnation_: fresh id of this run.
    """

    def __init__(self, settings):
        self.settings = settings
        self.incarnation_ = base.new_id("inc")
        self.port_ = 0
        self.holder_ = config.ConfigHolder()
        self.connections_ = set()
        self._tasks = base.TaskSet()
        self._server = None
        self._secret = ""
        self.tls_ = None
        self._build()

    def _build(self):
        endpoint = self.settings.endpoint
        self.gate_ = admission.EndpointGate(
            endpoint.warm_limit, endpoint.cold_limit, endpoint.warm_up_s
        )
        self.client_ = _endpoint.EndpointClient(endpoint, self.gate_)
        self.ledger_ = outcome.Ledger(self.incarnation_)
        self.platform_ = platform.PlatformClient(
            self.settings.platform.url, self.settings.platform.timeout_s
        )
        self.executor_ = _executor.Executor(
            self.client_,
            self.gate_,
            self.ledger_,
            self.holder_,
            self.settings.node_id,
            self.settings.failure_domain,
            self.platform_,
        )
        self.metrics_ = self.executor_.metrics_
        self.roles_ = _roles.RoleKeeper(
            self.gate_, self._has_order_at_work, self._follow_orders
        )
        self.gatekeeper_ = _gatekeeper.GateKeeper(
            self.client_,
            self.gate_,
            self._is_stalled,
            self.executor_.is_out,
            self._announce_load,
            self.executor_.slots_.pump,
            self.roles_.take_report,
        )
        self.spread_ = _spread.ConfigSpread(self.holder_, self.platform_)
        self.handlers_ = wire.HandlerTable()
        self.executor_.attach(self.handlers_)
        self.spread_.attach(self.handlers_)
        self._build_membership()
        self._build_group()
        self.handlers_.add(wire.StateRequest, self._on_state_request)

    def _build_membership(self):
        node_id = self.settings.node_id
        self.guard_ = _guard.ConfigGuard(self.holder_, self.spread_)
        self.guard_.attach(self.handlers_)
        self.orders_ = _orders.OrderDesk(
            self.settings.endpoint,
            node_id,
            members.FenceStore(self.platform_),
            roles=self.roles_,
        )
        self.orders_.attach(self.handlers_)
        self.reporter_ = _reports.Reporter(
            self.settings, self.holder_, self.connections_, self._hello
        )

    def _build_group(self):
        self.group_ = None
        if self.settings.group is not None:
            self.group_ = _group_member.RankGroup(
                self.settings, self._hello, self.holder_, self.incarnation_
            )

    def _is_stalled(self):
        return self.group_ is not None and self.group_.is_stalled

    async def start(self):
        """Listen for entries and begin to probe the endpoint."""
        self._secret = settings.load_secret(self.settings.secret_file)
        self.tls_ = settings.load_tls(self.settings.tls)
        await self.client_.open()
        self._server = await wire.listen(
            self._serve, str(self.settings.address), self.settings.port, self.tls_
        )
        self.port_ = self._server.sockets[0].getsockname()[1]
        self.holder_.add_listener(self._on_adopted)
        self._tasks.start(self.gatekeeper_.probe_forever(), "probe")
        self._tasks.start(self.gatekeeper_.watch_connection(), "watch-endpoint")
        self._tasks.start(self.spread_.learn(), "learn-config")
        self._tasks.start(self.reporter_.run(self.port_), "report")
        if self.group_ is not None:
            self._tasks.start(self.group_.run(), "group")
        _log.emit(base.Event.PROCESS_READY, role="agent", port=self.port_)

    async def stop(self):
        """Refuse new work, let what runs finish within the bound, and close."""
        _log.emit(base.Event.PROCESS_STOPPING, role="agent")
        self.executor_.stopping_ = True
        self.gate_.leave()
        await self._announce_load()
        await self.executor_.wait_idle(self.settings.drain_bound_s)
        self._server.close()
        for connection in list(self.connections_):
            await connection.close_gracefully("agent stops")
        await self._tasks.close()
        if self.group_ is not None:
            await self.group_.close()
        await self.guard_.close()
        await self.orders_.close()
        await self.roles_.close()
        await self.executor_.close()
        await self.client_.close()
        await self.platform_.close()
        _log.emit(base.Event.PROCESS_STOPPED, role="agent")

    def reload(self):
        """Read the certificate files again.

        :raises sequoiagap.base.ConfigError: if a file can't be used.
        """
        if self.tls_ is not None:
            self.tls_.load()

    def dump_state(self):
        """Return the state of the process as plain data.

        :rtype: dict
        """
        load = self.executor_.load()
        return {
            "node_id": self.settings.node_id,
            "role": "agent",
            "incarnation": self.incarnation_,
            "failure_domain": self.settings.failure_domain,
            "config_version": self.holder_.current_.number,
            "config_ready": self.holder_.ready_.is_set(),
            "local_out": sorted(self.holder_.local_by_domain),
            "fencing": self.orders_.fence_.highest_,
            "endpoint": {
                "state": load.state,
                "in_flight": load.in_flight,
                "limit": load.limit,
                "service_time_s": load.service_time_s,
                "gate": self.gate_.describe(),
            },
            "attempts": self.executor_.dump_state(),
            "connections": sorted(c.peer.node_id for c in self.connections_),
            "platform_calls": self.platform_.calls_,
            "group": self.group_.dump_state() if self.group_ else None,
            "metrics": self._collect_metrics(load),
        }

    def _collect_metrics(self, load):
        self.metrics_.set_gauge("endpoint_in_flight", load.in_flight)
        self.metrics_.set_gauge("endpoint_limit", load.limit)
        if self.group_ is not None:
            self.group_.set_gauges(self.metrics_)
        self.metrics_.set_gauge("connections", len(self.connections_))
        return base.collect_process_metrics(
            self.metrics_, self.holder_.current_.number, self.platform_.calls_
        )

    async def _serve(self, reader, writer):
        """Serve one connection until it ends."""
        try:
            connection = await wire.accept(reader, writer, self._hello())
        except base.WireError as error:
            _log.emit(base.Event.FRAME_REJECTED, error=error.message)
            return
        if connection.peer.role == "agent" and self.group_ is not None:
            await self.group_.serve(connection)
            return
        self.connections_.add(connection)
        _log.emit(base.Event.LINK_OPENED, peer=connection.peer.node_id)
        try:
            await self.executor_.greet(connection)
            await self.spread_.greet(connection)
            await self.reporter_.greet(connection)
            reason = await connection.run(
                lambda item: self.handlers_.handle(connection, item)
            )
            _log.emit(
                base.Event.LINK_CLOSED, peer=connection.peer.node_id, reason=reason
            )
        except base.WireError as error:
            connection.close()
            _log.emit(base.Event.LINK_CLOSED, reason=error.message)
        finally:
            self.connections_.discard(connection)
            self.executor_.forget_connection(connection)

    def _hello(self):
        return wire.Hello(
            node_id=self.settings.node_id,
            role="agent",
            incarnation=self.incarnation_,
            failure_domain=self.settings.failure_domain,
            config_version=self.holder_.current_.number,
            secret=self._secret,
            tls=self.tls_,
        )

    async def _has_order_at_work(self):
        return await self.orders_.is_at_work()

    async def _follow_orders(self):
        await self.gatekeeper_.follow_orders()

    def _on_adopted(self, version):
        self._tasks.start(self.gatekeeper_.follow_orders(), "follow-orders")

    async def _announce_load(self):
        for connection in list(self.connections_):
            await wire.try_send(connection, self.executor_.load())

    async def _on_state_request(self, connection, item):
        document = json.dumps(self.dump_state())
        await connection.send(wire.StateReply(item.sequence, document))


async def run(agent_settings):
    """Run an agent until it is told to stop.

    :param sequoiagap.settings.AgentSettings agent_settings: checked settings.
    """
    agent = Agent(agent_settings)
    node_id = agent_settings.node_id
    await base.run_program(agent, lambda: {"ready": node_id, "port": agent.port_})
