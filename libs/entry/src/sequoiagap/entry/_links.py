"""Links to the selected agents, and to further ones on demand."""

import asyncio
import time

from sequoiagap import base, members, routing
from sequoiagap.entry import _link, _link_selection, _on_demand_links

UPDATE_INTERVAL_S = 0.25
IDLE_TIMEOUT_S = 5.0
ON_DEMAND_SHARE = 0.1

_log = base.get_logger("links")


class AgentLinks:
    """Opens and closes the links to agents.

    Agents are known from the platform's list, from other entries and from their own
    announcements; only ``max_links`` of them are linked. A link that is down keeps
    trying to connect while another one replaces it.

    :param make_hello: function that returns this entry's hello message.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param sequoiagap.config.ConfigChannel channel: replicates the configuration.
    :param ReportMonitor reports: handles the agents' reports.
    :param LinkChooser chooser: chooses the agents to link.
    :param find_entries: function that returns the failure domain of each known
        entry by its id.

    :ivar dict by_id: link by endpoint id.
    :ivar sequoiagap.members.Directory directory_: the known agents.
    :ivar LinkSelection selection_: selects the agents to link.
    :ivar OnDemandLinks on_demand_: opens further links when requests need them.
    """

    def __init__(self, make_hello, holder, channel, reports, chooser, find_entries):
        self.make_hello = make_hello
        self.holder = holder
        self.channel = channel
        self.reports = reports
        self.by_id = {}
        self.directory_ = members.Directory()
        self.selection_ = _link_selection.LinkSelection(
            chooser, self.directory_, holder, find_entries
        )
        max_on_demand = max(int(chooser.max_links * ON_DEMAND_SHARE), 1)
        self.on_demand_ = _on_demand_links.OnDemandLinks(
            self, self.selection_, max_on_demand
        )
        self._task_by_id = {}

    def apply_list(self, hosts):
        """Update the known agents from the platform's list.

        :param list[sequoiagap.platform.HostEntry] hosts: the listed agents.
        """
        now = time.monotonic()
        self._reset_links(self.directory_.apply_list(hosts, now))
        self.drop_gone()
        self.update_links(now)

    def propose(self, hosts):
        """Add agents that were reported by other entries or by themselves.

        :param list[sequoiagap.platform.HostEntry] hosts: the agents.
        """
        now = time.monotonic()
        self._reset_links(self.directory_.add_reported(hosts, now))
        self.update_links(now)

    def drop_gone(self):
        """Close the links of agents that are neither listed nor alive."""
        for endpoint_id in self.directory_.remove_stale(time.monotonic()):
            self.selection_.mark_agents_changed()
            self.close_link(endpoint_id)
            _log.emit(base.Event.ENDPOINT_GONE, endpoint=endpoint_id)

    async def run(self):
        """Update the links periodically until cancelled."""
        while True:
            await self.selection_.fit_chooser()
            self.update_links(time.monotonic())
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def update_links(self, now):
        """Open the links to selected agents, and close other idle ones.

        :param float now: monotonic time in seconds.
        """
        self.selection_.update(self.by_id, now)
        for endpoint_id in self.selection_.chosen_ | self.selection_.reconnecting_:
            if endpoint_id not in self.by_id and endpoint_id in self.directory_.by_id:
                self.open(endpoint_id)
        self._close_idle(now)

    def on_demand_ids(self):
        """Return ids of agents linked on demand only, least recently used first.

        :rtype: list[str]
        """
        on_demand_ids = [i for i in self.by_id if not self.is_selected(i)]
        return sorted(on_demand_ids, key=lambda i: self.by_id[i].used_at_)

    async def ensure_reachable(self, target, tried=(), endpoint_id=""):
        """Open further links if no linked endpoint can serve a request.

        See :meth:`OnDemandLinks.ensure_reachable`.
        """
        await self.on_demand_.ensure_reachable(target, tried, endpoint_id)

    def candidates(self, target, tried=(), endpoint_id=""):
        """Return the endpoints that can receive an attempt for a target.

        Endpoints that are linked on demand are returned only if no untried endpoint
        among the selected ones is left.

        :param str target: name of a model or service.
        :param tried: ids of the endpoints that received an attempt.
        :type tried: collections.abc.Container[str]
        :param str endpoint_id: the only acceptable endpoint; any by default.
        :rtype: list[sequoiagap.routing.EndpointView]
        """
        now = time.monotonic()
        views = []
        for link in self.by_id.values():
            view = link.view
            is_acceptable = endpoint_id in ("", view.endpoint_id)
            if target in view.serves and is_acceptable and self.is_usable(link, now):
                view.unanswered_s = link.unanswered_s(now)
                views.append(view)
        able = routing.filter_by_role(views)
        chosen = [view for view in able if self.is_selected(view.endpoint_id)]
        has_untried = any(view.endpoint_id not in tried for view in chosen)
        return chosen if has_untried else able

    def suspect(self, node_id, incarnation):
        """Send an agent no new requests until it answers a probe.

        :param str node_id: id of the agent.
        :param str incarnation: incarnation of the agent that went silent.
        :returns: whether the agent was in use here.
        :rtype: bool
        """
        link = self.by_id.get(node_id)
        if link is None or link.member.incarnation != incarnation:
            return False
        now = time.monotonic()
        if not link.member.alive or link.is_suspect(now):
            return False
        link.suspect(now)
        _log.emit(base.Event.ENDPOINT_SUSPECT, endpoint=node_id)
        return True

    def suspect_domain(self, failure_domain):
        """Send the agents of a failure domain no new requests until they answer.

        An entry there went silent, so the whole failure domain may be cut off. If it
        is not, the answer to one heartbeat ends the suspicion.

        :param str failure_domain: failure domain of the silent entry.
        """
        for link in self.by_id.values():
            if link.view.failure_domain == failure_domain:
                link.suspect(time.monotonic())

    async def close(self):
        """Close every link."""
        for task in self._task_by_id.values():
            await base.cancel_and_wait(task)

    async def broadcast(self, item, failure_domain=None):
        """Send a message to every linked agent, or to those of one failure domain.

        :param item: the message.
        :param str failure_domain: failure domain of the receivers; all by default.
        """
        links = [
            link
            for link in self.by_id.values()
            if failure_domain in (None, link.view.failure_domain)
        ]
        await asyncio.gather(*(link.send(item) for link in links))

    def working_hosts(self):
        """Return the agents that are considered alive and are not leaving.

        Agents without a link count as alive if the platform lists them.

        :rtype: list[sequoiagap.platform.HostEntry]
        """
        return [
            member.host
            for endpoint_id, member in self.directory_.by_id.items()
            if not member.leaving
            and (member.alive if endpoint_id in self.by_id else member.listed)
        ]

    def is_usable(self, link, now):
        """Return whether a link's endpoint can receive an attempt.

        :param AgentLink link: the link.
        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        view = link.view
        if self.holder.blocking_setting(view.failure_domain, view.endpoint_id):
            return False
        if link.member.leaving or link.is_suspect(now) or not view.connected:
            return False
        return view.limit > 0

    def open(self, endpoint_id):
        """Open a link to a known agent.

        :param str endpoint_id: id of the agent.
        :returns: the link.
        :rtype: AgentLink
        """
        member = self.directory_.by_id[endpoint_id]
        view = routing.EndpointView(
            endpoint_id, member.host.failure_domain, frozenset(member.host.serves)
        )
        link = _link.AgentLink(
            member, view, self.make_hello, self.channel, self.reports
        )
        self.by_id[endpoint_id] = link
        self._task_by_id[endpoint_id] = asyncio.create_task(
            link.run(), name=f"link-{endpoint_id}"
        )
        return link

    def close_link(self, endpoint_id):
        """Close the link to an agent, if there is one.

        :param str endpoint_id: id of the agent.
        """
        if self.by_id.pop(endpoint_id, None) is not None:
            self._task_by_id.pop(endpoint_id).cancel()

    def is_selected(self, endpoint_id):
        """Return whether an agent is linked regardless of demand.

        :param str endpoint_id: id of the agent.
        :rtype: bool
        """
        selection = self.selection_
        return (
            endpoint_id in selection.chosen_ or endpoint_id in selection.reconnecting_
        )

    def _close_idle(self, now):
        """Close links on demand that are idle for long, or idle and too many."""
        on_demand_ids = self.on_demand_ids()
        surplus = len(on_demand_ids) - self.on_demand_.max_on_demand
        for endpoint_id in on_demand_ids:
            link = self.by_id[endpoint_id]
            if link.is_idle and (surplus > 0 or now - link.used_at_ > IDLE_TIMEOUT_S):
                self.close_link(endpoint_id)
                surplus -= 1

    def _reset_links(self, fresh):
        """Drop the links of agents that are new or have moved, to reopen them."""
        for member in fresh:
            endpoint_id = member.host.host_id
            self.close_link(endpoint_id)
            self.selection_.stop_avoiding(endpoint_id)
            self.selection_.mark_agents_changed()
            _log.emit(base.Event.ENDPOINT_SEEN, endpoint=endpoint_id)
