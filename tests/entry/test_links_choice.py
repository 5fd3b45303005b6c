"""Which agents an entry links: balance, cover, stability under loss."""

import collections
import unittest

from sequoiagap import platform
from sequoiagap.entry import _chooser

MODELS = 5


def make_fleet(domains, entries, agents):
    """Return agents by id and the failure domain of each entry."""
    hosts, domain_by_entry = {}, {}
    for d in range(domains):
        for e in range(entries):
            domain_by_entry[f"entry-{d}-{e}"] = f"domain-{d}"
        for a in range(agents):
            name = f"agent-{d}-{a}"
            serves = [f"model-{a % MODELS}"]
            hosts[name] = platform.HostEntry(
                name, "agent", "10.0.0.1", 1, f"domain-{d}", serves=serves
            )
    return hosts, domain_by_entry


def choose_all(hosts, domain_by_entry, max_links, **options):
    """Return the choice of each entry."""
    return {
        entry: set(
            _chooser.LinkChooser(entry, domain, max_links)
            .fit(hosts, domain_by_entry)
            .choose(**options)
        )
        for entry, domain in domain_by_entry.items()
    }


class ChoiceTest(unittest.TestCase):
    def setUp(self):
        self.hosts, self.entries = make_fleet(domains=3, entries=12, agents=90)
        self.max_links = 60
        self.chosen = choose_all(self.hosts, self.entries, self.max_links)

    def domain(self, agent):
        return self.hosts[agent].failure_domain

    def degrees(self, chosen):
        """Return by how many entries each agent is linked."""
        counts = collections.Counter(a for ids in chosen.values() for a in ids)
        return [counts[agent] for agent in self.hosts]

    def test_a_small_fleet_keeps_all_links(self):
        hosts, entries = make_fleet(domains=3, entries=1, agents=5)
        for ids in choose_all(hosts, entries, _chooser.MAX_LINKS).values():
            self.assertEqual(ids, set(hosts))

    def test_links_are_bounded_and_spread_over_agents(self):
        self.assertEqual({len(ids) for ids in self.chosen.values()}, {self.max_links})
        degrees = self.degrees(self.chosen)
        mean = sum(degrees) / len(degrees)
        self.assertGreaterEqual(min(degrees), _chooser.MIN_ENTRIES_PER_AGENT)
        self.assertLessEqual(max(degrees), 2 * mean)
        near = self.degrees(
            {
                entry: {a for a in ids if self.domain(a) == self.entries[entry]}
                for entry, ids in self.chosen.items()
            }
        )
        mean = sum(near) / len(near)
        self.assertGreaterEqual(min(near), mean / 2)
        self.assertLessEqual(max(near), mean * 3 / 2)

    def test_each_model_is_served_near_and_from_afar(self):
        for entry, ids in self.chosen.items():
            near = collections.Counter()
            far = collections.Counter()
            for agent in ids:
                is_near = self.domain(agent) == self.entries[entry]
                (near if is_near else far).update(self.hosts[agent].serves)
            self.assertEqual((len(near), len(far)), (MODELS, MODELS))
            both = near + far
            self.assertGreaterEqual(min(both.values()), _chooser.MIN_AGENTS_PER_TARGET)
            self.assertGreater(near.total(), 2 * far.total())
            self.assertGreaterEqual(far.total(), self.max_links / 5)

    def test_a_model_that_few_agents_serve_is_linked_everywhere(self):
        few = [f"agent-{d}-{a}" for d in (0, 2) for a in (3, 50)]
        for agent in few:
            self.hosts[agent].serves.append("rare")
        for ids in choose_all(self.hosts, self.entries, self.max_links).values():
            self.assertLessEqual(set(few), ids)

    def test_near_and_far_agents_of_a_model_take_turns_on_demand(self):
        chooser = _chooser.LinkChooser("entry-0-0", "domain-0", self.max_links)
        chooser.fit(self.hosts, self.entries)
        order = [
            self.domain(a) == "domain-0" for a in chooser.agents_serving("model-1")
        ]
        self.assertEqual(order[:6], [True, False] * 3)
        self.assertEqual(len(order), len(self.hosts) / MODELS)

    def test_every_agent_stays_linked_when_an_entry_is_lost(self):
        for lost in list(self.entries)[::5]:
            rest = {e: ids for e, ids in self.chosen.items() if e != lost}
            self.assertGreaterEqual(
                min(self.degrees(rest)), _chooser.MIN_ENTRIES_PER_AGENT - 1
            )

    def test_a_lost_agent_moves_only_its_own_share(self):
        for agent in list(self.hosts)[::40]:
            after = choose_all(self.hosts, self.entries, self.max_links, lost={agent})
            for entry, ids in self.chosen.items():
                self.assertLessEqual(ids - after[entry], {agent})
                self.assertEqual(len(after[entry]), self.max_links)

    def test_a_lost_entry_moves_little_more_than_its_own_share(self):
        lost = next(iter(self.entries))
        rest = {e: d for e, d in self.entries.items() if e != lost}
        after = choose_all(self.hosts, rest, self.max_links)
        moved = sum(len(self.chosen[entry] - after[entry]) for entry in rest)
        self.assertLessEqual(moved, self.max_links)
        self.assertGreaterEqual(
            min(self.degrees(after)), _chooser.MIN_ENTRIES_PER_AGENT
        )

    def test_a_lost_failure_domain_is_replaced_by_the_others(self):
        lost = {agent for agent in self.hosts if self.domain(agent) == "domain-0"}
        after = choose_all(self.hosts, self.entries, self.max_links, lost=lost)
        for ids in after.values():
            self.assertEqual((len(ids), ids & lost), (self.max_links, set()))

    def test_agents_of_a_domain_that_is_out_keep_a_few_links(self):
        out = {agent for agent in self.hosts if self.domain(agent) == "domain-0"}
        after = choose_all(self.hosts, self.entries, self.max_links, inactive=out)
        self.assertGreaterEqual(
            min(self.degrees(after)), _chooser.MIN_ENTRIES_PER_AGENT
        )
        for ids in after.values():
            self.assertGreater(len(ids - out), self.max_links / 3)

    def test_agents_of_a_domain_without_entries_are_linked_from_others(self):
        left = {e: d for e, d in self.entries.items() if d != "domain-0"}
        chosen = choose_all(self.hosts, left, self.max_links)
        self.assertGreaterEqual(min(self.degrees(chosen)), 2)
