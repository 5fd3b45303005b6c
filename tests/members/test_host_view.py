"""Host lists and the changes that lead from one to the next."""

import dataclasses
import random
import unittest

from sequoiagap import members, platform, wire

SEEDS = range(8)
ROUNDS = 60
MANY_HOSTS = 700


def make_host(number, port=1):
    """Return a host of a number."""
    return platform.HostEntry(f"h{number}", "agent", "10.0.0.1", port, "north")


class HostViewTest(unittest.TestCase):
    def test_changes_lead_to_the_list_or_are_refused(self):
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
        """Deliver a change; what missed one takes no other but a fitting one."""
        before = view.digest
        taken = view.apply(change)
        self.assertEqual(taken, before == change.base)
        self.assertEqual(view.digest, change.digest if taken else before)

    def test_changes_that_do_not_fit_leave_the_list_as_it_was(self):
        hosts = [make_host(1), make_host(2)]
        poller = members.HostView()
        poller.replace(hosts)
        base = poller.digest
        (good,) = poller.replace([*hosts, make_host(3)])
        cases = [
            ("other base", {"base": "x"}),
            ("other digest", {"digest": "x"}),
            ("malformed host", {"hosts": [{"host_id": 3}]}),
            ("no host", {"hosts": ["h3"]}),
            ("malformed id", {"gone": [3]}),
            ("more gone", {"gone": ["h1"]}),
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

    def test_large_changes_come_in_parts(self):
        poller, follower = members.HostView(), members.HostView()
        follower.replace([])
        changes = poller.replace([make_host(number) for number in range(MANY_HOSTS)])
        changes += poller.replace([make_host(0, port=2)])
        self.assertEqual(len(changes), 6)
        for change in changes:
            self.assertTrue(follower.apply(change))
        self.assertEqual(follower.by_id, poller.by_id)
