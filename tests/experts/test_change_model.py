"""Every order of messages, with a crash and a restart: one map in each step."""

import unittest

from simulations import group_exploration, group_scenarios, group_world

from sequoiagap import experts

MAX_WORLDS = 60_000
PROGRESS_EVERY = 97
SCENARIOS = {
    "a change and a second proposer that settles": group_scenarios.Scenario((1, 1, 0)),
    "two proposers that want different maps": group_scenarios.Scenario(
        (1, 1, 0), wanted=("b", "c", "")
    ),
    "an agent dies and starts again": group_scenarios.Scenario(
        (1, 0, 0), crashes=("agent",)
    ),
    "an engine dies, alone or with its agent": group_scenarios.Scenario(
        (1, 0, 0), crashes=("engine", "both")
    ),
    "two proposers, and one dies, its engine, or both": group_scenarios.Scenario(
        (1, 1, 0), crashes=("agent", "engine", "both"), crash_ranks=(0,)
    ),
}
PLAIN = "an agent dies and starts again"  # small enough to visit without reduction


class MajorityRound(experts.Round):
    """Broken: commits when a majority has armed."""

    def _record_answer(self, rank, complete):
        self.answered_.add(rank)
        needed = self.ranks
        if self.phase_ == experts.Phase.ARMING:
            needed = self.ranks // 2 + 1
        return complete() if len(self.answered_) >= needed else []


class ForgetfulRank(experts.RankState):
    """Broken: takes late arms and commits of rounds below its promise."""

    def _is_promised(self, message):
        return self._is_current(message)


class HastyRank(experts.RankState):
    """Broken: takes part without knowing what its predecessor promised."""

    def _is_current(self, message):
        return True


BROKEN = {
    "majority": (
        {"round_type": MajorityRound},
        "a change and a second proposer that settles",
    ),
    "late messages": (
        {"rank_type": ForgetfulRank},
        "two proposers that want different maps",
    ),
    "no join": ({"rank_type": HastyRank}, "an engine dies, alone or with its agent"),
}


class ChangeModelTest(unittest.TestCase):
    def test_all_worlds_keep_one_map_and_make_progress(self):
        for name in SCENARIOS:
            with self.subTest(name):
                visited, complete = group_exploration.explore(
                    group_scenarios.make_world(SCENARIOS[name]),
                    MAX_WORLDS,
                    check_progress_every=PROGRESS_EVERY,
                )
                self.assertTrue(complete, f"stopped after {visited} worlds")
                self.assertGreater(visited, 1000)

    def test_reduction_meets_the_same_states_of_the_engines(self):
        met = []
        for reduces in (True, False):
            states = set()
            world = group_scenarios.make_world(SCENARIOS[PLAIN])
            _, complete = group_exploration.explore(
                world, MAX_WORLDS, engine_states=states, reduces=reduces
            )
            self.assertTrue(complete)
            met.append(states)
        self.assertEqual(met[0], met[1])

    def test_broken_variants_are_caught(self):
        for name, (types, scenario) in BROKEN.items():
            with self.subTest(name), self.assertRaises(group_world.TwoMapsError):
                world = group_scenarios.make_world(SCENARIOS[scenario], **types)
                group_exploration.explore(world, MAX_WORLDS)
