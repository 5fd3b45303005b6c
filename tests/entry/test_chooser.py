"""Choice of linked agents: balance, coverage of models and stability under failures."""

import collections
import unittest

from sequoiagap import platform
from sequoiagap.entry import _chooser

MODELS = 5


def make_fleet(domains, entries, agents):
    """Return hosts of agents by id, and failure domains by entry."""
    hosts, domain_by_entry = {}, {}
    for domain_index in range(domains):
        for entry_index in range(entries):
            domain_by_entry[f"entry-{domain_index}-{entry_index}"] = (
                f"domain-{domain_index}"
            )
        for agent_index in range(agents):
            name = f"agent-{domain_index}-{agent_index}"
            serves = [f"model-{agent_index % MODELS}"]
            hosts[name] = platform.HostEntry(
                name, "agent", "10.0.0.1", 1, f"domain-{domain_index}", serves=serves
            )
    return hosts, domain_by_entry


def choose_all(hosts, domain_by_entry, max_links, **options):
    """Return the ids of the chosen agents, by entry."""
    return {
        entry: set(
            _chooser.LinkChooser(entry, domain, max_links)
            .fit(hosts, domain_by_entry)
            .choose(**options)
        )
        for entry, domain in domain_by_entry.items()
    }


class LinkChooserTest(unittest.TestCase):
    def setUp(self):
        self.hosts, self.entries = make_fleet(domains=3, entries=12, agents=90)
        self.max_links = 60
        self.chosen = choose_all(self.hosts, self.entries, self.max_links)

    def domain(self, agent):
        return self.hosts[agent].failure_domain

    def degrees(self, chosen):
        """Return the number of entries that link each agent."""
        counts = collections.Counter(i for ids in chosen.values() for i in ids)
        return [counts[agent] for agent in self.hosts]

    def test_small_fleet_links_all_agents(self):
        hosts, entries = make_fleet(domains=3, entries=1, agents=5)
        for ids in choose_all(hosts, entries, _chooser.MAX_LINKS).values():
            self.assertEqual(ids, set(hosts))

    def test_links_are_limited_and_balanced_over_agents(self):
        self.assertEqual({len(ids) for ids in self.chosen.values()}, {self.max_links})
        degrees = self.degrees(self.chosen)
        mean = sum(degrees) / len(degrees)
        self.assertGreaterEqual(min(degrees), _chooser.MIN_ENTRIES_PER_AGENT)
        self.assertLessEqual(max(degrees), 2 * mean)
        local = self.degrees(
            {
                entry: {a for a in ids if self.domain(a) == self.entries[entry]}
                for entry, ids in self.chosen.items()
            }
        )
        mean = sum(local) / len(local)
        self.assertGreaterEqual(min(local), mean / 2)
        self.assertLessEqual(max(local), mean * 3 / 2)

    def test_each_model_has_local_and_remote_agents(self):
        for entry, ids in self.chosen.items():
            local = collections.Counter()
            remote = collections.Counter()
            for agent in ids:
                is_local = self.domain(agent) == self.entries[entry]
                (local if is_local else remote).update(self.hosts[agent].serves)
            self.assertEqual((len(local), len(remote)), (MODELS, MODELS))
            total = local + remote
            self.assertGreaterEqual(min(total.values()), _chooser.MIN_AGENTS_PER_TARGET)
            self.assertGreater(local.total(), 2 * remote.total())
            self.assertGreaterEqual(remote.total(), self.max_links / 5)

    def test_agents_of_rare_model_are_linked_by_all_entries(self):
        rare_agents = [
            f"agent-{domain_index}-{agent_index}"
            for domain_index in (0, 2)
            for agent_index in (3, 50)
        ]
        for agent in rare_agents:
            self.hosts[agent].serves.append("rare")
        for ids in choose_all(self.hosts, self.entries, self.max_links).values():
            self.assertLessEqual(set(rare_agents), ids)

    def test_local_and_remote_agents_alternate_on_demand(self):
        chooser = _chooser.LinkChooser("entry-0-0", "domain-0", self.max_links)
        chooser.fit(self.hosts, self.entries)
        is_local_in_order = [
            self.domain(agent) == "domain-0"
            for agent in chooser.agents_serving("model-1")
        ]
        self.assertEqual(is_local_in_order[:6], [True, False] * 3)
        self.assertEqual(len(is_local_in_order), len(self.hosts) / MODELS)

    def test_every_agent_stays_linked_when_an_entry_is_lost(self):
        for lost in list(self.entries)[::5]:
            remaining_entries = {e: ids for e, ids in self.chosen.items() if e != lost}
            self.assertGreaterEqual(
                min(self.degrees(remaining_entries)), _chooser.MIN_ENTRIES_PER_AGENT - 1
            )

    def test_lost_agent_changes_only_its_own_links(self):
        for agent in list(self.hosts)[::40]:
            after = choose_all(self.hosts, self.entries, self.max_links, lost={agent})
            for entry, ids in self.chosen.items():
                self.assertLessEqual(ids - after[entry], {agent})
                self.assertEqual(len(after[entry]), self.max_links)

    def test_lost_entry_changes_few_other_links(self):
        lost = next(iter(self.entries))
        remaining_entries = {e: d for e, d in self.entries.items() if e != lost}
        after = choose_all(self.hosts, remaining_entries, self.max_links)
        removed_count = sum(
            len(self.chosen[entry] - after[entry]) for entry in remaining_entries
        )
        self.assertLessEqual(removed_count, self.max_links)
        self.assertGreaterEqual(
            min(self.degrees(after)), _chooser.MIN_ENTRIES_PER_AGENT
        )

    def test_lost_failure_domain_is_replaced_by_other_domains(self):
        lost = {agent for agent in self.hosts if self.domain(agent) == "domain-0"}
        after = choose_all(self.hosts, self.entries, self.max_links, lost=lost)
        for ids in after.values():
            self.assertEqual((len(ids), ids & lost), (self.max_links, set()))

    def test_inactive_agents_keep_a_few_links(self):
        inactive_ids = {
            agent for agent in self.hosts if self.domain(agent) == "domain-0"
        }
        after = choose_all(
            self.hosts, self.entries, self.max_links, inactive=inactive_ids
        )
        self.assertGreaterEqual(
            min(self.degrees(after)), _chooser.MIN_ENTRIES_PER_AGENT
        )
        for ids in after.values():
            self.assertGreater(len(ids - inactive_ids), self.max_links / 3)

    def test_agents_of_domain_without_entries_are_linked_by_other_domains(self):
        remaining = {e: d for e, d in self.entries.items() if d != "domain-0"}
        chosen = choose_all(self.hosts, remaining, self.max_links)
        self.assertGreaterEqual(min(self.degrees(chosen)), 2)
