"""Assembly and lifecycle of the agent process."""

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
    _config_sync,
    _endpoint,
    _endpoint_monitor,
    _executor,
    _guard,
    _heartbeats,
    _orders,
    _rank_group,
    _roles,
)

_log = base.get_logger("agent")


class Agent:
    """Runs beside one endpoint and is the only process that sends requests to it.

    :param sequoiagap.settings.AgentSettings settings: validated settings.

    :ivar int port_: TCP port the agent listens on, once started.
    :ivar str incarnation_: id of this run of the process, new at every start.
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
        self.roles_ = _roles.RoleManager(
            self.gate_, self._has_running_order, self._update_gate
        )
        self.endpoint_monitor_ = _endpoint_monitor.EndpointMonitor(
            self.client_,
            self.gate_,
            self._is_group_stalled,
            self.executor_.is_drained,
            self._announce_load,
            self.executor_.slots_.grant_free_slots,
            self.roles_.record_report,
        )
        self.config_sync_ = _config_sync.ConfigSync(self.holder_, self.platform_)
        self.handlers_ = wire.HandlerTable()
        self.executor_.attach(self.handlers_)
        self.config_sync_.attach(self.handlers_)
        self._build_membership()
        self._build_group()
        self.handlers_.add(wire.StateRequest, self._on_state_request)

    def _build_membership(self):
        node_id = self.settings.node_id
        self.guard_ = _guard.ConfigGuard(self.holder_, self.config_sync_)
        self.guard_.attach(self.handlers_)
        self.orders_ = _orders.OrderForwarder(
            self.settings.endpoint,
            node_id,
            members.FenceStore(self.platform_),
            roles=self.roles_,
        )
        self.orders_.attach(self.handlers_)
        self.heartbeats_ = _heartbeats.HeartbeatSender(
            self.settings, self.holder_, self.connections_, self._make_hello
        )

    def _build_group(self):
        self.group_ = None
        if self.settings.group is not None:
            self.group_ = _rank_group.RankGroup(
                self.settings, self._make_hello, self.holder_, self.incarnation_
            )

    def _is_group_stalled(self):
        return self.group_ is not None and self.group_.is_stalled

    async def start(self):
        """Listen for connections of entries and start to probe the endpoint."""
        self._secret = settings.load_secret(self.settings.secret_file)
        self.tls_ = settings.load_tls(self.settings.tls)
        await self.client_.open()
        self._server = await wire.listen(
            self._serve, str(self.settings.address), self.settings.port, self.tls_
        )
        self.port_ = self._server.sockets[0].getsockname()[1]
        self.holder_.add_listener(self._on_config_adopted)
        self._tasks.start(self.endpoint_monitor_.probe_forever(), "probe")
        self._tasks.start(self.endpoint_monitor_.watch_connection(), "watch-endpoint")
        self._tasks.start(self.config_sync_.load_initial_version(), "learn-config")
        self._tasks.start(self.heartbeats_.run(self.port_), "report")
        if self.group_ is not None:
            self._tasks.start(self.group_.run(), "group")
        _log.emit(base.Event.PROCESS_READY, role="agent", port=self.port_)

    async def stop(self):
        """Refuse new attempts, wait for the running ones, and close.

        The wait is bounded by the setting ``drain_bound_s``.
        """
        _log.emit(base.Event.PROCESS_STOPPING, role="agent")
        self.executor_.stopping_ = True
        self.gate_.leave()
        await self._announce_load()
        await self.executor_.wait_idle(self.settings.drain_bound_s)
        self._server.close()
        for connection in list(self.connections_):
            await connection.close_gracefully("the agent is shutting down")
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
        """Reload the TLS certificate files.

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
        """Serve one connection until it closes."""
        try:
            connection = await wire.accept(reader, writer, self._make_hello())
        except base.WireError as error:
            _log.emit(base.Event.FRAME_REJECTED, error=error.message)
            return
        if connection.peer.role == "agent" and self.group_ is not None:
            await self.group_.serve(connection)
            return
        self.connections_.add(connection)
        _log.emit(base.Event.LINK_OPENED, peer=connection.peer.node_id)
        try:
            await self.executor_.send_clock_and_load(connection)
            await self.config_sync_.send_offer(connection)
            await self.heartbeats_.send_first_report(connection)
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

    def _make_hello(self):
        return wire.Hello(
            node_id=self.settings.node_id,
            role="agent",
            incarnation=self.incarnation_,
            failure_domain=self.settings.failure_domain,
            config_version=self.holder_.current_.number,
            secret=self._secret,
            tls=self.tls_,
        )

    async def _has_running_order(self):
        return await self.orders_.has_running_order()

    async def _update_gate(self):
        await self.endpoint_monitor_.update_gate()

    def _on_config_adopted(self, version):
        self._tasks.start(self.endpoint_monitor_.update_gate(), "follow-orders")

    async def _announce_load(self):
        for connection in list(self.connections_):
            await wire.try_send(connection, self.executor_.load())

    async def _on_state_request(self, connection, item):
        document = json.dumps(self.dump_state())
        await connection.send(wire.StateReply(item.sequence, document))


async def run(agent_settings):
    """Run an agent until the process is asked to stop.

    :param sequoiagap.settings.AgentSettings agent_settings: validated settings.
    """
    agent = Agent(agent_settings)
    node_id = agent_settings.node_id
    await base.run_program(agent, lambda: {"ready": node_id, "port": agent.port_})
