"""Links to all agents, following the platform's list."""

import asyncio

from sequoiagap import base, members, routing
from sequoiagap.entry import _link

LIST_INTERVAL_S = 1.0

_log = base.get_logger("links")


class AgentLinks:
    """Links by endpoint id.

    :param sequoiagap.platform.PlatformClient client: the platform.
    :param make_hello: function that returns this entry's hello.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.

    :ivar dict by_id: link by endpoint id.
    :ivar sequoiagap.members.Directory directory_: members as listed and seen.
    """

    def __init__(self, client, make_hello, holder):
        self.client = client
        self.make_hello = make_hello
        self.holder = holder
        self.by_id = {}
        self.directory_ = members.Directory()
        self._task_by_id = {}

    async def follow_list(self):
        """Poll the platform's list until cancelled."""
        while True:
            try:
                hosts = await self.client.list_hosts()
                self._apply([host for host in hosts if host.role == "agent"])
            except base.PlatformError as error:
                _log.emit(base.Event.PLATFORM_UNREACHABLE, error=error.message)
            await asyncio.sleep(LIST_INTERVAL_S)

    def candidates(self, target):
        """Return the endpoints that may take an attempt for a target.

        :param str target: name of a model or service.
        :rtype: list[sequoiagap.routing.EndpointView]
        """
        document = self.holder.current_.document
        return [
            link.view
            for link in self.by_id.values()
            if target in link.view.serves and self._is_usable(link, document)
        ]

    async def close(self):
        """Close every link."""
        for task in self._task_by_id.values():
            await base.cancel_and_wait(task)

    async def offer_config(self, number):
        """Tell every agent that a version was adopted.

        :param int number: the version.
        """
        await asyncio.gather(*(link.offer(number) for link in self.by_id.values()))

    def _is_usable(self, link, document):
        view = link.view
        domain = document.failure_domains.get(view.failure_domain)
        order = document.endpoints.get(view.endpoint_id)
        is_out = domain is not None and domain.state == "out"
        is_drained = order is not None and order.drain
        if is_out or is_drained or link.member.leaving or not view.connected:
            return False
        return view.limit > 0

    def _apply(self, hosts):
        for member in self.directory_.apply_list(hosts):
            self._open(member)
        for endpoint_id in list(self.by_id):
            if endpoint_id not in self.directory_.by_id:
                self._close(endpoint_id)

    def _open(self, member):
        endpoint_id = member.host.host_id
        if endpoint_id in self.by_id:
            self._close(endpoint_id)
        view = routing.EndpointView(
            endpoint_id, member.host.failure_domain, frozenset(member.host.serves)
        )
        link = _link.AgentLink(member, view, self.make_hello, self.holder)
        self.by_id[endpoint_id] = link
        self._task_by_id[endpoint_id] = asyncio.create_task(
            link.run(), name=f"link-{endpoint_id}"
        )
        _log.emit(base.Event.ENDPOINT_SEEN, endpoint=endpoint_id)

    def _close(self, endpoint_id):
        del self.by_id[endpoint_id]
        self._task_by_id.pop(endpoint_id).cancel()
        _log.emit(base.Event.ENDPOINT_GONE, endpoint=endpoint_id)
