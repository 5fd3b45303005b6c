"""Pause, messages and processor time of an expert map change, by number of ranks.

Usage: ``python -m benchmarks.map_change [--changes N] [--ranks N ...]``. The real
decision code runs over simulated links, with the same delays for each protocol:

- arm-commit: ranks keep running until the armed step;
- hold-switch-release: ranks stop before the round and resume after it;
- leased leader: one order to all ranks without a round, as sent by a leader that
  relies on its lease; the leader is paused beyond its lease in the middle of every
  change, and the steps in which ranks use two maps are counted.

Time is simulated; the processor time is that of this process.
"""

import argparse
import heapq
import random
import statistics
import time

from simulations import group_world

from sequoiagap import experts, wire
from sequoiagap.standins import _rank_engine

STEP_S = 0.043
ARM_LEAD_STEPS = 8
LINK_MEDIAN_S = 0.0008
LINK_SIGMA = 0.6  # standard deviation of the logarithm of the delay
DELAYED_SHARE = 0.002  # of all messages
EXTRA_DELAY_S = 0.2
LOCAL_CALL_S = 0.0005  # delay of an order to the engine on the same host
LEADER_PAUSE_S = 2.0


class SimulatedGroup:
    """Rank group with real decision code and simulated engines, links and time.

    :param int ranks: number of ranks.
    :param str mode: how the engines switch maps.
    :param random.Random random_state: source of randomness.
    """

    def __init__(self, ranks, mode, random_state):
        self.mode = mode
        self.random = random_state
        first = experts.MapRef(1, "map-1", 0)
        self.engines = [
            _rank_engine.RankEngine(mode, True, first) for _ in range(ranks)
        ]
        self.states = [
            experts.RankState("g", r, ranks, f"inc-{r}", e.view())
            for r, e in enumerate(self.engines)
        ]
        for state in self.states:
            for peer in self.states:
                state.on_joined(
                    peer.on_join(state.join(peer.rank)).reply or _make_empty_reply()
                )
        self.events = []
        self.now = 0.0
        self.messages = 0
        self.bytes = 0
        self.longest_pause_s = 0.0
        self.violations = 0
        self.round = None
        self._sequence = 0
        self._blocked_at = None
        self._schedule(STEP_S, self._step)

    def change(self, version):
        """Change the map by a round.

        :param int version: version of the new map.
        :returns: messages, bytes, longest pause and duration, both in seconds.
        :rtype: tuple[int, int, float, float]
        """
        for engine in self.engines:
            engine.stage(f"map-{version}")
        start = self.now + self.random.uniform(0, STEP_S)
        while self.events[0][0] < start:
            self._run_one()
        self.now = start
        self.messages = self.bytes = 0
        self.longest_pause_s = 0.0
        started_at = self.now
        holds = self.mode == "switch_now"
        state = self.states[0]
        self.round = experts.Round(
            "g",
            0,
            len(self.states),
            experts.next_epoch(state.promised_, 0, len(self.states)),
            state.membership(),
            f"map-{version}",
            0 if holds else ARM_LEAD_STEPS,
            holds,
        )
        self._send_all(self.round.outstanding())
        while not self._is_in_force(version):
            self._run_one()
        return self.messages, self.bytes, self.longest_pause_s, self.now - started_at

    def change_by_lease(self, version):
        """Order the switch without a round, while the leader is paused half-way.

        :param int version: version of the new map.
        """
        at_step = self.engines[0].step_ + ARM_LEAD_STEPS
        target = experts.MapRef(version, f"map-{version}", at_step)
        half = len(self.engines) // 2
        for rank, engine in enumerate(self.engines):
            engine.stage(target.digest)
            order = experts.Order(
                experts.OrderKind.LOAD, version, target, engine.committed_
            )
            delay = self._delay_s() + (LEADER_PAUSE_S if rank >= half else 0.0)
            self._schedule(delay, lambda e=engine, o=order: e.apply_order(o))
        while not self._is_in_force(version):
            self._run_one()

    def _is_in_force(self, version):
        return all(
            e.committed_.version == version and e.step_ > e.committed_.at_step
            for e in self.engines
        )

    def _run_one(self):
        self.now, _, action = heapq.heappop(self.events)
        action()

    def _schedule(self, delay_s, action):
        self._sequence += 1
        heapq.heappush(self.events, (self.now + delay_s, self._sequence, action))

    def _delay_s(self):
        extra_delay_s = EXTRA_DELAY_S if self.random.random() < DELAYED_SHARE else 0.0
        return self.random.lognormvariate(0, LINK_SIGMA) * LINK_MEDIAN_S + extra_delay_s

    def _step(self):
        if all(engine.can_step() for engine in self.engines):
            if self._blocked_at is not None:
                self.longest_pause_s += self.now - self._blocked_at
                self._blocked_at = None
            used = {engine.current().version for engine in self.engines}
            self.violations += len(used) > 1
            for engine in self.engines:
                engine.step_ += 1
            self._schedule(STEP_S, self._step)
            return
        if self._blocked_at is None:
            self._blocked_at = self.now
        self._schedule(0.0001, self._step)

    def _send_all(self, sends):
        for send in sends:
            delay_s = LOCAL_CALL_S
            if send.rank:
                self._count_message(send.message)
                delay_s += self._delay_s()
            self._schedule(delay_s, lambda s=send: self._receive(s))

    def _receive(self, send):
        state, engine = self.states[send.rank], self.engines[send.rank]
        if self.mode == "switch_now" and isinstance(send.message, experts.Prepare):
            engine.apply_order(
                experts.Order(experts.OrderKind.HOLD, send.message.epoch)
            )
        state.view = engine.view()
        effects = getattr(state, group_world.METHOD_BY_REQUEST[type(send.message)])(
            send.message
        )
        for order in effects.orders:
            engine.apply_order(order)
        delay_s = LOCAL_CALL_S * len(effects.orders)
        if send.rank:
            self._count_message(effects.reply)
            delay_s += self._delay_s()
        self._schedule(delay_s, lambda: self._handle_reply(effects.reply))

    def _handle_reply(self, reply):
        self._send_all(
            getattr(self.round, group_world.METHOD_BY_ANSWER[type(reply)])(reply)
        )

    def _count_message(self, item):
        self.messages += 1
        self.bytes += len(wire.encode(item)) + 4


