"""Seeded simulation of propagation with loss, reordering, restarts and partitions."""

import random
import unittest

from sequoiagap import config, wire
from tests import support

PROCESSES = 7
STEPS = 1500
SEEDS = range(12)
LOSS_PROBABILITY = 0.15
DUPLICATE_PROBABILITY = 0.1
SETTLE_ROUNDS = 12


class Network:
    """Simulates processes, messages in transit and the versions in the platform."""

    def __init__(self, random_state):
        self.random_state = random_state
        self.versions = [config.ConfigVersion()]
        self.steps = []
        self.replicas = [self.new_replica() for _ in range(PROCESSES)]
        self.in_transit = []
        self.side_by_process = [0] * PROCESSES
        self.digest_by_number = {}
        self.number_by_process = [0] * PROCESSES
        self.problems = []

    def new_replica(self):
        """Return the replica of a process without a configuration."""
        return config.ConfigReplica(config.ConfigHolder())

    def send(self, source, target, item):
        """Send a message, encoded as on the wire."""
        if item is not None:
            self.in_transit.append((source, target, wire.encode(item)))

    def deliver(self):
        """Deliver, lose or duplicate a random message in transit."""
        if not self.in_transit:
            return
        index = self.random_state.randrange(len(self.in_transit))
        source, target, payload = self.in_transit[index]
        if self.random_state.random() >= DUPLICATE_PROBABILITY:
            del self.in_transit[index]
        is_partitioned = self.side_by_process[source] != self.side_by_process[target]
        if is_partitioned or self.random_state.random() < LOSS_PROBABILITY:
            return
        self.send(target, source, self.handle(target, source, wire.decode(payload)))
        self.check(target)

    def handle(self, target, source, item):
        """Handle a message at a process and return the reply."""
        replica = self.replicas[target]
        match item:
            case config.ConfigOffer():
                return replica.on_offer(item)
            case config.ConfigPull():
                return replica.on_pull(item)
            case config.ConfigDelta():
                return replica.on_delta(item, str(source))
            case config.ConfigBody():
                replica.on_body(item, str(source))
        return None

    def offer(self):
        """Send an offer from one random process to another."""
        source, target = self.random_state.sample(range(PROCESSES), 2)
        self.send(source, target, self.replicas[source].offer())

    def accept(self):
        """Accept a random patch in the platform, submitted by a random process."""
        process = self.random_state.randrange(PROCESSES)
        if self.side_by_process[process]:
            return
        name = f"m{self.random_state.randrange(5)}"
        value = self.random_state.choice([None, {}, {"repeatable": False}])
        version = self.versions[-1].apply([{"models": {name: value}}])
        self.versions.append(version)
        self.steps.append(config.Step(version.number, {"models": {name: value}}))
        self.adopt(process, version.number)

    def watch(self):
        """Let a process read the platform, which may return an older version."""
        process = self.random_state.randrange(PROCESSES)
        if not self.side_by_process[process]:
            self.adopt(process, self.random_state.randrange(len(self.versions)))

    def adopt(self, process, number):
        """Let a process adopt a version of the platform with its latest steps."""
        steps = self.steps[max(number - 6, 0) : number]
        holder = self.replicas[process].holder
        holder.adopt(self.versions[number], "platform", steps)
        self.check(process)

    def restart(self):
        """Restart a random process without its state."""
        process = self.random_state.randrange(PROCESSES)
        self.replicas[process] = self.new_replica()
        self.number_by_process[process] = 0

    def partition(self):
        """Partition the processes; side 1 can't reach the platform."""
        is_partitioned = self.random_state.random() < 0.5
        self.side_by_process = [
            self.random_state.randrange(2) if is_partitioned else 0
            for _ in range(PROCESSES)
        ]

    def check(self, process):
        """Record a problem if a version decreased or has two contents."""
        current = self.replicas[process].holder.current_
        if current.number < self.number_by_process[process]:
            self.problems.append(
                f"{self.number_by_process[process]} decreased to {current.number}"
            )
        self.number_by_process[process] = current.number
        digest = self.digest_by_number.setdefault(current.number, current.digest)
        if digest != current.digest:
            self.problems.append(f"two contents of version {current.number}")

    def settle(self):
        """Heal the partition and exchange offers between all processes."""
        self.side_by_process = [0] * PROCESSES
        self.adopt(0, len(self.versions) - 1)
        for _ in range(SETTLE_ROUNDS):
            for source in range(PROCESSES):
                for target in range(PROCESSES):
                    if source != target:
                        self.send(source, target, self.replicas[source].offer())
            while self.in_transit:
                self.deliver()


class SpreadModelTest(unittest.TestCase):
    def test_versions_increase_and_converge(self):
        support.silence_logs()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                network = self._run(random.Random(seed))
                self.assertEqual(network.problems, [])
                network.settle()
                self.assertEqual(network.problems, [])
                last = network.versions[-1]
                for replica in network.replicas:
                    current = replica.holder.current_
                    self.assertEqual(current.number, last.number)
                    self.assertEqual(current.digest, last.digest)

    def _run(self, random_state):
        network = Network(random_state)
        actions = [network.deliver, network.offer, network.accept, network.watch]
        actions += [network.restart, network.partition]
        weights = [60, 20, 8, 4, 2, 1]
        for _ in range(STEPS):
            random_state.choices(actions, weights)[0]()
        self.assertGreater(len(network.versions), 50)
        return network
