"""Construction, start and shutdown of the entry process."""

import asyncio
import random
import time

from aiohttp import web

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
from sequoiagap.entry import (
    _admission,
    _auth,
    _callers,
    _chooser,
    _config_api,
    _config_watch,
    _dispatch,
    _errors,
    _facts,
    _host_list,
    _links,
    _operators,
    _orders,
    _peers,
    _report_monitor,
    _state,
)

_log = base.get_logger("entry")


class Entry:
    """Serves callers' HTTP requests and keeps links to agents and other entries.

    :param sequoiagap.settings.EntrySettings settings: validated settings.
    :param random.Random random_state: source of randomness; a new one by default.

    :ivar int http_port_: HTTP port in use, 0 before the start.
    :ivar str incarnation_: unique id of this process run.
    """

    def __init__(self, settings, random_state=None):
        self.settings = settings
        self.random_state = random_state or random.Random()
        self.incarnation_ = base.new_id("inc")
        self.http_port_ = 0
        self.metrics_ = base.Metrics()
        self.holder_ = config.ConfigHolder()
        self.journal_ = outcome.Journal()
        self.keys_ = _auth.KeyRing()
        self.stopping_ = False
        self._tasks = base.TaskSet()
        self._runner = None
        self._secret = ""
        self.tls_ = None
        self.http_tls_ = None
        self.platform_ = platform.PlatformClient(
            settings.platform.url, settings.platform.timeout_s
        )
        self._build_replication()

    def _build_replication(self):
        self.watch_schedule_ = config.WatchSchedule(time.monotonic())
        replica = config.ConfigReplica(self.holder_)
        channel = config.ConfigChannel(replica, self._record_config_age)
        self.reports_ = _report_monitor.ReportMonitor(
            replica, self._suspect, self._suspect_domain
        )
        self.links_ = _links.AgentLinks(
            self._make_hello,
            self.holder_,
            channel,
            self.reports_,
            _chooser.LinkChooser(
                self.settings.node_id,
                self.settings.failure_domain,
                self.settings.max_links,
            ),
            lambda: self.mesh_.domain_by_id(),
        )
        self.mesh_ = _peers.PeerMesh(
            self.settings, self._make_hello, channel, self.links_
        )
        self.mesh_.handlers_.add(members.MemberSuspect, self._on_suspect)
        self.mesh_.handlers_.add(members.DomainSuspect, self._on_suspect_domain)
        self.mesh_.on_silence = self._report_domain_silence
        self.facts_ = _facts.FactCollector(self.links_, self.mesh_)
        self.watch_ = _config_watch.ConfigWatch(
            self.platform_,
            self.holder_,
            replica,
            self.watch_schedule_,
            lambda: _config_watch.find_rank(self.settings, self.mesh_),
        )
        self.replica_ = replica
        self.host_list_ = _host_list.make_host_list(
            self.platform_,
            self.links_,
            self.mesh_,
            lambda: _config_watch.find_rank(self.settings, self.mesh_),
        )

    async def start(self):
        """Start the background tasks and listen for peers and callers.

        :raises sequoiagap.base.ConfigError: if a file of secrets can't be used.
        """
        self._secret = settings.load_secret(self.settings.secret_file)
        self.tls_ = settings.load_tls(self.settings.tls)
        self.http_tls_ = settings.load_tls(self.settings.http_tls)
        self.keys_.replace(*settings.load_keys(self.settings.keys_file))
        self.holder_.add_listener(self._on_adopted)
        self.holder_.add_local_listener(self._on_local_order)
        await self.mesh_.start()
        self._tasks.start(self.watch_.run(), "watch-config")
        self._tasks.start(self.host_list_.run(), "follow-list")
        self._tasks.start(self.links_.run(), "follow-links")
        self._tasks.start(self.mesh_.run(self._make_offer), "peers")
        self._tasks.start(self.reports_.run(self.mesh_.broadcast), "reports")
        await self._listen(self._make_app())
        self._tasks.start(self.admission_.exchange_.run(), "exchange-usage")
        self._tasks.start(self.admission_.forget_idle_accounts(), "forget-idle")
        self._tasks.start(self.callers_.keep_streams_alive(), "keep-streams-alive")
        _log.emit(base.Event.PROCESS_READY, role="entry", http_port=self.http_port_)

    async def stop(self):
        """Report not ready, drain running requests and close all connections.

        Requests that run for longer than ``drain_bound_s`` are aborted.
        """
        _log.emit(base.Event.PROCESS_STOPPING, role="entry")
        self.stopping_ = True
        await asyncio.sleep(self.settings.drain_lag_s)
        await self._site.stop()
        await self.callers_.drain(self.settings.drain_bound_s)
        await self._runner.cleanup()
        await self._tasks.close()
        await self.admission_.close()
        await self.mesh_.close()
        await self.links_.close()
        await self.platform_.close()
        _log.emit(base.Event.PROCESS_STOPPED, role="entry")

    def reload(self):
        """Reload keys and certificates from their files.

        :raises sequoiagap.base.ConfigError: if a file can't be used.
        """
        self.keys_.replace(*settings.load_keys(self.settings.keys_file))
        for tls in (self.tls_, self.http_tls_):
            if tls is not None:
                tls.load()

    def is_ready(self):
        """Return whether the process accepts new requests.

        :rtype: bool
        """
        return self.holder_.ready_.is_set() and not self.stopping_

    def dump_state(self):
        """Return the state of the process as plain data.

        :rtype: dict
        """
        return _state.dump(self)

    def collect_metrics(self):
        """Return all metrics, with gauges set to their current values.

        :rtype: dict
        """
        return _state.collect_metrics(self)

    def _make_app(self):
        budget = admission.RetryBudget()
        dispatcher = _dispatch.Dispatcher(
            self.links_,
            self.holder_,
            budget,
            self.journal_,
            self.random_state,
            self.settings.failure_domain,
        )
        self.admission_ = _admission.EntryAdmission(
            self.settings,
            self.incarnation_,
            _facts.CountedDispatcher(dispatcher, self.facts_),
            self.holder_,
            self.metrics_,
            self.random_state,
            self.mesh_,
        )
        self.callers_ = _callers.CallersApi(
            self.settings,
            self.admission_,
            self.holder_,
            self.keys_,
            self.journal_,
            self.metrics_,
        )
        store = config.ConfigStore(self.platform_, [_config_api.check_policy])
        issuer = _orders.OrderIssuer(members.FenceStore(self.platform_), self.links_)
        config_api = _config_api.ConfigApi(store, self.holder_, self.facts_, issuer)
        operators = _operators.OperatorsApi(self, config_api, self.holder_, self.keys_)
        app = web.Application(
            client_max_size=self.settings.max_body_bytes,
            middlewares=[_errors.handle_errors],
        )
        app.on_response_prepare.append(_errors.mark_started)
        self.callers_.add_routes(app.router)
        operators.add_routes(app.router)
        return app

    async def _listen(self, app):
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=1.0,
            keepalive_timeout=self.settings.header_timeout_s,
        )
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner,
            str(self.settings.address),
            self.settings.http_port,
            ssl_context=self.http_tls_.server_ if self.http_tls_ else None,
        )
        await self._site.start()
        self.http_port_ = self._runner.addresses[0][1]

    def _make_hello(self):
        return wire.Hello(
            node_id=self.settings.node_id,
            role="entry",
            incarnation=self.incarnation_,
            failure_domain=self.settings.failure_domain,
            config_version=self.holder_.current_.number,
            secret=self._secret,
            tls=self.tls_,
        )

    def _make_offer(self):
        return self.replica_.offer(self.watch_schedule_.age_ms(time.monotonic()))

    def _record_config_age(self, age_s):
        self.watch_schedule_.record_peer_age(age_s, time.monotonic())

    def _on_adopted(self, version):
        self._tasks.start(self.mesh_.broadcast(self._make_offer()), "offer-to-peers")
        self._tasks.start(
            self.links_.broadcast(self.replica_.offer()), "offer-to-agents"
        )

    def _on_local_order(self, order):
        item = config.local_message(order)
        domain = self.settings.failure_domain
        self._tasks.start(self.mesh_.broadcast(item, True), "local-to-peers")
        self._tasks.start(self.links_.broadcast(item, domain), "local-to-agents")

    def _suspect(self, node_id, incarnation):
        return self.links_.suspect(node_id, incarnation)

    def _suspect_domain(self, failure_domain):
        self.links_.suspect_domain(failure_domain)

    async def _on_suspect(self, connection, item):
        await self.reports_.suspect(item, self.mesh_.broadcast)

    async def _on_suspect_domain(self, connection, item):
        """Apply a suspicion of a failure domain that was reported by an entry.

        Reports from other failure domains are ignored, as a network partition looks
        different from there.
        """
        if connection.peer.failure_domain == self.settings.failure_domain:
            await self._report_domain_silence(item)

    async def _report_domain_silence(self, item):
        async def broadcast_in_domain(message):
            await self.mesh_.broadcast(message, within_domain=True)

        await self.reports_.suspect_domain(item, broadcast_in_domain)


async def run(entry_settings):
    """Run an entry process until it receives a stop signal.

    :param sequoiagap.settings.EntrySettings entry_settings: validated settings.
    """
    entry = Entry(entry_settings)
    node_id = entry_settings.node_id
    await base.run_program(
        entry,
        lambda: {
            "ready": node_id,
            "http_port": entry.http_port_,
            "port": entry.mesh_.port_,
        },
    )
