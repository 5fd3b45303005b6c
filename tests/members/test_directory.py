"""The list proposes; heartbeats and incarnations decide."""

import dataclasses
import unittest

from sequoiagap import members, platform

LIVE = platform.HostEntry("e1", "agent", "10.0.0.1", 7000, "north")
LEAVING = dataclasses.replace(LIVE, state="leaving")
MOVED = dataclasses.replace(LIVE, address="10.0.0.2")


class DirectoryTest(unittest.TestCase):
    def test_steps(self):
        late = members.MAX_LIST_LAG_S + 1.0
        gone = members.UNLISTED_GRACE_S + 1.0
        alive_1 = ("alive", "inc-1")
        alive_2 = ("alive", "inc-2")
        cases = [
            # name, steps at their times, whether it may get work afterwards
            ("listed", [(0, [LIVE]), (0, alive_1)], True),
            ("not connected", [(0, [LIVE])], False),
            ("lost", [(0, [LIVE]), (0, alive_1), (1, "lost")], False),
            ("gone but alive", [(0, [LIVE]), (0, alive_1), (gone, [])], True),
            ("gone and lost", [(0, [LIVE]), (0, alive_1), (1, "lost"), (2, [])], False),
            ("gone, lost and back", [(0, [LIVE]), (1, []), (2, alive_1)], True),
            ("dropped", [(0, [LIVE]), (gone, [])], None),
            ("says it leaves", [(0, [LIVE]), (0, alive_1), (1, "leave")], False),
            (
                "leaves, lagging list",
                [(0, [LIVE]), (0, alive_1), (1, "leave"), (1, "lost")]
                + [(2, [LIVE]), (3, alive_1)],
                False,
            ),
            (
                "replaced at the same address",
                [(0, [LIVE]), (0, alive_1), (1, "leave"), (2, "lost"), (3, alive_2)],
                True,
            ),
            ("listed as leaving", [(0, [LIVE]), (0, alive_1), (1, [LEAVING])], False),
            (
                "replaced while the list lags",
                [(0, [LIVE]), (0, alive_1), (1, [LEAVING]), (2, "lost")]
                + [(3, alive_2), (4, [LEAVING])],
                True,
            ),
            (
                "the list keeps to it",
                [(0, [LIVE]), (0, alive_1), (1, [LEAVING]), (2, alive_2)]
                + [(2 + late, [LEAVING])],
                False,
            ),
            (
                "leaving before it was met",
                [(0, [LEAVING]), (1, alive_1)],
                False,
            ),
            (
                "called back on the list",
                [(0, [LIVE]), (0, alive_1), (1, [LEAVING]), (2, [LIVE])],
                True,
            ),
            ("moved", [(0, [LIVE]), (0, alive_1), (1, [MOVED]), (2, alive_2)], True),
        ]
        for name, steps, usable in cases:
            with self.subTest(name):
                self.assertEqual(self._run(steps), usable)

    def _run(self, steps):
        directory = members.Directory()
        for now, step in steps:
            if isinstance(step, list):
                directory.apply_list(step, now)
                directory.remove_stale(now)
                continue
            member = directory.by_id["e1"]
            if step == "lost":
                member.mark_lost(now)
            elif step == "leave":
                member.mark_leaving()
            else:
                member.mark_alive(step[1], now)
        member = directory.by_id.get("e1")
        return None if member is None else member.alive and not member.leaving

    def test_moves(self):
        cases = [
            # second list, alive, whether the link is opened anew
            ([LIVE], True, False),
            ([MOVED], True, True),
            ([MOVED], False, True),
        ]
        for hosts, alive, opened in cases:
            with self.subTest(hosts=hosts, alive=alive):
                directory = members.Directory()
                directory.apply_list([LIVE], 0.0)
                if alive:
                    directory.by_id["e1"].mark_alive("inc-1", 0.0)
                fresh = directory.apply_list(hosts, 1.0)
                self.assertEqual(bool(fresh), opened)

    def test_an_old_line_does_not_move_what_announced_itself(self):
        directory = members.Directory()
        directory.apply_list([LIVE], 0.0)
        self.assertEqual(len(directory.add_reported([MOVED], 1.0)), 1)
        self.assertEqual(directory.apply_list([LIVE], 1.5), [])
        directory.by_id["e1"].mark_alive("inc-2", 1.0)
        self.assertEqual(directory.apply_list([LIVE], 2.0), [])
        self.assertEqual(directory.add_reported([LIVE], 2.0), [])
        directory.by_id["e1"].mark_lost(3.0)
        self.assertEqual(directory.apply_list([LIVE], 4.0), [])
        self.assertEqual(len(directory.apply_list([LIVE], 6.0)), 1)


class RendezvousTest(unittest.TestCase):
    def test_choice_is_stable_and_spread(self):
        ids = [f"entry-{i}" for i in range(73)]
        load = dict.fromkeys(ids, 0)
        for number in range(833):
            chosen = members.choose(f"agent-{number}", ids, 3)
            self.assertEqual(len(set(chosen)), 3)
            self.assertEqual(chosen, members.choose(f"agent-{number}", ids[::-1], 3))
            without = [item for item in ids if item != chosen[0]]
            left = members.choose(f"agent-{number}", without, 3)
            self.assertEqual(left[:2], chosen[1:])
            for item in chosen:
                load[item] += 1
        self.assertLess(max(load.values()), 3 * 833 * 3 / 73)

    def test_ranks_are_a_permutation(self):
        ids = [f"entry-{i}" for i in range(9)]
        ranks = sorted(members.rank("north", item, ids) for item in ids)
        self.assertEqual(ranks, list(range(9)))


class HostTest(unittest.TestCase):
    def test_malformed_hosts_are_dropped(self):
        good = dataclasses.asdict(LIVE)
        self.assertEqual(members.host_from_document(good | {"newer": 1}), LIVE)
        for bad in (None, {}, good | {"port": "x"}, good | {"serves": "x"}):
            with self.subTest(bad):
                self.assertIsNone(members.host_from_document(bad))
