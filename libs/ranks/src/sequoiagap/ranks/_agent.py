"""Process beside a rank's engine: load reports, orders and leadership of the group."""

import asyncio
import random
import time

from aiohttp import web

from sequoiagap import base, gateway, wire
from sequoiagap.ranks import (
    _access,
    _keeper_service,
    _leader,
    _links,
    _messages,
    _own_rank,
    _pacing,
    _reporter,
    _succession,
)

RECENT_REPORT_MAX_AGE_S = 0.06  # of a report sent in answer to a poll
DISCOVERY_INTERVAL_S = 3.0
FIRST_RETRY_S = 0.4
MAX_RETRY_S = 3.0
CONFIG_INTERVAL_S = 20.0
LEAD_CHECK_S = 0.1
LOW_PRIORITY_CHECK_S = 0.5  # if several other agents would take over first
DEPUTY_CHECK_S = 0.03
STOP_TIMEOUT_S = 3.0
MILLISECONDS = 1000
BYTES_PER_MBIT = 125_000

_log = base.get_logger("agent")


class RankAgent:
    """Agent beside a rank's engine.

    :param settings.RankSettings settings: validated settings.
    :param gateway.Store store: store for registration and the engine's profile.
    :param RankEngine engine: calls to engines.

    :ivar EngineReport report_: newest report of the engine, or ``None``.
    """

    def __init__(self, settings, store, engine):
        self.settings = settings
        self.store = store
        self.engine = engine
        self.metrics = base.Metrics()
        self.incarnation = base.new_id("run")
        self.report_ = None
        self._reported_at = 0.0
        self.own = _own_rank.OwnRank(engine, settings.endpoint)
        self._node_by_id = {}
        self._profile = None
        self._longest_pause_s = 0.0
        self._succession = _succession.Succession(time.monotonic())
        self._keeper_service = _keeper_service.KeeperService(self.own)
        self._became_deputy = asyncio.Event()
        self._guarded_epoch = None
        self._leader = None
        self._leader_task = None
        self._tasks = base.TaskSet()
        self._links = _links.RankLinks(
            self._tasks, settings.node_id, self._hello, lambda: self.report_
        )
        self._reporter = _reporter.LoadReporter(
            settings.endpoint, self.incarnation, self._list_gateways
        )
        self._server = None
        self._runner = None

    async def start(self):
        """Listen for connections and start reporting."""
        host, port = str(self.settings.address), self.settings.port
        self._server = await wire.listen(self._serve, host, port)
        await self._reporter.open(host)
        await self._listen_for_metrics()
        self._tasks.start(self._report_forever(), "report")
        self._tasks.start(self._discover_nodes_forever(), "nodes")
        self._tasks.start(self._read_profile_forever(), "terms")
        self._tasks.start(self._lead_forever(), "lead")

    async def stop(self):
        """End a change in progress, within a timeout, and shut down."""
        _log.emit(base.Event.PROCESS_STOPPING, leads=self._leader is not None)
        await self._finish_change()
        await self._tasks.close()
        self._server.close()
        self._reporter.close()
        if self._runner is not None:
            await self._runner.cleanup()
        _log.emit(base.Event.PROCESS_STOPPED)

    def reload(self):
        """Do nothing, as the agent reads the store continuously."""

    def dump_state(self):
        """Return the state of the process as plain data.

        :rtype: dict
        """
        leader = self._leader
        return {
            "report": None if self.report_ is None else vars(self.report_),
            "nodes": sorted(self._node_by_id),
            "leads": leader is not None,
            "changes": leader.changes_ if leader else 0,
            "copies": leader.copies_ if leader else 0,
        }

    async def _finish_change(self):
        """Let a change in progress end, so that no other agent has to settle it."""
        if self._leader_task is None:
            return
        if self._leader is not None:
            self._leader.stop()
        await asyncio.wait([self._leader_task], timeout=STOP_TIMEOUT_S)

    async def _report_forever(self):
        while True:
            requested_at = time.monotonic()
            report = await self.engine.report(self.settings.endpoint)
            self._record_report(report)
            self.report_, self._reported_at = report, requested_at
            slots = self._profile.slots if self._profile else 1
            if report is not None:
                self._reporter.publish(report, slots, time.monotonic())
            await asyncio.sleep(_reporter.reading_interval(report, slots))

    def _list_gateways(self):
        return [node for node in self._node_by_id.values() if node.role == "gateway"]

    def _record_report(self, report):
        previous = self.report_
        if report is None:
            if previous is not None:
                _log.emit(base.Event.RANK_UNREACHABLE, endpoint=self.settings.endpoint)
            return
        if self._guarded_epoch is None:
            self._guarded_epoch = report.epoch
            self._keeper_service.start(report)
        previous_state = (
            None if previous is None else (previous.epoch, previous.is_open)
        )
        if previous_state != (report.epoch, report.is_open):
            _log.emit(
                base.Event.GROUP_SEEN,
                group=report.group,
                epoch=report.epoch,
                size=report.size,
                rank=report.rank,
                is_open=report.is_open,
            )

    async def _discover_nodes_forever(self):
        registration = gateway.Registration(self._node(), self.store)
        discovery = base.Backoff(FIRST_RETRY_S, DISCOVERY_INTERVAL_S, random.Random())
        backoff = base.Backoff(FIRST_RETRY_S, MAX_RETRY_S, random.Random())
        while True:
            try:
                await registration.write_if_missing()
                node_by_id = await self.store.list_nodes()
                registration.check(node_by_id)
                # A stale list may lack some nodes, so known nodes are kept.
                self._node_by_id |= node_by_id
            except base.PlatformError:
                await asyncio.sleep(backoff.next_wait())
                continue
            backoff.reset()
            if len(self._node_by_id) < 2 or self._has_unknown_ranks():
                await asyncio.sleep(discovery.next_wait())
                continue
            discovery.reset()
            await asyncio.sleep(DISCOVERY_INTERVAL_S)

    def _has_unknown_ranks(self):
        """Return whether this agent may lead and does not know all other agents yet."""
        report = self.report_
        if report is None or self._is_low_priority():
            return False
        known_ranks = sum(node.role == "ranks" for node in self._node_by_id.values())
        return known_ranks < report.size

    async def _read_profile_forever(self):
        backoff = base.Backoff(FIRST_RETRY_S, MAX_RETRY_S, random.Random())
        while True:
            try:
                reading = await self.store.read("config", may_be_old=True)
                snapshot = self.store.decode("config", reading.content)
            except (base.PlatformError, ValueError):
                await asyncio.sleep(backoff.next_wait())
                continue
            backoff.reset()
            table = snapshot.value
            service = table and table.service_by_name.get(self.settings.service)
            if service is not None and service.engine is not None:
                self._profile = service.engine
                self._longest_pause_s = table.min_target_gap_s(service.name)
            wait_s = CONFIG_INTERVAL_S if self._profile else FIRST_RETRY_S
            await asyncio.sleep(wait_s)

    async def _lead_forever(self):
        while True:
            is_deputy = self._leader is None and self._succession.is_deputy
            interval_s = await self._wait_to_check(is_deputy)
            report = self.report_
            if report is None or not report.size or self._profile is None:
                continue
            if not self._profile.experts:
                continue
            is_high_priority = not self._is_low_priority()
            if self._leader is not None or is_deputy or is_high_priority:
                is_leading = self._leader is not None
                self._links.update(self._node_by_id.values(), is_leading)
            now = time.monotonic()
            should_lead = self._succession.should_lead(report.rank, now, interval_s)
            if self._keeper_service.has_abandoned_hold(self._succession.leader_, now):
                self._tasks.start(self._keeper_service.release(), "release")
            if self._leader is None and should_lead:
                self._start_leading(report)

    async def _wait_to_check(self, is_deputy):
        """Wait until leadership is to be checked again, at once for a new deputy.

        :returns: intended duration of the wait, in seconds.
        :rtype: float
        """
        if is_deputy:
            await asyncio.sleep(DEPUTY_CHECK_S)
            return DEPUTY_CHECK_S
        interval_s = LOW_PRIORITY_CHECK_S if self._is_low_priority() else LEAD_CHECK_S
        began = time.monotonic()
        self._became_deputy.clear()
        try:
            async with asyncio.timeout(interval_s):
                await self._became_deputy.wait()
        except TimeoutError:
            return interval_s
        return min(time.monotonic() - began, interval_s)

    def _is_low_priority(self):
        """Return whether several other agents would take over before this one."""
        report = self.report_
        return report is not None and report.rank > _succession.MAX_DEPUTIES

    def _start_leading(self, report):
        link_bytes_s = self.settings.link_mbit_s * BYTES_PER_MBIT
        access = _access.GroupAccess(
            self.own,
            report.rank,
            self._links.address_by_rank,
            self._list_endpoints,
            self._links.by_rank,
            self._keeper_service.keeper,
            _pacing.MAP_SHARE * link_bytes_s,
        )
        failed_leader = self._succession.leader_ if self._succession.is_deputy else None
        self._leader = _leader.GroupLeader(
            access,
            report,
            self._profile,
            self.metrics,
            self._longest_pause_s,
            self._guarded_epoch,
            failed_leader=failed_leader,
            link_bytes_s=link_bytes_s,
        )
        _log.emit(
            base.Event.GROUP_LED,
            group=report.group,
            rank=report.rank,
            leads=True,
            left_by=failed_leader,
        )
        self._succession.end_change()
        self._links.update(self._node_by_id.values(), is_leading=True)
        self._leader_task = self._tasks.start(self._run_leader(), "leader")

    def _list_endpoints(self):
        """Return the addresses of the engines beside the other registered agents."""
        own = self.settings.endpoint
        nodes = self._node_by_id.values()
        return [n.endpoint for n in nodes if n.endpoint and n.endpoint != own]

    async def _run_leader(self):
        leader = self._leader
        try:
            await leader.run()
        finally:
            _log.emit(
                base.Event.GROUP_LED,
                group=leader.group,
                rank=leader.own_rank,
                leads=False,
            )
            self._guarded_epoch = max(self._guarded_epoch, leader.epoch_)
            if leader.senior_ is not None:
                self._succession.record_leader(*leader.senior_)
            if self._leader is leader:
                self._leader = None
            self._leader_task = None

    async def _serve(self, reader, writer):
        try:
            connection = await wire.accept(reader, writer, self._hello())
        except base.WireError:
            return

        async def handle(message):
            if isinstance(message, _messages.RankPoll):
                self._record_leader(message.leader)
                response = self._answer_poll(message)
            elif isinstance(message, _messages.LeaderHeartbeat):
                self._record_leader(message.leader)
                return
            elif isinstance(message, _messages.MapNotice):
                self._record_leader(message.leader)
                is_known = self.own.receive_map(message)
                response = _resolved(_messages.KeeperAnswer(message.number, is_known))
            elif isinstance(message, _messages.RankOrderMessage):
                self._record_leader(message.leader)
                response = self.own.answer_order(message)
            elif isinstance(message, _messages.KeeperRequest):
                self._record_leader(message.leader)
                is_leading = self._leader is not None
                response = _resolved(self._keeper_service.answer(message, is_leading))
            elif isinstance(message, _messages.ChangeNotice):
                self._record_leader(message.leader, message.deputy)
                response = _resolved(_messages.KeeperAnswer(message.number, True))
            else:
                return
            self._tasks.start(_reply(connection, response), "reply")

        await connection.run(handle)

    async def _answer_poll(self, poll):
        is_recent = time.monotonic() - self._reported_at < RECENT_REPORT_MAX_AGE_S
        report = self.report_ if poll.may_be_recent and is_recent else None
        state = await self.own.answer_poll(poll, report)
        leader, age_s = self._succession.last_heard(time.monotonic())
        if self._leader is not None:
            leader, age_s = self._leader.own_rank, 0.0
        if leader is not None:
            state.leader = leader
            state.leader_age_ms = round(age_s * MILLISECONDS)
        return state

    def _record_leader(self, leader, deputy=None):
        """Record a message from a leader, and stop leading if its rank is lower."""
        report = self.report_
        if report is None or leader == _messages.NOT_LEADING or leader == report.rank:
            return
        is_senior = leader < report.rank
        if is_senior or self._leader is None:
            self._succession.record_leader(leader, time.monotonic(), deputy)
            if self._succession.is_deputy:
                self._became_deputy.set()
        self._keeper_service.record_leader(leader, time.monotonic())
        if is_senior and self._leader is not None:
            self._leader.stop()

    async def _listen_for_metrics(self):
        if not self.settings.metrics_port:
            return
        server = web.Server(self._metrics, access_log=None)
        self._runner = web.ServerRunner(server, handle_signals=False)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, str(self.settings.address), self.settings.metrics_port
        )
        await site.start()

    async def _metrics(self, http_request):
        # Imported on the first request, as most processes are never scraped.
        from sequoiagap.base import exposition

        document = base.collect_process_metrics(self.metrics, 0, 0)
        text = exposition.render(document, self.settings.node_id)
        return web.Response(text=text)

    def _node(self):
        return gateway.Node(
            node_id=self.settings.node_id,
            role="ranks",
            address=str(self.settings.address),
            port=self.settings.port,
            failure_domain=self.settings.failure_domain,
            endpoint=self.settings.endpoint,
        )

    def _hello(self):
        return wire.Hello(
            node_id=self.settings.node_id,
            role="agent",
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            secret=self.settings.deployment,
        )


async def _resolved(response):
    return response


async def _reply(connection, response):
    await wire.try_send(connection, await response)


async def run(rank_settings, store, engine):
    """Run the agent until it is stopped.

    :param settings.RankSettings rank_settings: validated settings.
    :param gateway.Store store: store for registration and the engine's profile.
    :param RankEngine engine: calls to engines.
    """
    agent = RankAgent(rank_settings, store, engine)
    await base.run_program(agent, lambda: {"ready": rank_settings.node_id})
