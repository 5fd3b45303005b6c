"""Simulates a rank group whose orders are lost or executed late.

The engines guarantee only what engines without a map check guarantee: each switches
its map independently, a hold lasts until it is released, and nothing compares the
ranks. Leaders run the real procedures of :mod:`sequoiagap.ranks`.
"""

import dataclasses
import random

from sequoiagap import ranks

SIZE = 3


class TwoMapsError(AssertionError):
    """Raised if a pass begins with two maps."""


@dataclasses.dataclass
class Engine:
    """State of one rank's engine."""

    rank: int
    map_version: int = 0
    content: object = "first"
    prepared: int = 0
    prepared_content: object = None
    highest_version: int = 0
    armed: tuple | None = None
    held: int = 0

    def reset(self):
        """Reset the engine as when the group is re-formed."""
        self.map_version, self.content = 0, "first"
        self.prepared, self.prepared_content, self.highest_version = 0, None, 0
        self.armed, self.held = None, 0


class Leader:
    """Leads map changes; can be restarted or paused at any moment."""

    def __init__(self, world, rank):
        self.world = world
        self.rank = rank
        self.is_paused = False
        self.start()

    def start(self):
        """Start as a new process."""
        first_step = self.world.step + ranks.STEP_GUARD
        self.keeper = ranks.Keeper(self.world.epoch, first_step)
        self.query = None
        self.procedure = None
        self.change = None
        self.pending = {}
        self.replies = {}
        self.epoch = self.world.epoch
        self.first_step = self.world.step
        self.last_step = 0

    def enter_new_epoch(self):
        """Start with a group that was re-formed while this process was running."""
        keeper = self.keeper
        self.start()
        self.keeper = keeper
        self.first_step = None

    def advance(self, choose):
        """Perform one action: begin a procedure, or send one query or order of it."""
        if self.procedure is None:
            self._begin(choose)
        elif self.query is not None:
            query, self.query = self.query, None
            self._send(self.world.request_agreement(self, query))
        elif self.pending:
            rank = choose(sorted(self.pending))
            order = self.pending.pop(rank)
            self.replies[rank] = self.world.send_order(rank, order, choose)
            if not self.pending:
                self._send(self.replies)

    def _begin(self, choose):
        world = self.world
        if self.epoch != world.epoch:
            self.enter_new_epoch()
        reports = {engine.rank: world.report(engine) for engine in world.engines}
        held = [r for r, report in reports.items() if report.held_step]
        plan = self._plan(reports, choose)
        if held and choose((True, False)):
            rank = choose(held)
            step = reports[rank].held_step
            self.last_step = max(self.last_step, step)
            self.procedure = self._resolve(rank, step, plan)
            self._send(None)
        elif ranks.may_begin(reports, world.size, self.rank, self.first_step):
            self.change = ranks.MapChange(plan)
            self.procedure = self.change.run()
            self._send(None)

    def _resolve(self, rank, step, plan):
        unarmed = self.keeper.revoke_agreement() if rank == self.rank else None
        if unarmed is None or (unarmed.epoch, unarmed.step) != (self.epoch, step):
            return ranks.resolve_hold(rank, step, plan)
        self.world.local_releases += 1
        return ranks.release([rank], step, self.epoch)

    def _plan(self, reports, choose):
        version = ranks.make_version(
            reports, self.rank, self.world.size, self.world.random
        )
        return ranks.ChangePlan(
            version=version,
            layers=("new", version),
            old_layers=self.world.engines[0].content,
            size=self.world.size,
            own_rank=self.rank,
            epoch=self.epoch,
            after_step=self.last_step,
            keeper=choose((self.rank, 1 - self.rank)),
        )

    def _send(self, replies):
        self.replies = {}
        try:
            step = self.procedure.send(replies)
        except StopIteration as stop:
            if stop.value is not None:
                self.world.results.append(stop.value)
            if self.change is not None:
                self.last_step = max(self.last_step, self.change.step_)
            self.procedure, self.change = None, None
            return
        if self.change is not None:
            self.last_step = max(self.last_step, self.change.step_)
        if isinstance(step, ranks.KeeperQuery):
            self.query = step
            return
        self.pending = dict(step.order_by_rank)


