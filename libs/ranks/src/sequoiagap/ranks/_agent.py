"""The process beside a rank's engine: reports, orders and leading."""

import asyncio
import random
import time

from aiohttp import web

from sequoiagap import base, gateway, wire
from sequoiagap.ranks import (
    _access,
    _keeping,
    _leader,
    _links,
    _messages,
    _own_rank,
    _pacing,
    _reporter,
    _succession,
)

RECENT_REPORT_S = 0.06  # a leader that asks gets a report of this age at most
NODES_INTERVAL_S = 3.0
FIRST_NODES_S = 0.4
LONGEST_RETRY_S = 3.0
CONFIG_INTERVAL_S = 20.0
LEAD_CHECK_S = 0.1
UNLIKELY_CHECK_S = 0.5  # where several others would lead before
DEPUTY_CHECK_S = 0.03
STOP_BOUND_S = 3.0
MILLISECONDS = 1000
BYTES_PER_MBIT = 125_000

_log = base.get_logger("agent")


class RankAgent:
    """Agent beside a rank's engine.

    :param settings.RankSettings settings: checked settings.
    :param gateway.Store store: registers processes and names the engine's terms.
    :param RankEngine engine: calls of engines.

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
        self._terms = None
        self._longest_pause_s = 0.0
        self._succession = _succession.Succession(time.monotonic())
        self._keeping = _keeping.HoldKeeping(self.own)
        self._made_deputy = asyncio.Event()
        self._guarded_epoch = None
        self._leader = None
        self._leading = None
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
        """Listen and begin to report."""
        host, port = str(self.settings.address), self.settings.port
        self._server = await wire.listen(self._serve, host, port)
        await self._reporter.open(host)
        await self._listen_for_metrics()
        self._tasks.start(self._report_forever(), "report")
        self._tasks.start(self._find_nodes_forever(), "nodes")
        self._tasks.start(self._read_terms_forever(), "terms")
        self._tasks.start(self._lead_forever(), "lead")

    async def stop(self):
        """End a change under way, within a bound, and leave."""
        _log.emit(base.Event.PROCESS_STOPPING, leads=self._leader is not None)
        await self._finish_change()
        await self._tasks.close()
        self._server.close()
        self._reporter.close()
        if self._runner is not None:
            await self._runner.cleanup()
        _log.emit(base.Event.PROCESS_STOPPED)

    def reload(self):
        """Nothing is read again: the store is followed all the time."""

    def dump_state(self):
        """Return everything that the process knows, as plain data.

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
        """Let a change under way end, so that nobody has to settle it."""
        if self._leading is None:
            return
        if self._leader is not None:
            self._leader.stop()
        await asyncio.wait([self._leading], timeout=STOP_BOUND_S)

    async def _report_forever(self):
        while True:
            asked_at = time.monotonic()
            report = await self.engine.report(self.settings.endpoint)
            self._note_group(report)
            self.report_, self._reported_at = report, asked_at
            slots = self._terms.slots if self._terms else 1
            if report is not None:
                self._reporter.show(report, slots, time.monotonic())
            await asyncio.sleep(_reporter.reading_interval(report, slots))

    def _list_gateways(self):
        return [node for node in self._node_by_id.values() if node.role == "gateway"]

    def _note_group(self, report):
        before = self.report_
        if report is None:
            if before is not None:
                _log.emit(base.Event.RANK_UNREACHABLE, endpoint=self.settings.endpoint)
            return
        if self._guarded_epoch is None:
            self._guarded_epoch = report.epoch
            self._keeping.start(report)
        seen = None if before is None else (before.epoch, before.is_open)
        if seen != (report.epoch, report.is_open):
            _log.emit(
                base.Event.GROUP_SEEN,
                group=report.group,
                epoch=report.epoch,
                size=report.size,
                rank=report.rank,
                is_open=report.is_open,
            )

    async def _find_nodes_forever(self):
        registration = gateway.Registration(self._node(), self.store)
        discovery = base.Backoff(FIRST_NODES_S, NODES_INTERVAL_S, random.Random())
        backoff = base.Backoff(FIRST_NODES_S, LONGEST_RETRY_S, random.Random())
        while True:
            try:
                await registration.keep()
                node_by_id = await self.store.list_nodes()
                registration.check(node_by_id)
                # A list that is read late may lack some; those known stay known.
                self._node_by_id |= node_by_id
            except base.PlatformError:
                await asyncio.sleep(backoff.next_wait())
                continue
            backoff.reset()
            if len(self._node_by_id) < 2 or self._lacks_ranks():
                await asyncio.sleep(discovery.next_wait())
                continue
            discovery.reset()
            await asyncio.sleep(NODES_INTERVAL_S)

    def _lacks_ranks(self):
        """Return whether this agent may lead and does not know all others yet."""
        report = self.report_
        if report is None or self._is_unlikely():
            return False
        known = sum(node.role == "ranks" for node in self._node_by_id.values())
        return known < report.size

    async def _read_terms_forever(self):
        backoff = base.Backoff(FIRST_NODES_S, LONGEST_RETRY_S, random.Random())
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
                self._terms = service.engine
                self._longest_pause_s = table.min_target_gap_s(service.name)
            wait_s = CONFIG_INTERVAL_S if self._terms else FIRST_NODES_S
            await asyncio.sleep(wait_s)

    async def _lead_forever(self):
        while True:
            is_deputy = self._leader is None and self._succession.is_deputy
            interval_s = await self._wait_to_check(is_deputy)
            report = self.report_
            if report is None or not report.size or self._terms is None:
                continue
            if not self._terms.experts:
                continue
            is_likely = not self._is_unlikely()
            if self._leader is not None or is_deputy or is_likely:
                is_leading = self._leader is not None
                self._links.update(self._node_by_id.values(), is_leading)
            now = time.monotonic()
            should_lead = self._succession.should_lead(report.rank, now, interval_s)
            if self._keeping.is_left(self._succession.leader_, now):
                self._tasks.start(self._keeping.release(), "release")
            if self._leader is None and should_lead:
                self._lead(report)

    async def _wait_to_check(self, is_deputy):
        """Wait until the lead is to be looked at again, at once for a new deputy.

        :returns: how long the wait was to last, in seconds.
        :rtype: float
        """
        if is_deputy:
            await asyncio.sleep(DEPUTY_CHECK_S)
            return DEPUTY_CHECK_S
        interval_s = UNLIKELY_CHECK_S if self._is_unlikely() else LEAD_CHECK_S
        began = time.monotonic()
        self._made_deputy.clear()
        try:
            async with asyncio.timeout(interval_s):
                await self._made_deputy.wait()
        except TimeoutError:
            return interval_s
        return min(time.monotonic() - began, interval_s)

    def _is_unlikely(self):
        """Return whether several others would lead before this agent."""
        report = self.report_
        return report is not None and report.rank > _succession.DEPUTIES

    def _lead(self, report):
        link_bytes_s = self.settings.link_mbit_s * BYTES_PER_MBIT
        access = _access.GroupAccess(
            self.own,
            report.rank,
            self._links.address_by_rank,
            self._list_endpoints,
            self._links.by_rank,
            self._keeping.keeper,
            _pacing.MAP_SHARE * link_bytes_s,
        )
        left_by = self._succession.leader_ if self._succession.is_deputy else None
        self._leader = _leader.GroupLeader(
            access,
            report,
            self._terms,
            self.metrics,
            self._longest_pause_s,
            self._guarded_epoch,
            left_by=left_by,
            link_bytes_s=link_bytes_s,
        )
        _log.emit(
            base.Event.GROUP_LED,
            group=report.group,
            rank=report.rank,
            leads=True,
            left_by=left_by,
        )
        self._succession.end_change()
        self._links.update(self._node_by_id.values(), is_leading=True)
        self._leading = self._tasks.start(self._run_leader(), "leader")

    def _list_endpoints(self):
        """Return where the engines beside the registered agents listen."""
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
                self._succession.note_leader(*leader.senior_)
            if self._leader is leader:
                self._leader = None
            self._leading = None

    async def _serve(self, reader, writer):
        try:
            connection = await wire.accept(reader, writer, self._hello())
        except base.WireError:
            return

        async def handle(item):
            if isinstance(item, _messages.RankPoll):
                self._note_leader(item.leader)
                answer = self._answer_poll(item)
            elif isinstance(item, _messages.LeaderHeartbeat):
                self._note_leader(item.leader)
                return
            elif isinstance(item, _messages.MapNotice):
                self._note_leader(item.leader)
                is_known = self.own.take_map(item)
                answer = _at_once(_messages.KeeperAnswer(item.number, is_known))
            elif isinstance(item, _messages.RankOrderMessage):
                self._note_leader(item.leader)
                answer = self.own.answer_order(item)
            elif isinstance(item, _messages.KeeperQuestion):
                self._note_leader(item.leader)
                is_leading = self._leader is not None
                answer = _at_once(self._keeping.answer(item, is_leading))
            elif isinstance(item, _messages.ChangeNotice):
                self._note_leader(item.leader, item.deputy)
                answer = _at_once(_messages.KeeperAnswer(item.number, True))
            else:
                return
            self._tasks.start(_reply(connection, answer), "reply")

        await connection.run(handle)

    async def _answer_poll(self, poll):
        is_recent = time.monotonic() - self._reported_at < RECENT_REPORT_S
        report = self.report_ if poll.may_be_recent and is_recent else None
        state = await self.own.answer_poll(poll, report)
        leader, age_s = self._succession.heard(time.monotonic())
        if self._leader is not None:
            leader, age_s = self._leader.own_rank, 0.0
        if leader is not None:
            state.leader = leader
            state.leader_age_ms = round(age_s * MILLISECONDS)
        return state

    def _note_leader(self, leader, deputy=None):
        """Take a word of a leader, and leave the lead to a lower rank."""
        report = self.report_
        if report is None or leader == _messages.NOT_LEADING or leader == report.rank:
            return
        is_senior = leader < report.rank
        if is_senior or self._leader is None:
            self._succession.note_leader(leader, time.monotonic(), deputy)
            if self._succession.is_deputy:
                self._made_deputy.set()
        self._keeping.note_leader(leader, time.monotonic())
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
        # Loaded when it is first asked for, as most processes never are.
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


async def _at_once(answer):
    return answer


async def _reply(connection, answer):
    await wire.try_send(connection, await answer)


async def run(rank_settings, store, engine):
    """Run the agent until it is told to stop.

    :param settings.RankSettings rank_settings: checked settings.
    :param gateway.Store store: registers processes and names the engine's terms.
    :param RankEngine engine: calls of engines.
    """
    agent = RankAgent(rank_settings, store, engine)
    await base.run_program(agent, lambda: {"ready": rank_settings.node_id})
