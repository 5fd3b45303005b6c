"""Leadership of a large group behind a slow link."""

import asyncio
import random
import time
import unittest
from unittest import mock

from simulations import virtual

from sequoiagap import base, ranks, routes
from sequoiagap.ranks import _succession
from tests import support
from tests.ranks import group_stand_in, thin_link

LINK_BYTES_S = 500_000  # 4 Mbit/s
LINK_SHARE = 0.5  # maximum share of the link used for leading
LONGEST_WAIT_S = 0.2  # behind the leader's traffic; a first event is due within 0.4 s
RUN_S = 6.0
PASS_S = 0.1
CHOICES = 400  # maximum per expert, rank and pass
SHAPES = {  # ranks, layers, experts, slots of a rank and layer
    "63 ranks": (63, 8, 252, 5),
    "72 ranks": (72, 12, 144, 3),
}


class LargeGroup:
    """Large group that is led for a while, in virtual time.

    :param int size: number of ranks.
    :param int layers: number of layers with a map of their own.
    :param int experts: number of experts in a layer.
    :param int slots: maximum number of experts that a rank holds of a layer.

    :ivar GroupLeader leader: its leader, behind a slow link.
    :ivar HostLink link: the link.
    """

    def __init__(self, size, layers, experts, slots):
        first = tuple(
            tuple(tuple(range(rank, experts, size)) for rank in range(size))
            for _ in range(layers)
        )
        self.group = group_stand_in.GroupStandIn(first, experts)
        self.profile = routes.EngineProfile(
            slots=5,
            layers=layers,
            experts=experts,
            slots_per_rank=slots,
            new_per_change=2,
            expert_share=0.85,
        )
        self.link = thin_link.HostLink(LINK_BYTES_S)
        self.leader = None
        self._connection_by_rank = {}

    async def run(self):
        """Lead the group under an uneven load for ``RUN_S``."""
        now = asyncio.get_running_loop().time
        with mock.patch.object(time, "monotonic", now):
            access, self._connection_by_rank = thin_link.link_ranks(
                self.group, self.link
            )
            world = self.group.world
            self.leader = ranks.GroupLeader(
                access,
                world.report(world.engines[0]),
                self.profile,
                base.Metrics(),
                random_state=random.Random(1),
                link_bytes_s=LINK_BYTES_S,
            )
            leading = asyncio.ensure_future(self.leader.run())
            await self._work(self.profile.layers * self.profile.experts)
            self.leader.stop()
            await leading

    async def _work(self, number):
        """Run passes while requests choose some experts far more often than others."""
        source = random.Random(7)
        wanted = [CHOICES * source.random() ** 4 for _ in range(number)]
        until = time.monotonic() + RUN_S
        while time.monotonic() < until:
            counts = [int(source.random() * 2 * mean) for mean in wanted]
            self.group.work(counts, passes=1)
            await asyncio.sleep(PASS_S)

    def longest_silence(self):
        """Return the longest time without a message from the leader at an agent."""
        gaps = []
        for connection in self._connection_by_rank.values():
            heard_at = connection.leader_heard_at_
            gaps += [b - a for a, b in zip(heard_at, heard_at[1:], strict=False)]
        return max(gaps)


class ThinLinkTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        support.silence_logs()
        cls.group_by_name = {name: LargeGroup(*SHAPES[name]) for name in SHAPES}
        for group in cls.group_by_name.values():
            virtual.run(group.run())

    def test_map_of_a_large_group_changes_over_a_thin_link(self):
        for name, group in self.group_by_name.items():
            with self.subTest(name):
                self.assertGreater(group.leader.changes_, 0)

    def test_no_agent_takes_a_leader_behind_a_thin_link_for_lost(self):
        for name, group in self.group_by_name.items():
            with self.subTest(name):
                self.assertLess(group.longest_silence(), _succession.LEADER_TIMEOUT_S)

    def test_leading_leaves_most_of_a_thin_link_to_the_engine_beside_it(self):
        for name, group in self.group_by_name.items():
            with self.subTest(name):
                share = group.link.bytes_ / (2 * RUN_S * LINK_BYTES_S)
                self.assertLess(share, LINK_SHARE)
                self.assertLess(group.link.longest_wait_s_, LONGEST_WAIT_S)


if __name__ == "__main__":
    unittest.main()
