"""Model check of the map change protocol: no step ever uses two maps.

Explores every order of messages, also with a crash and a restart.
"""

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
    "an agent crashes and restarts": group_scenarios.Scenario(
        (1, 0, 0), crashes=("agent",)
    ),
    "an engine crashes, alone or with its agent": group_scenarios.Scenario(
        (1, 0, 0), crashes=("engine", "both")
    ),
    "two proposers, one agent, engine or both crash": group_scenarios.Scenario(
        (1, 1, 0), crashes=("agent", "engine", "both"), crash_ranks=(0,)
    ),
}
# Small enough to explore without partial-order reduction.
SMALL_SCENARIO = "an agent crashes and restarts"


class MajorityRound(experts.Round):
    """Faulty proposer that commits as soon as a majority has armed."""

    def _record_answer(self, rank, complete):
        self.answered_.add(rank)
        needed = self.ranks
        if self.phase_ == experts.Phase.ARMING:
            needed = self.ranks // 2 + 1
        return complete() if len(self.answered_) >= needed else []


class StalePromiseRank(experts.RankState):
    """Faulty rank that accepts ``Arm`` and ``Settle`` of rounds below its promise."""

    def _is_promised(self, message):
        return self._is_current(message)


class UnjoinedRank(experts.RankState):
    """Faulty rank that takes part without the promises of its predecessor."""

    def _is_current(self, message):
        return True


FAULTY = {
    "majority": (
        {"round_type": MajorityRound},
        "a change and a second proposer that settles",
    ),
    "late messages": (
        {"rank_type": StalePromiseRank},
        "two proposers that want different maps",
    ),
    "no join": (
        {"rank_type": UnjoinedRank},
        "an engine crashes, alone or with its agent",
    ),
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
            world = group_scenarios.make_world(SCENARIOS[SMALL_SCENARIO])
            _, complete = group_exploration.explore(
                world, MAX_WORLDS, engine_states=states, reduces=reduces
            )
            self.assertTrue(complete)
            met.append(states)
        self.assertEqual(met[0], met[1])

    def test_faulty_variants_are_detected(self):
        for name, (types, scenario) in FAULTY.items():
            with self.subTest(name), self.assertRaises(group_world.TwoMapsError):
                world = group_scenarios.make_world(SCENARIOS[scenario], **types)
                group_exploration.explore(world, MAX_WORLDS)
