"""On-demand links: unreachable agents, and many requests for an unusable model."""

import asyncio
import time
import types
import unittest

from sequoiagap.entry import _on_demand_links
from tests import support

AGENTS = [f"agent-{i}" for i in range(200)]
MAX_ON_DEMAND = 4
CONNECT_DELAY_S = 0.005


class FakeLink:
    """A link that opens, or is found to be unreachable, after a delay."""

    def __init__(self, is_reachable):
        self.is_reachable = is_reachable
        self.is_idle = True
        self.used_at_ = time.monotonic()
        self.reachability_ = self

    @property
    def is_open(self):
        """Whether the link is open."""
        return self.is_reachable and self._is_settled()

    @property
    def is_unreachable(self):
        """Whether the agent was found to be unreachable."""
        return not self.is_reachable and self._is_settled()

    def _is_settled(self):
        return time.monotonic() - self.used_at_ > CONNECT_DELAY_S

    def is_down(self, now, grace_s):
        """Return that the link is not down for longer than the grace period."""
        return False


class FakeLinks:
    """Links and their selection, with sets of reachable and of usable agents."""

    def __init__(self, reachable=(), usable=()):
        self.reachable = reachable
        self.usable = usable
        self.by_id = {}
        self.directory_ = types.SimpleNamespace(by_id=dict.fromkeys(AGENTS))
        self.avoided = set()
        self.opened = []
        self.is_limited = True
        self.on_demand = _on_demand_links.OnDemandLinks(self, self, MAX_ON_DEMAND)

    def additional_agents(self, target):
        """Yield the ids of agents that are not avoided."""
        yield from (i for i in AGENTS if i not in self.avoided)

    def avoid(self, endpoint_id, now):
        """Avoid an agent."""
        self.avoided.add(endpoint_id)

    def open(self, endpoint_id):
        """Open a link."""
        self.opened.append(endpoint_id)
        self.by_id[endpoint_id] = FakeLink(endpoint_id in self.reachable)
        return self.by_id[endpoint_id]

    def close_link(self, endpoint_id):
        """Close a link."""
        del self.by_id[endpoint_id]

    def on_demand_ids(self):
        """Return the ids of all linked agents."""
        return list(self.by_id)

    def is_selected(self, endpoint_id):
        """Return that no agent is selected."""
        return False

    def candidates(self, target, tried=()):
        """Return the views of usable agents with an open link."""
        ids = [i for i, link in self.by_id.items() if i in self.usable and link.is_open]
        return [types.SimpleNamespace(endpoint_id=i) for i in ids]


class OnDemandLinksTest(unittest.IsolatedAsyncioTestCase):
    async def test_unreachable_agents_are_skipped(self):
        unreachable = AGENTS[: 2 * MAX_ON_DEMAND]
        links = FakeLinks(
            reachable=AGENTS[len(unreachable) :], usable=AGENTS[len(unreachable) :]
        )
        await links.on_demand.ensure_reachable("m")
        self.assertTrue(links.candidates("m"))
        self.assertEqual(len(links.opened), len(set(links.opened)))

    async def test_many_requests_for_an_unusable_model_open_few_links(self):
        links = FakeLinks(reachable=AGENTS)
        began = time.monotonic()
        await asyncio.gather(
            *(links.on_demand.ensure_reachable("m") for _ in range(50))
        )
        elapsed_s = time.monotonic() - began
        self.assertLess(elapsed_s, support.FEW_SECONDS_S)
        windows = int(elapsed_s) + 2
        self.assertLessEqual(
            len(links.opened), windows * _on_demand_links.MAX_OPENED_PER_S
        )
        self.assertLessEqual(len(links.by_id), MAX_ON_DEMAND)

    async def test_links_in_use_are_not_closed(self):
        links = FakeLinks(reachable=AGENTS, usable=AGENTS[-1:])
        in_use = AGENTS[-1 - MAX_ON_DEMAND : -1]
        for name in in_use:
            links.open(name).is_idle = False
        await links.on_demand.ensure_reachable("m")
        self.assertEqual(list(links.by_id), in_use)
