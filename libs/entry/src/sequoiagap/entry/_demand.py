"""Links that are opened because a request needs them."""

import asyncio
import time

from sequoiagap import base

REACH_S = 2.0
TRY_S = 0.75
POLL_S = 0.01
AT_ONCE = 2
MAX_OPENED_PER_S = 20

_log = base.get_logger("links")


class LinkDemand:
    """Opens further links, a few at once, and waits until one can be used.

    :param AgentLinks links: the links.
    :param LinkSelection selection: which agents there are.
    :param int max_extra: most links beside the chosen ones.
    """

    def __init__(self, links, selection, max_extra):
        self.links = links
        self.selection = selection
        self.max_extra = max_extra
        self._second = 0
        self._opened_in_second = 0

    async def ensure_reachable(self, target, tried=(), endpoint_id=""):
        """See to it that an endpoint for a request can be used, if one can.

        :param str target: the model or service.
        :param tried: endpoints that the request has tried already.
        :type tried: collections.abc.Container[str]
        :param str endpoint_id: the only endpoint that will do; any by default.
        """
        if not self.selection.is_limited:
            return
        until = time.monotonic() + REACH_S
        while not self._is_near(target, tried, endpoint_id):
            now = time.monotonic()
            if now > until or not self._open(target, tried, endpoint_id, now):
                return
            await asyncio.sleep(POLL_S)

    async def reach_endpoint(self, endpoint_id):
        """Return the link to an endpoint, opened if there is none, or ``None``.

        :param str endpoint_id: the endpoint.
        :rtype: AgentLink | None
        """
        await self.ensure_reachable("", endpoint_id=endpoint_id)
        return self.links.by_id.get(endpoint_id)

    def _is_near(self, target, tried, endpoint_id):
        if endpoint_id:
            link = self.links.by_id.get(endpoint_id)
            return link is not None and link.is_open
        return any(
            view.endpoint_id not in tried and self.links.by_id[view.endpoint_id].is_open
            for view in self.links.candidates(target, tried)
        )

    def _open(self, target, tried, endpoint_id, now):
        """Open links until a few are being connected; tell whether any is."""
        if endpoint_id:
            wanted = [endpoint_id] if endpoint_id in self.links.directory_.by_id else []
        else:
            wanted = self.selection.further(target)
        connecting = 0
        for wanted_id in wanted:
            if wanted_id in tried:
                continue
            if wanted_id not in self.links.by_id and not self._may_open(now):
                break
            connecting += self._connect(wanted_id, now)
            if connecting >= AT_ONCE:
                break
        return connecting > 0

    def _connect(self, endpoint_id, now):
        """Open a link unless there is one; return whether it may open soon."""
        link = self.links.by_id.get(endpoint_id)
        if link is None:
            link = self.links.open(endpoint_id)
            _log.emit(base.Event.LINK_ON_DEMAND, endpoint=endpoint_id)
        if link.reachability_.is_unreachable or link.is_down(now, TRY_S):
            if not self.links.is_wanted(endpoint_id):
                self.selection.avoid(endpoint_id, now)
            return False
        if link.is_open and not self.links.is_wanted(endpoint_id):
            self.selection.avoid(endpoint_id, now)  # it takes no work now
        return not link.is_open

    def _may_open(self, now):
        """Bound the links and those opened in a second, whatever requests want."""
        if int(now) != self._second:
            self._second = int(now)
            self._opened_in_second = 0
        if self._opened_in_second >= MAX_OPENED_PER_S or not self._make_room():
            return False
        self._opened_in_second += 1
        return True

    def _make_room(self):
        extras = self.links.extras()
        if len(extras) < self.max_extra:
            return True
        idle = [i for i in extras if self.links.by_id[i].is_idle]
        if not idle:
            return False
        self.links.close_link(idle[0])
        return True