class World:
    """Simulates a group, its leaders and delayed orders.

    :param int seed: seed of all random choices.
    :param float loss: share of orders that get no answer.
    :param int size: number of ranks of the group.

    :ivar int passes: number of passes that have begun.
    :ivar int local_releases: number of holds that a leader released by revoking its
        own keeper's agreement.
    """

    def __init__(self, seed, loss=0.3, size=SIZE):
        self.random = random.Random(seed)
        self.loss = loss
        self.size = size
        self.step = 20
        self.epoch = 1
        self.engines = [Engine(rank) for rank in range(size)]
        self.delayed = []
        self.results = []
        self.passes = 0
        self.local_releases = 0
        self.is_idle = False
        self.leaders = [Leader(self, 0), Leader(self, 1)]

    def run(self, turns):
        """Perform a number of random actions.

        :param int turns: number of actions.
        :raises TwoMapsError: if a pass begins with two maps.
        """
        for _ in range(turns):
            self._run_random_action()

    def settle(self, turns):
        """Run one leader and the passes without further faults.

        :param int turns: number of leader actions, each followed by a pass.
        """
        self.loss = 0.0
        self.leaders[1].procedure = None
        self.leaders[0].is_paused = False
        for _ in range(turns):
            self.leaders[0].advance(self.random.choice)
            self.begin_pass()

    def _run_random_action(self):
        value = self.random.random()
        if value < 0.62:
            leader = self.random.choice(self.leaders)
            if not leader.is_paused:
                leader.advance(self.random.choice)
        elif value < 0.82:
            if not self.is_idle:
                self.begin_pass()
        elif value < 0.92:
            self._execute_delayed_order()
        elif value < 0.96:
            leader = self.random.choice(self.leaders)
            leader.is_paused = not leader.is_paused
        elif value < 0.985:
            self.random.choice(self.leaders).start()
        elif value < 0.988:
            self._reform_group()
        else:
            self.is_idle = not self.is_idle

    def begin_pass(self):
        """Begin the next pass unless it is held, and check that its maps are equal.

        :raises TwoMapsError: if they differ.
        """
        next_step = self.step + 1
        if any(engine.held == next_step for engine in self.engines):
            return
        self.step = next_step
        self.passes += 1
        for engine in self.engines:
            if engine.armed is not None and engine.armed[1] == next_step:
                engine.map_version = engine.armed[0]
                engine.content = engine.prepared_content
                engine.armed = None
        contents = {(e.map_version, repr(e.content)) for e in self.engines}
        if len(contents) > 1:
            raise TwoMapsError(f"pass {next_step} begins with {contents}")

    def send_order(self, rank, order, choose):
        """Send an order to a rank and return the reply; it can be lost or delayed."""
        engine = self.engines[rank]
        if order is None:
            return ranks.RankReply(report=self._read(engine))
        if self.random.random() < self.loss:
            if choose((True, False)):
                self._execute(engine, order)
            else:
                self.delayed.append((rank, order))
            return ranks.RankReply(report=self._read(engine))
        return ranks.RankReply(self._execute(engine, order), self._read(engine))

    def request_agreement(self, leader, query):
        """Request agreement from a keeper and return whether it agreed.

        Query or answer may be lost. A paused agent does not answer, and an agent that
        runs a procedure does not agree with another leader.
        """
        agent = self.leaders[query.keeper]
        if agent is leader:
            return agent.keeper.decide(query.change, query.wants_arming)
        if agent.is_paused or agent.procedure is not None:
            return False
        if self.random.random() < self.loss:
            return False
        is_agreed = agent.keeper.decide(query.change, query.wants_arming)
        return is_agreed and self.random.random() >= self.loss

    def report(self, engine):
        """Return the report of an engine."""
        armed = engine.armed or (0, 0)
        return ranks.EngineReport(
            group="g",
            epoch=self.epoch,
            rank=engine.rank,
            size=self.size,
            is_open=True,
            step=self.step,
            map_version=engine.map_version,
            prepared=engine.prepared,
            armed=armed[0],
            armed_step=armed[1],
            held_step=engine.held,
        )

    def _read(self, engine):
        if self.random.random() < self.loss / 3:
            return None
        return self.report(engine)

    def execute_delayed_orders(self):
        """Execute all delayed orders."""
        while self.delayed:
            self._execute_delayed_order()

    def _execute_delayed_order(self):
        if self.delayed:
            rank, order = self.delayed.pop(self.random.randrange(len(self.delayed)))
            self._execute(self.engines[rank], order)

    def _reform_group(self):
        self.epoch += 1
        for engine in self.engines:
            engine.reset()

    def _execute(self, engine, order):
        if order.epoch != self.epoch:
            return ranks.OrderResult.CONFLICT
        return _EXECUTE_BY_KIND[order.kind](self, engine, order)

    def _prepare(self, engine, order):
        if order.version <= engine.highest_version or engine.armed is not None:
            return ranks.OrderResult.CONFLICT
        engine.highest_version = engine.prepared = order.version
        engine.prepared_content = order.layers
        return ranks.OrderResult.DONE

    def _arm(self, engine, order):
        if engine.prepared != order.version or order.step <= self.step:
            return ranks.OrderResult.CONFLICT
        if engine.map_version == order.version:
            return ranks.OrderResult.CONFLICT
        engine.armed = (order.version, order.step)
        return ranks.OrderResult.DONE

    def _disarm(self, engine, order):
        if engine.map_version == order.version:
            return ranks.OrderResult.CONFLICT
        if engine.armed is not None and engine.armed[0] == order.version:
            engine.armed = None
        return ranks.OrderResult.DONE

    def _hold(self, engine, order):
        if order.step <= self.step or engine.held not in (0, order.step):
            return ranks.OrderResult.CONFLICT
        engine.held = order.step
        return ranks.OrderResult.DONE

    def _release(self, engine, order):
        if engine.held == order.step:
            engine.held = 0
        return ranks.OrderResult.DONE


_EXECUTE_BY_KIND = {
    ranks.OrderKind.PREPARE: World._prepare,
    ranks.OrderKind.ARM: World._arm,
    ranks.OrderKind.DISARM: World._disarm,
    ranks.OrderKind.HOLD: World._hold,
    ranks.OrderKind.RELEASE: World._release,
}
