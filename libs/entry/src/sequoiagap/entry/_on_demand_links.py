"""Links to agents that are opened because a request needs them."""

import asyncio
import time

from sequoiagap import base

MAX_WAIT_S = 2.0
CONNECT_GRACE_S = 0.75
POLL_INTERVAL_S = 0.01
MAX_CONCURRENT_CONNECTS = 2
MAX_OPENED_PER_S = 20

_log = base.get_logger("links")


class OnDemandLinks:
    """Opens further links, a few at a time, and waits until one is usable.

    :param AgentLinks links: the links.
    :param LinkSelection selection: proposes the agents.
    :param int max_on_demand: highest number of links besides the selected ones.
    """

    def __init__(self, links, selection, max_on_demand):
        self.links = links
        self.selection = selection
        self.max_on_demand = max_on_demand
        self._second = 0
        self._opened_in_second = 0

    async def ensure_reachable(self, target, tried=(), endpoint_id=""):
        """Open links until an endpoint for a request is usable, if possible.

        :param str target: name of the model or service.
        :param tried: ids of the endpoints that received an attempt.
        :type tried: collections.abc.Container[str]
        :param str endpoint_id: the only acceptable endpoint; any by default.
        """
        if not self.selection.is_limited:
            return
        deadline = time.monotonic() + MAX_WAIT_S
        while not self._has_usable_link(target, tried, endpoint_id):
            now = time.monotonic()
            if now > deadline or not self._open(target, tried, endpoint_id, now):
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def open_endpoint(self, endpoint_id):
        """Return the link to an endpoint, opened if needed, or ``None``.

        :param str endpoint_id: id of the endpoint.
        :rtype: AgentLink | None
        """
        await self.ensure_reachable("", endpoint_id=endpoint_id)
        return self.links.by_id.get(endpoint_id)

    def _has_usable_link(self, target, tried, endpoint_id):
        if endpoint_id:
            link = self.links.by_id.get(endpoint_id)
            return link is not None and link.is_open
        return any(
            view.endpoint_id not in tried and self.links.by_id[view.endpoint_id].is_open
            for view in self.links.candidates(target, tried)
        )

    def _open(self, target, tried, endpoint_id, now):
        """Open links until a few are connecting; return whether any is."""
        if endpoint_id:
            candidate_ids = (
                [endpoint_id] if endpoint_id in self.links.directory_.by_id else []
            )
        else:
            candidate_ids = self.selection.additional_agents(target)
        connecting = 0
        for candidate_id in candidate_ids:
            if candidate_id in tried:
                continue
            if candidate_id not in self.links.by_id and not self._may_open(now):
                break
            connecting += self._connect(candidate_id, now)
            if connecting >= MAX_CONCURRENT_CONNECTS:
                break
        return connecting > 0

    def _connect(self, endpoint_id, now):
        """Open a link unless there is one; return whether it is still connecting."""
        link = self.links.by_id.get(endpoint_id)
        if link is None:
            link = self.links.open(endpoint_id)
            _log.emit(base.Event.LINK_ON_DEMAND, endpoint=endpoint_id)
        if link.reachability_.is_unreachable or link.is_down(now, CONNECT_GRACE_S):
            if not self.links.is_selected(endpoint_id):
                self.selection.avoid(endpoint_id, now)
            return False
        if link.is_open and not self.links.is_selected(endpoint_id):
            self.selection.avoid(endpoint_id, now)  # it accepts no requests now
        return not link.is_open

    def _may_open(self, now):
        """Return whether the limits of links and of new links per second allow one."""
        if int(now) != self._second:
            self._second = int(now)
            self._opened_in_second = 0
        if self._opened_in_second >= MAX_OPENED_PER_S or not self._ensure_capacity():
            return False
        self._opened_in_second += 1
        return True

    def _ensure_capacity(self):
        """Return whether one more link fits, after closing an idle one if needed."""
        on_demand_ids = self.links.on_demand_ids()
        if len(on_demand_ids) < self.max_on_demand:
            return True
        idle = [i for i in on_demand_ids if self.links.by_id[i].is_idle]
        if not idle:
            return False
        self.links.close_link(idle[0])
        return True
