"""Simulates entries that exchange usage through collectors."""

import collections
import random

from sequoiagap import admission, members, wire

TICK_S = 0.25
ROUND_TICKS = 4
SILENCE_S = 2.0
FRAME_HEADER_BYTES = 4


class Entry:
    """Holds an entry's own counts and both sides of its usage exchange.

    :param str node_id: id of the entry.
    :param str failure_domain: failure domain of the entry.
    """

    def __init__(self, node_id, failure_domain):
        self.node_id = node_id
        self.failure_domain = failure_domain
        self.count_by_account = {}
        self.collected = admission.CollectedUsage(node_id)
        self.collector = admission.UsageCollector(node_id, failure_domain)

    def receive(self, message, now):
        """Handle a message of the exchange."""
        if isinstance(message, admission.EntryUsage):
            self.collector.record_entry_usage(message, now)
        elif isinstance(message, admission.DomainUsage):
            self.collector.record_domain_usage(message, now)
        else:
            self.collected.record(message, now)


class UsageFleet:
    """Simulates many entries on a virtual clock, with random connection failures.

    :param int entries: number of entries, spread over the failure domains.
    :param tuple domains: names of the failure domains.
    :param int seed: seed of all random choices.
    :param float loss: share of messages that are lost with their connection.
    """

    def __init__(self, entries, domains=("north", "middle", "south"), seed=1, loss=0.0):
        self.random_state = random.Random(seed)
        self.loss = loss
        self.now = 100.0
        self.by_id = {}
        self.bytes_sent = collections.Counter()
        self.bytes_received = collections.Counter()
        for number in range(entries):
            domain = domains[number % len(domains)]
            self.by_id[f"{domain}-{number}"] = Entry(f"{domain}-{number}", domain)
        self.dead = set()
        self.partitioned = set()
        self._cut_at = 0.0
        self._generation_by_pair = collections.Counter()
        self._connection_by_key = {}

    def collectors_by_domain(self):
        """Return the collectors that every entry selects; dead entries stay listed."""
        ids_by_domain = collections.defaultdict(list)
        for node_id, entry in self.by_id.items():
            ids_by_domain[entry.failure_domain].append(node_id)
        return {
            domain: members.choose(domain, ids, admission.COLLECTORS_PER_DOMAIN)
            for domain, ids in ids_by_domain.items()
        }

    def kill(self, node_id):
        """Stop an entry; its connections end at once."""
        self.dead.add(node_id)

    def cut(self, node_ids):
        """Partition entries; their connections become silent and end later."""
        self.partitioned = set(node_ids)
        self._cut_at = self.now

    def run(self, seconds, each_tick=lambda: None):
        """Advance the clock; entries run their rounds at different times."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for number, entry in enumerate(self.by_id.values()):
                is_due = (round(self.now / TICK_S) + number) % ROUND_TICKS == 0
                if is_due and entry.node_id not in self.dead:
                    self._run_round(entry)
            each_tick()

    def true_counts(self, entry):
        """Return the true counts of an entry's accounts at all other live entries."""
        true_counts = collections.Counter()
        for other in self.by_id.values():
            if other is not entry and other.node_id not in self.dead:
                true_counts.update(
                    {a: c.in_flight for a, c in other.count_by_account.items()}
                )
        return {account: true_counts[account] for account in entry.count_by_account}

    def errors(self, entry):
        """Return the relative errors of an entry's estimates of remote counts."""
        remote_counts = entry.collected.remote_counts(self.now)
        return [
            abs(remote_counts.get(account, admission.RequestCount()).in_flight - value)
            / value
            for account, value in self.true_counts(entry).items()
            if value
        ]

    def _run_round(self, entry):
        collectors = self.collectors_by_domain()

        def find(receiver):
            return self._find_connection(entry.node_id, receiver)

        collector_ids = collectors[entry.failure_domain]
        messages = entry.collected.make_messages(
            self.now, entry.count_by_account, collector_ids, find
        )
        messages += entry.collector.make_messages(self.now, collectors, find)
        for receiver, message in messages:
            self._deliver(entry.node_id, receiver, message)

    def _find_connection(self, sender, receiver):
        if receiver in self.dead:
            return None
        is_partitioned = (sender in self.partitioned) != (receiver in self.partitioned)
        if is_partitioned and self.now - self._cut_at > SILENCE_S:
            self._generation_by_pair[sender, receiver] += 1
            return None
        key = (sender, receiver, self._generation_by_pair[sender, receiver])
        return self._connection_by_key.setdefault(key, object())

    def _deliver(self, sender, receiver, message):
        if sender != receiver:
            size = len(wire.encode(message)) + FRAME_HEADER_BYTES
            self.bytes_sent[sender] += size
            self.bytes_received[receiver] += size
        if (sender in self.partitioned) != (receiver in self.partitioned):
            return
        if sender != receiver and self.random_state.random() < self.loss:
            self._generation_by_pair[sender, receiver] += 1
            return
        self.by_id[receiver].receive(wire.decode(wire.encode(message)), self.now)
