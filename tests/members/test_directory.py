"""Membership directory: outdated lists don't override connections and incarnations."""

import dataclasses
import unittest

from sequoiagap import members, platform

LIVE = platform.HostEntry("e1", "agent", "10.0.0.1", 7000, "north")
LEAVING = dataclasses.replace(LIVE, state="leaving")
MOVED = dataclasses.replace(LIVE, address="10.0.0.2")


class DirectoryTest(unittest.TestCase):
    def test_lists_and_connections(self):
        after_lag_s = members.MAX_LIST_LAG_S + 1.0
        after_grace_s = members.UNLISTED_GRACE_S + 1.0
        alive_1 = ("alive", "inc-1")
        alive_2 = ("alive", "inc-2")
        cases = [
            # name, (time, step) pairs, whether the member may receive work afterwards
            ("listed", [(0, [LIVE]), (0, alive_1)], True),
            ("not connected", [(0, [LIVE])], False),
            ("lost", [(0, [LIVE]), (0, alive_1), (1, "lost")], False),
            (
                "unlisted but alive",
                [(0, [LIVE]), (0, alive_1), (after_grace_s, [])],
                True,
            ),
            (
                "unlisted and lost",
                [(0, [LIVE]), (0, alive_1), (1, "lost"), (2, [])],
                False,
            ),
            ("unlisted, then connected", [(0, [LIVE]), (1, []), (2, alive_1)], True),
            ("removed", [(0, [LIVE]), (after_grace_s, [])], None),
            (
                "announces that it leaves",
                [(0, [LIVE]), (0, alive_1), (1, "leave")],
                False,
            ),
            (
                "leaves, then reconnects while the list lags",
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
                "the list shows it longer than the lag",
                [(0, [LIVE]), (0, alive_1), (1, [LEAVING]), (2, alive_2)]
                + [(2 + after_lag_s, [LEAVING])],
                False,
            ),
            (
                "listed as leaving before it connects",
                [(0, [LEAVING]), (1, alive_1)],
                False,
            ),
            (
                "no longer listed as leaving",
                [(0, [LIVE]), (0, alive_1), (1, [LEAVING]), (2, [LIVE])],
                True,
            ),
            ("moved", [(0, [LIVE]), (0, alive_1), (1, [MOVED]), (2, alive_2)], True),
        ]
        for name, steps, is_usable in cases:
            with self.subTest(name):
                self.assertEqual(self._run(steps), is_usable)

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

    def test_moved_members(self):
        cases = [
            # second list, whether alive, whether the member is returned as moved
            ([LIVE], True, False),
            ([MOVED], True, True),
            ([MOVED], False, True),
        ]
        for hosts, alive, is_returned in cases:
            with self.subTest(hosts=hosts, alive=alive):
                directory = members.Directory()
                directory.apply_list([LIVE], 0.0)
                if alive:
                    directory.by_id["e1"].mark_alive("inc-1", 0.0)
                added = directory.apply_list(hosts, 1.0)
                self.assertEqual(bool(added), is_returned)

    def test_outdated_list_does_not_replace_an_announced_address(self):
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
    def test_choice_is_stable_and_balanced(self):
        ids = [f"entry-{i}" for i in range(73)]
        load = dict.fromkeys(ids, 0)
        for number in range(833):
            chosen = members.choose(f"agent-{number}", ids, 3)
            self.assertEqual(len(set(chosen)), 3)
            self.assertEqual(chosen, members.choose(f"agent-{number}", ids[::-1], 3))
            others = [item for item in ids if item != chosen[0]]
            remaining = members.choose(f"agent-{number}", others, 3)
            self.assertEqual(remaining[:2], chosen[1:])
            for item in chosen:
                load[item] += 1
        self.assertLess(max(load.values()), 3 * 833 * 3 / 73)

    def test_ranks_are_a_permutation(self):
        ids = [f"entry-{i}" for i in range(9)]
        ranks = sorted(members.rank("north", item, ids) for item in ids)
        self.assertEqual(ranks, list(range(9)))


class HostTest(unittest.TestCase):
    def test_malformed_hosts_are_rejected(self):
        good = dataclasses.asdict(LIVE)
        self.assertEqual(members.host_from_document(good | {"newer": 1}), LIVE)
        for bad in (None, {}, good | {"port": "x"}, good | {"serves": "x"}):
            with self.subTest(bad):
                self.assertIsNone(members.host_from_document(bad))
