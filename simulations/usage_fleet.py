"""Entries in memory that exchange usage by way of collectors."""

import collections
import random

from sequoiagap import admission, members, wire

TICK_S = 0.25
ROUND_TICKS = 4
SILENCE_S = 2.0
FRAME_HEAD_BYTES = 4


class Entry:
    """One entry: its own counts, and both parts of the exchange.

    :param str node_id: its id.
    :param str failure_domain: where it stands.
    """

    def __init__(self, node_id, failure_domain):
        self.node_id = node_id
        self.failure_domain = failure_domain
        self.sheet = {}
        self.collected = admission.CollectedUsage(node_id)
        self.collector = admission.UsageCollector(node_id, failure_domain)

    def take(self, message, now):
        """Take a message of the exchange."""
        if isinstance(message, admission.EntryUsage):
            self.collector.record_entry_usage(message, now)
        elif isinstance(message, admission.DomainUsage):
            self.collector.record_domain_usage(message, now)
        else:
            self.collected.record(message, now)


class UsageFleet:
    """Some dozen entries with a clock of their own; connections break by seed.

    :param int entries: how many, spread over the failure domains.
    :param tuple domains: the failure domains.
    :param int seed: seed of everything random.
    :param float loss: share of messages whose connection breaks under them.
    """

    def __init__(self, entries, domains=("north", "middle", "south"), seed=1, loss=0.0):
        self.random_state = random.Random(seed)
        self.loss = loss
        self.now = 100.0
        self.by_id = {}
        self.bytes_sent = collections.Counter()
        self.bytes_taken = collections.Counter()
        for number in range(entries):
            domain = domains[number % len(domains)]
            self.by_id[f"{domain}-{number}"] = Entry(f"{domain}-{number}", domain)
        self.dead = set()
        self.cut_off = set()
        self._cut_at = 0.0
        self._generation_by_pair = collections.Counter()
        self._connection_by_key = {}

    def collectors_by_domain(self):
        """Return the collectors as every entry chooses them; the list lags."""
        ids_by_domain = collections.defaultdict(list)
        for node_id, entry in self.by_id.items():
            ids_by_domain[entry.failure_domain].append(node_id)
        return {
            domain: members.choose(domain, ids, admission.COLLECTORS_PER_DOMAIN)
            for domain, ids in ids_by_domain.items()
        }

    def kill(self, node_id):
        """Lose an entry; its connections end at once."""
        self.dead.add(node_id)

    def cut(self, node_ids):
        """Cut entries off; connections fall silent and end later."""
        self.cut_off = set(node_ids)
        self._cut_at = self.now

    def run(self, seconds, each_tick=lambda: None):
        """Let time pass; entries take their rounds at different moments."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for number, entry in enumerate(self.by_id.values()):
                is_due = (round(self.now / TICK_S) + number) % ROUND_TICKS == 0
                if is_due and entry.node_id not in self.dead:
                    self._take_round(entry)
            each_tick()

    def truth(self, entry):
        """Return what the accounts of an entry have at all others that live."""
        truth = collections.Counter()
        for other in self.by_id.values():
            if other is not entry and other.node_id not in self.dead:
                truth.update({a: c.in_flight for a, c in other.sheet.items()})
        return {account: truth[account] for account in entry.sheet}

    def errors(self, entry):
        """Return by which share of the truth an entry's belief is off."""
        others = entry.collected.remote_counts(self.now)
        return [
            abs(others.get(account, admission.RequestCount()).in_flight - value) / value
            for account, value in self.truth(entry).items()
            if value
        ]

    def _take_round(self, entry):
        collectors = self.collectors_by_domain()

        def find(receiver):
            return self._find_connection(entry.node_id, receiver)

        own = collectors[entry.failure_domain]
        messages = entry.collected.make_messages(self.now, entry.sheet, own, find)
        messages += entry.collector.make_messages(self.now, collectors, find)
        for receiver, message in messages:
            self._deliver(entry.node_id, receiver, message)

    def _find_connection(self, sender, receiver):
        if receiver in self.dead:
            return None
        crosses = (sender in self.cut_off) != (receiver in self.cut_off)
        if crosses and self.now - self._cut_at > SILENCE_S:
            self._generation_by_pair[sender, receiver] += 1
            return None
        key = (sender, receiver, self._generation_by_pair[sender, receiver])
        return self._connection_by_key.setdefault(key, object())

    def _deliver(self, sender, receiver, message):
        if sender != receiver:
            size = len(wire.encode(message)) + FRAME_HEAD_BYTES
            self.bytes_sent[sender] += size
            self.bytes_taken[receiver] += size
        if (sender in self.cut_off) != (receiver in self.cut_off):
            return
        if sender != receiver and self.random_state.random() < self.loss:
            self._generation_by_pair[sender, receiver] += 1
            return
        self.by_id[receiver].take(wire.decode(wire.encode(message)), self.now)
