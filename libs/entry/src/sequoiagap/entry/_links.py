"""Links to the agents that this entry has chosen, and to some on demand."""

import asyncio
import time

from sequoiagap import base, members, routing
from sequoiagap.entry import _demand, _link, _selection

FOLLOW_INTERVAL_S = 0.25
IDLE_S = 5.0
DEMAND_SHARE = 0.1

_log = base.get_logger("links")


class AgentLinks:
    """Links by endpoint id.

    All agents are known from the list, from other entries and by their word; only
    ``max_links`` of them are linked. A link that is down keeps trying to connect
    while another one takes its place.

    :param make_hello: function that returns this entry's hello.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param sequoiagap.config.ConfigChannel channel: spreads the configuration.
    :param reports: object that attaches the handler of agents' reports.
    :param LinkChooser chooser: chooses the agents to link.
    :param find_entries: function that returns the failure domain of each known
        entry by its id.

    :ivar dict by_id: link by endpoint id.
    :ivar sequoiagap.members.Directory directory_: agents as listed and seen.
    :ivar LinkSelection selection_: which agents are to be linked.
    :ivar LinkDemand demand_: opens further links when requests need them.
    """

    def __init__(self, make_hello, holder, channel, reports, chooser, find_entries):
        self.make_hello = make_hello
        self.holder = holder
        self.channel = channel
        self.reports = reports
        self.by_id = {}
        self.directory_ = members.Directory()
        self.selection_ = _selection.LinkSelection(
            chooser, self.directory_, holder, find_entries
        )
        max_extra = max(int(chooser.max_links * DEMAND_SHARE), 1)
        self.demand_ = _demand.LinkDemand(self, self.selection_, max_extra)
        self._task_by_id = {}

    def apply_list(self, hosts):
        """Take the agents of the platform's list.

        :param list[sequoiagap.platform.HostEntry] hosts: agents listed.
        """
        now = time.monotonic()
        self._renew(self.directory_.apply_list(hosts, now))
        self.drop_gone()
        self.follow(now)

    def propose(self, hosts):
        """Take agents that other processes know.

        :param list[sequoiagap.platform.HostEntry] hosts: the agents.
        """
        now = time.monotonic()
        self._renew(self.directory_.add_reported(hosts, now))
        self.follow(now)

    def drop_gone(self):
        """Close the links of agents that are neither listed nor alive."""
        for endpoint_id in self.directory_.remove_stale(time.monotonic()):
            self.selection_.note_agents_changed()
            self.close_link(endpoint_id)
            _log.emit(base.Event.ENDPOINT_GONE, endpoint=endpoint_id)

    async def run(self):
        """Follow the agents and their failures until cancelled."""
        while True:
            await self.selection_.learn()
            self.follow(time.monotonic())
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    def follow(self, now):
        """Open the links that are chosen now, and close idle ones that are not.

        :param float now: monotonic time in seconds.
        """
        self.selection_.update(self.by_id, now)
        for endpoint_id in self.selection_.chosen_ | self.selection_.awaited_:
            if endpoint_id not in self.by_id and endpoint_id in self.directory_.by_id:
                self.open(endpoint_id)
        self._close_idle(now)

    def extras(self):
        """Return the agents that are linked without being chosen, oldest use first.

        :rtype: list[str]
        """
        extras = [i for i in self.by_id if not self.is_wanted(i)]
        return sorted(extras, key=lambda i: self.by_id[i].used_at_)

    async def reach(self, target, tried=(), endpoint_id=""):
        """Open further links if no endpoint for a request is linked.

        See :meth:`LinkDemand.reach`.
        """
        await self.demand_.reach(target, tried, endpoint_id)

    def candidates(self, target, tried=(), endpoint_id=""):
        """Return the endpoints that may take an attempt for a target.

        Those that were chosen go first; others are used where none of them can.

        :param str target: name of a model or service.
        :param tried: endpoints that have been asked already.
        :type tried: collections.abc.Container[str]
        :param str endpoint_id: the only endpoint that will do; any by default.
        :rtype: list[sequoiagap.routing.EndpointView]
        """
        now = time.monotonic()
        views = []
        for link in self.by_id.values():
            view = link.view
            is_asked_for = endpoint_id in ("", view.endpoint_id)
            if target in view.serves and is_asked_for and self.is_usable(link, now):
                view.unanswered_s = link.unanswered_s(now)
                views.append(view)
        able = routing.filter_by_role(views)
        chosen = [view for view in able if self.is_wanted(view.endpoint_id)]
        is_chosen_left = any(view.endpoint_id not in tried for view in chosen)
        return chosen if is_chosen_left else able

    def suspect(self, node_id, incarnation):
        """Give an agent no new work until it gives a sign of life.

        :param str node_id: the agent.
        :param str incarnation: the incarnation that went silent.
        :returns: whether it was in use here.
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
        """Give a failure domain no new work until its agents give signs of life.

        An entry there went silent, so the whole failure domain may be cut off;
        where it is not, the answer to one heartbeat ends the suspicion.

        :param str failure_domain: where the silent entry stands.
        """
        for link in self.by_id.values():
            if link.view.failure_domain == failure_domain:
                link.suspect(time.monotonic())

    async def close(self):
        """Close every link."""
        for task in self._task_by_id.values():
            await base.cancel_and_wait(task)

    async def tell(self, item, failure_domain=None):
        """Send a message to every linked agent, or to those of one failure domain.

        :param item: the message.
        :param str failure_domain: whom to tell; all by default.
        """
        links = [
            link
            for link in self.by_id.values()
            if failure_domain in (None, link.view.failure_domain)
        ]
        await asyncio.gather(*(link.tell(item) for link in links))

    def working_hosts(self):
        """Return the agents that are taken to be alive and don't leave.

        Of those without a link the list's word is taken.

        :rtype: list[sequoiagap.platform.HostEntry]
        """
        return [
            member.host
            for endpoint_id, member in self.directory_.by_id.items()
            if not member.leaving
            and (member.alive if endpoint_id in self.by_id else member.listed)
        ]

    def is_usable(self, link, now):
        """Return whether a link's endpoint may take an attempt.

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

        :param str endpoint_id: the agent.
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

        :param str endpoint_id: the agent.
        """
        if self.by_id.pop(endpoint_id, None) is not None:
            self._task_by_id.pop(endpoint_id).cancel()

    def is_wanted(self, endpoint_id):
        """Return whether an agent is to be linked without a request for it.

        :param str endpoint_id: the agent.
        :rtype: bool
        """
        selection = self.selection_
        return endpoint_id in selection.chosen_ or endpoint_id in selection.awaited_

    def _close_idle(self, now):
        """Close links that were not chosen once they are idle or too many."""
        extras = self.extras()
        surplus = len(extras) - self.demand_.max_extra
        for endpoint_id in extras:
            link = self.by_id[endpoint_id]
            if link.is_idle and (surplus > 0 or now - link.used_at_ > IDLE_S):
                self.close_link(endpoint_id)
                surplus -= 1

    def _renew(self, fresh):
        """Take agents that are new or have moved to another address."""
        for member in fresh:
            endpoint_id = member.host.host_id
            self.close_link(endpoint_id)
            self.selection_.welcome(endpoint_id)
            self.selection_.note_agents_changed()
            _log.emit(base.Event.ENDPOINT_SEEN, endpoint=endpoint_id)
