"""Steps of a change use the current reports of engines, not recent ones."""

import time

from sequoiagap import ranks, settings, standins
from sequoiagap.ranks import _access, _messages, _own_rank
from tests import support

HELD_STEP = 20


class HoldingEngine:
    """Engine that is held as soon as it is ordered to be."""

    def __init__(self):
        self.held_step = 0

    async def report(self, address):
        return ranks.EngineReport(group="g", rank=1, size=2, held_step=self.held_step)

    async def order(self, address, order):
        self.held_step = order.step
        return ranks.OrderResult.DONE


class AgentLink:
    """Link to an agent in this process."""

    is_silent = False

    def __init__(self, agent):
        self.agent = agent

    async def request(self, message, timeout_s):
        return await self.agent._answer_poll(message)


class FreshReportsTest(support.AsyncCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        support.silence_logs()
        self.engine = HoldingEngine()
        loaded = settings.RankSettings.model_construct(
            node_id="n1", address="127.0.0.1", port=0, endpoint="1", service="desk"
        )
        self.agent = ranks.RankAgent(loaded, standins.DirectStore(), self.engine)
        self.agent.report_ = await self.engine.report("1")
        self.agent._reported_at = time.monotonic()
        own = _own_rank.OwnRank(self.engine, "0")
        link_by_rank = {1: AgentLink(self.agent)}
        self.access = _access.GroupAccess(own, 0, {1: "1"}, list, link_by_rank)

    async def test_hold_is_seen_right_after_it_was_ordered(self):
        order = ranks.RankOrder(ranks.OrderKind.HOLD, epoch=1, step=HELD_STEP)
        replies = await self.access.execute(ranks.Step({1: order}))
        self.assertEqual(replies[1].report.held_step, HELD_STEP)

    async def test_recent_report_is_sent_only_if_it_is_accepted(self):
        self.engine.held_step = HELD_STEP
        for may_be_recent, held_step in ((True, 0), (False, HELD_STEP)):
            with self.subTest(may_be_recent):
                poll = _messages.RankPoll(1, 0, may_be_recent=may_be_recent)
                state = await self.agent._answer_poll(poll)
                report = _own_rank.read_report(state)
                self.assertEqual(report.held_step, held_step)
