"""Routing policies: choice by wait, prefix, warm state and failure domain."""

import collections
import random
import unittest

from sequoiagap import routing, wire

NOW = 100.0
PROMPT = b'{"messages": [{"content": "' + b"basalt " * 600 + b'"}]}'


def make_view(number, domain="north", **values):
    """Return the view of a warm, connected endpoint with 16 slots."""
    values = {"state": "warm", "limit": 16, "service_time_s": 0.2} | values
    return routing.EndpointView(
        f"endpoint-{number}", domain, frozenset({"m"}), reported_at=NOW, **values
    )


def count_choices(views, context, policy="expected_wait", times=600):
    """Return how often each endpoint is chosen."""
    chosen = routing.POLICIES.get(policy)()
    random_state = random.Random(4)
    return collections.Counter(
        chosen.choose(views, random_state, context).endpoint_id for _ in range(times)
    )


class PolicyTest(unittest.TestCase):
    def test_what_a_choice_depends_on(self):
        busy = {"own_in_flight": 12}
        full = {"own_in_flight": 16}
        cases = {
            "less wait": (make_view(0, **busy), make_view(1)),
            "a free slot": (make_view(0, **full), make_view(1, own_in_flight=15)),
            "a heartbeat answered": (
                make_view(0, unanswered_s=0.3),
                make_view(1, "south", **full),
            ),
            "warm state": (make_view(0, state="warming"), make_view(1)),
            "own failure domain": (make_view(0, "south"), make_view(1)),
            "own failure domain before a little wait": (
                make_view(0, "south", limit=64),
                make_view(1, limit=64, own_in_flight=1),
            ),
            "wait before failure domain": (make_view(0, **busy), make_view(1, "south")),
        }
        context = routing.RouteContext(NOW, "north")
        for name, (worse, better) in cases.items():
            with self.subTest(name):
                chosen = count_choices([worse, better], context)
                self.assertEqual(set(chosen), {better.endpoint_id})

    def test_no_policy_sees_an_endpoint_whose_role_cannot_serve(self):
        roles = ("prefill", "decode", "changing", "of another kind")
        views = [make_view(0, own_in_flight=15)]
        views += [make_view(i, role=role) for i, role in enumerate(roles, 1)]
        able = routing.filter_by_role(views)
        context = routing.make_context(NOW, "north", "m", PROMPT)
        for policy in routing.POLICIES.by_name:
            with self.subTest(policy):
                self.assertEqual(
                    set(count_choices(able, context, policy)), {"endpoint-0"}
                )
        views[1].record_report(wire.Load("warm", 0, 16, role="both"), NOW)
        self.assertEqual(len(routing.filter_by_role(views)), 2)

    def test_entries_agree_on_a_prefix_until_its_endpoint_is_loaded(self):
        views = [make_view(i) for i in range(12)]
        contexts = [
            routing.make_context(NOW, domain, "m", PROMPT)
            for domain in ("north", "south")
        ]
        chosen = [set(count_choices(views, context)) for context in contexts]
        self.assertEqual(chosen[0], chosen[1])
        self.assertEqual(len(chosen[0]), 1)
        preferred = routing.choose_by_prefix(views, contexts[0].prefix)
        preferred.own_in_flight = 16
        self.assertNotIn(preferred.endpoint_id, count_choices(views, contexts[0]))

    def test_only_the_prefixes_of_a_lost_endpoint_move(self):
        views = [make_view(i) for i in range(12)]
        before = {p: routing.choose_by_prefix(views, p) for p in range(1, 500)}
        left = views[1:]
        for prefix, view in before.items():
            if view is not views[0]:
                self.assertIs(routing.choose_by_prefix(left, prefix), view)

    def test_entries_do_not_overload_one_idle_endpoint(self):
        """Twenty entries choose among busy endpoints and the same idle one."""
        arrived = collections.Counter()
        for entry in range(20):
            views = [make_view(i, reported_in_flight=8) for i in range(11)]
            views.append(make_view(11))
            policy = routing.POLICIES.get("expected_wait")()
            context = routing.RouteContext(NOW, "north")
            view = policy.choose(views, random.Random(entry), context)
            arrived[view.endpoint_id] += 1
        self.assertLessEqual(arrived["endpoint-11"], 20 / 2)

    def test_samples_of_slow_endpoints_only_are_extended(self):
        """The candidates are two ranks of a slow group and one fast endpoint."""
        slow = [make_view(i, service_time_s=1.6, own_in_flight=1) for i in range(2)]
        fast = make_view(2, own_in_flight=2)
        chosen = count_choices([*slow, fast], routing.RouteContext(NOW, "north"))
        self.assertGreater(chosen[fast.endpoint_id], 600 * 0.8)

    def test_reported_attempts_decay_with_age_but_own_attempts_do_not(self):
        view = make_view(0, own_in_flight=4)
        load = wire.Load("warm", in_flight=16, limit=16, service_time_s=0.2)
        view.record_report(load, NOW)
        self.assertEqual(view.free_slots(NOW), 0)
        self.assertEqual(view.free_slots(NOW + 60.0), 12)
        self.assertGreater(view.expected_wait_s(NOW), view.expected_wait_s(NOW + 1.0))
