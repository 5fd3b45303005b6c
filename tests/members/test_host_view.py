"""Host lists, and the changes from one list to the next."""

import dataclasses
import random
import unittest

from sequoiagap import members, platform, wire

SEEDS = range(8)
ROUNDS = 60
MANY_HOSTS = 700


def make_host(number, port=1):
    """Return a host with a numbered id."""
    return platform.HostEntry(f"h{number}", "agent", "10.0.0.1", port, "north")


class HostViewTest(unittest.TestCase):
    def test_changes_result_in_the_list_or_are_rejected(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                random_state = random.Random(seed)
                hosts, poller = {}, members.HostView()
                followers = [members.HostView() for _ in range(3)]
                for view in [poller, *followers]:
                    view.replace([])
                for _ in range(ROUNDS):
                    self._change(hosts, random_state)
                    for change in poller.replace(list(hosts.values())):
                        sent = wire.decode(wire.encode(change))
                        for view in followers:
                            self._deliver(view, sent, random_state)
                self.assertEqual(followers[0].by_id, hosts)

    def _change(self, hosts, random_state):
        number = random_state.randrange(9)
        if random_state.random() < 0.3:
            hosts.pop(f"h{number}", None)
        else:
            hosts[f"h{number}"] = make_host(number, random_state.randrange(1, 4))

    def _deliver(self, view, change, random_state):
        """Deliver a change; it is applied only to a list with the base digest."""
        before = view.digest
        applied = view.apply(change)
        self.assertEqual(applied, before == change.base)
        self.assertEqual(view.digest, change.digest if applied else before)

    def test_rejected_changes_leave_the_list_unchanged(self):
        hosts = [make_host(1), make_host(2)]
        poller = members.HostView()
        poller.replace(hosts)
        base = poller.digest
        (good,) = poller.replace([*hosts, make_host(3)])
        cases = [
            ("other base", {"base": "x"}),
            ("other digest", {"digest": "x"}),
            ("malformed host", {"hosts": [{"host_id": 3}]}),
            ("host without fields", {"hosts": ["h3"]}),
            ("malformed id", {"gone": [3]}),
            ("additional removed host", {"gone": ["h1"]}),
        ]
        view = members.HostView()
        self.assertFalse(view.apply(good))
        view.replace(hosts)
        for name, fields in cases:
            with self.subTest(name):
                self.assertFalse(view.apply(dataclasses.replace(good, **fields)))
                self.assertEqual(view.digest, base)
                self.assertEqual(sorted(view.by_id), ["h1", "h2"])
        self.assertTrue(view.apply(good))

    def test_large_changes_are_split(self):
        poller, follower = members.HostView(), members.HostView()
        follower.replace([])
        changes = poller.replace([make_host(number) for number in range(MANY_HOSTS)])
        changes += poller.replace([make_host(0, port=2)])
        self.assertEqual(len(changes), 6)
        for change in changes:
            self.assertTrue(follower.apply(change))
        self.assertEqual(follower.by_id, poller.by_id)
