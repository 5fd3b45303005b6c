"""Links to all agents that are listed or otherwise known."""

import asyncio
import time

from sequoiagap import base, members, routing
from sequoiagap.entry import _link

_log = base.get_logger("links")


class AgentLinks:
    """Links by endpoint id.

    :param make_hello: function that returns this entry's hello.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param sequoiagap.config.ConfigChannel channel: spreads the configuration.
    :param reports: object that attaches the handler of agents' reports.

    :ivar dict by_id: link by endpoint id.
    :ivar sequoiagap.members.Directory directory_: agents as listed and seen.
    """

    def __init__(self, make_hello, holder, channel, reports):
        self.make_hello = make_hello
        self.holder = holder
        self.channel = channel
        self.reports = reports
        self.by_id = {}
        self.directory_ = members.Directory()
        self._task_by_id = {}

    def apply_list(self, hosts):
        """Take the agents of the platform's list.

        :param list[sequoiagap.platform.HostEntry] hosts: agents listed.
        """
        now = time.monotonic()
        for member in self.directory_.apply_list(hosts, now):
            self._open(member)
        self.drop_gone()

    def propose(self, hosts):
        """Take agents that other processes know.

        :param list[sequoiagap.platform.HostEntry] hosts: the agents.
        """
        for member in self.directory_.propose(hosts, time.monotonic()):
            self._open(member)

    def drop_gone(self):
        """Close the links of agents that are neither listed nor alive."""
        for endpoint_id in self.directory_.drop_gone(time.monotonic()):
            self._close(endpoint_id)

    def candidates(self, target):
        """Return the endpoints that may take an attempt for a target.

        :param str target: name of a model or service.
        :rtype: list[sequoiagap.routing.EndpointView]
        """
        now = time.monotonic()
        usable = [
            link
            for link in self.by_id.values()
            if target in link.view.serves and self._is_usable(link, now)
        ]
        for link in usable:
            link.view.unanswered_s = link.unanswered_s(now)
        return routing.filter_by_role([link.view for link in usable])

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
        """Send a message to every agent, or to those of one failure domain.

        :param item: the message.
        :param str failure_domain: whom to tell; all by default.
        """
        links = [
            link
            for link in self.by_id.values()
            if failure_domain in (None, link.view.failure_domain)
        ]
        await asyncio.gather(*(link.tell(item) for link in links))

    def _is_usable(self, link, now):
        view = link.view
        if self.holder.forbidding_setting(view.failure_domain, view.endpoint_id):
            return False
        if link.member.leaving or link.is_suspect(now) or not view.connected:
            return False
        return view.limit > 0

    def _open(self, member):
        endpoint_id = member.host.host_id
        if endpoint_id in self.by_id:
            self._close(endpoint_id)
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
        _log.emit(base.Event.ENDPOINT_SEEN, endpoint=endpoint_id)

    def _close(self, endpoint_id):
        del self.by_id[endpoint_id]
        self._task_by_id.pop(endpoint_id).cancel()
        _log.emit(base.Event.ENDPOINT_GONE, endpoint=endpoint_id)
