"""A keeper answers leaders and releases the holds that they abandon."""

import unittest

from sequoiagap.ranks import _keeper_service, _messages, _own_rank, _succession
from tests import support
from tests.ranks import group_stand_in

AHEAD = 30  # passes; a new keeper refuses those that its predecessor may have agreed to
OTHER_LEADER = 2


class KeeperServiceTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        support.silence_logs()

    async def asyncSetUp(self):
        self.group = group_stand_in.GroupStandIn()
        self.world = self.group.world
        self.service = _keeper_service.KeeperService(_own_rank.OwnRank(self.group, "1"))
        self.engine = self.world.engines[1]
        self.step = self.world.step + AHEAD

    def request(self, wants_arming=False, is_leading=False):
        message = _messages.KeeperRequest(
            7, 0, self.world.epoch, 900, self.step, wants_arming
        )
        answer = self.service.answer(message, is_leading)
        self.assertEqual(answer.number, 7)
        return answer.is_agreed

    def start(self):
        self.service.start(self.world.report(self.engine))

    async def test_nothing_is_agreed_before_the_first_report(self):
        self.assertFalse(self.request())
        self.start()
        self.assertTrue(self.request())

    async def test_an_agent_that_leads_agrees_to_nothing(self):
        self.start()
        self.assertFalse(self.request(is_leading=True))

    async def test_hold_is_abandoned_once_its_leader_is_silent_or_another_leads(self):
        self.start()
        self.request()
        heard_at = self.service._heard_at
        self.assertFalse(self.service.has_abandoned_hold(0, heard_at + 0.1))
        self.assertTrue(self.service.has_abandoned_hold(OTHER_LEADER, heard_at + 0.1))
        later = heard_at + _succession.DEPUTY_TIMEOUT_S + 0.01
        self.assertTrue(self.service.has_abandoned_hold(0, later))
        self.service.record_leader(0, later)
        self.assertFalse(self.service.has_abandoned_hold(0, later))

    async def test_hold_is_not_abandoned_once_arming_was_allowed(self):
        self.start()
        self.request()
        self.request(wants_arming=True)
        self.assertFalse(self.service.has_abandoned_hold(OTHER_LEADER, 1e9))

    async def test_release_ends_the_hold_and_arming_is_never_allowed(self):
        self.start()
        self.request()
        self.engine.held = self.step
        await self.service.release()
        self.assertEqual(self.engine.held, 0)
        self.assertFalse(self.request(wants_arming=True))

    async def test_hold_that_arrives_a_little_later_is_released_too(self):
        self.start()
        self.request()
        report = self.group.report
        addresses = []

        async def report_later(address):
            addresses.append(address)
            if len(addresses) == 3:
                self.engine.held = self.step
            return await report(address)

        self.group.report = report_later
        await self.service.release()
        self.assertEqual(self.engine.held, 0)

    async def test_hold_of_another_change_is_not_released(self):
        self.start()
        self.request()
        self.engine.held = self.step + 1
        await self.service.release()
        self.assertEqual(self.engine.held, self.step + 1)
