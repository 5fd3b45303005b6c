"""Links on demand: agents that can't be reached, and floods for a dead model."""

import asyncio
import time
import types
import unittest

from sequoiagap.entry import _on_demand_links
from tests import support

AGENTS = [f"agent-{i}" for i in range(200)]
MAX_EXTRA = 4
CONNECT_S = 0.005


class Link:
    """A link that is open soon, or is soon known not to open."""

    def __init__(self, is_reachable):
        self.is_reachable = is_reachable
        self.is_idle = True
        self.used_at_ = time.monotonic()
        self.reachability_ = self

    @property
    def is_open(self):
        """Whether it is open by now."""
        return self.is_reachable and self._is_settled()

    @property
    def is_unreachable(self):
        """Whether it is known by now that it can't be opened."""
        return not self.is_reachable and self._is_settled()

    def _is_settled(self):
        return time.monotonic() - self.used_at_ > CONNECT_S

    def is_down(self, now, grace_s):
        """Tell that an outage has only begun."""
        return False


class Links:
    """Agents without links, of which some can be reached and some take work."""

    def __init__(self, reachable=(), working=()):
        self.reachable = reachable
        self.working = working
        self.by_id = {}
        self.directory_ = types.SimpleNamespace(by_id=dict.fromkeys(AGENTS))
        self.avoided = set()
        self.opened = []
        self.is_limited = True
        self.demand = _on_demand_links.OnDemandLinks(self, self, MAX_EXTRA)

    def additional_agents(self, target):
        """Yield agents that are not avoided."""
        yield from (i for i in AGENTS if i not in self.avoided)

    def avoid(self, endpoint_id, now):
        """Avoid an agent."""
        self.avoided.add(endpoint_id)

    def open(self, endpoint_id):
        """Open a link."""
        self.opened.append(endpoint_id)
        self.by_id[endpoint_id] = Link(endpoint_id in self.reachable)
        return self.by_id[endpoint_id]

    def close_link(self, endpoint_id):
        """Close a link."""
        del self.by_id[endpoint_id]

    def on_demand_ids(self):
        """Return all links."""
        return list(self.by_id)

    def is_selected(self, endpoint_id):
        """Tell that none was chosen."""
        return False

    def candidates(self, target, tried=()):
        """Return the views of linked agents that take work."""
        ids = [i for i, k in self.by_id.items() if i in self.working and k.is_open]
        return [types.SimpleNamespace(endpoint_id=i) for i in ids]


class DemandTest(unittest.IsolatedAsyncioTestCase):
    async def test_agents_that_cannot_be_reached_are_passed_over(self):
        dead = AGENTS[: 2 * MAX_EXTRA]
        links = Links(reachable=AGENTS[len(dead) :], working=AGENTS[len(dead) :])
        await links.demand.ensure_reachable("m")
        self.assertTrue(links.candidates("m"))
        self.assertEqual(len(links.opened), len(set(links.opened)))

    async def test_a_flood_for_a_model_that_takes_no_work_opens_few_links(self):
        links = Links(reachable=AGENTS)
        began = time.monotonic()
        await asyncio.gather(*(links.demand.ensure_reachable("m") for _ in range(50)))
        spent_s = time.monotonic() - began
        self.assertLess(spent_s, support.FEW_SECONDS_S)
        windows = int(spent_s) + 2
        self.assertLessEqual(
            len(links.opened), windows * _on_demand_links.MAX_OPENED_PER_S
        )
        self.assertLessEqual(len(links.by_id), MAX_EXTRA)

    async def test_links_in_use_are_not_closed_for_others(self):
        links = Links(reachable=AGENTS, working=AGENTS[-1:])
        in_use = AGENTS[-1 - MAX_EXTRA : -1]
        for name in in_use:
            links.open(name).is_idle = False
        await links.demand.ensure_reachable("m")
        self.assertEqual(list(links.by_id), in_use)