def _make_empty_reply():
    return experts.Joined("g", 0, "", "", 0, [0, "", 0], [0, "", 0])


def measure(ranks, mode, changes, seed):
    group = SimulatedGroup(ranks, mode, random.Random(seed))
    cpu = time.process_time()
    rows = [group.change(version) for version in range(2, changes + 2)]
    cpu = (time.process_time() - cpu) / changes
    messages, sizes, pauses, durations = zip(*rows, strict=True)
    print(
        f"| {ranks} | {mode} | {statistics.median(messages):.0f} | "
        f"{statistics.median(sizes):.0f} | {statistics.median(pauses) * 1000:.2f} | "
        f"{max(pauses) * 1000:.2f} | {statistics.median(durations) * 1000:.0f} | "
        f"{cpu * 1000:.1f} | {group.violations} |"
    )


def measure_lease(ranks, changes, seed):
    group = SimulatedGroup(ranks, "hold_at_step", random.Random(seed))
    for version in range(2, changes + 2):
        group.change_by_lease(version)
    print(
        f"| {ranks} | leased leader, paused | {ranks - 1} | | 0 | 0 | | | "
        f"{group.violations} |"
    )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--changes", type=int, default=40)
    parser.add_argument("--ranks", type=int, nargs="*", default=[3, 8, 16, 32])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(
        "| ranks | way | messages | bytes | pause median ms | pause longest ms | "
        "time to change ms | CPU of all ranks ms | steps with two maps |"
    )
    print("| --- " * 9 + "|")
    for ranks in options.ranks:
        for mode in ("hold_at_step", "switch_at_step", "switch_now"):
            measure(ranks, mode, options.changes, options.seed)
        measure_lease(ranks, options.changes, options.seed)


if __name__ == "__main__":
    main()
