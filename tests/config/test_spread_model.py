"""Seeded model of the spread over loss, reorder, restart and partition."""

import random
import unittest

from sequoiagap import config, wire
from tests import support

PROCESSES = 7
STEPS = 1500
SEEDS = range(12)
LOSS = 0.15
REPEAT = 0.1
SETTLE_ROUNDS = 12


class Network:
    """Processes, messages under way, and a platform that keeps one line."""

    def __init__(self, random_state):
        self.random_state = random_state
        self.line = [config.ConfigVersion()]
        self.steps = []
        self.replicas = [self.fresh() for _ in range(PROCESSES)]
        self.under_way = []
        self.side_by_process = [0] * PROCESSES
        self.digest_by_number = {}
        self.seen = [0] * PROCESSES
        self.problems = []

    def fresh(self):
        """Return the replica of a process that starts empty."""
        return config.ConfigReplica(config.ConfigHolder())

    def send(self, source, target, item):
        """Put a message under way; the codec is part of the model."""
        if item is not None:
            self.under_way.append((source, target, wire.encode(item)))

    def deliver(self):
        """Deliver, lose or repeat one message, in any order."""
        if not self.under_way:
            return
        index = self.random_state.randrange(len(self.under_way))
        source, target, payload = self.under_way[index]
        if self.random_state.random() >= REPEAT:
            del self.under_way[index]
        is_cut = self.side_by_process[source] != self.side_by_process[target]
        if is_cut or self.random_state.random() < LOSS:
            return
        self.send(target, source, self.handle(target, source, wire.decode(payload)))
        self.check(target)

    def handle(self, target, source, item):
        """Let a process handle a message; return its answer."""
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
        """Let one process offer to another."""
        source, target = self.random_state.sample(range(PROCESSES), 2)
        self.send(source, target, self.replicas[source].offer())

    def accept(self):
        """Accept a patch at the end of the platform's line, by one process."""
        process = self.random_state.randrange(PROCESSES)
        if self.side_by_process[process]:
            return
        name = f"m{self.random_state.randrange(5)}"
        value = self.random_state.choice([None, {}, {"repeatable": False}])
        version = self.line[-1].apply([{"models": {name: value}}])
        self.line.append(version)
        self.steps.append(config.Step(version.number, {"models": {name: value}}))
        self.adopt(process, version.number)

    def watch(self):
        """Let a process read the platform, which may answer an older version."""
        process = self.random_state.randrange(PROCESSES)
        if not self.side_by_process[process]:
            self.adopt(process, self.random_state.randrange(len(self.line)))

    def adopt(self, process, number):
        """Let a process take a version from the platform with recent steps."""
        steps = self.steps[max(number - 6, 0) : number]
        holder = self.replicas[process].holder
        holder.adopt(self.line[number], "platform", steps)
        self.check(process)

    def restart(self):
        """Replace a process by an empty one."""
        process = self.random_state.randrange(PROCESSES)
        self.replicas[process] = self.fresh()
        self.seen[process] = 0

    def partition(self):
        """Cut the processes into two sides; side 1 has no platform."""
        cut = self.random_state.random() < 0.5
        self.side_by_process = [
            self.random_state.randrange(2) if cut else 0 for _ in range(PROCESSES)
        ]

    def check(self, process):
        """Note a version that went down or that has two contents."""
        current = self.replicas[process].holder.current_
        if current.number < self.seen[process]:
            self.problems.append(f"{self.seen[process]} went to {current.number}")
        self.seen[process] = current.number
        digest = self.digest_by_number.setdefault(current.number, current.digest)
        if digest != current.digest:
            self.problems.append(f"two contents of version {current.number}")

    def settle(self):
        """Heal everything and let each process offer to each other."""
        self.side_by_process = [0] * PROCESSES
        self.adopt(0, len(self.line) - 1)
        for _ in range(SETTLE_ROUNDS):
            for source in range(PROCESSES):
                for target in range(PROCESSES):
                    if source != target:
                        self.send(source, target, self.replicas[source].offer())
            while self.under_way:
                self.deliver()


class SpreadModelTest(unittest.TestCase):
    def test_versions_go_up_on_one_line_and_meet(self):
        support.silence_logs()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                network = self._run(random.Random(seed))
                self.assertEqual(network.problems, [])
                network.settle()
                self.assertEqual(network.problems, [])
                last = network.line[-1]
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
        self.assertGreater(len(network.line), 50)
        return network
