"""Simulated engine of one rank: the expert map of each step, and map change orders."""

from sequoiagap import base, experts

MODES = base.Registry("switch mode")


class OrderRefused(base.SequoiagapError):
    """Raised if the engine rejects an order."""


class RankEngine:
    """Holds the expert maps, the fencing epoch and the staged weights of one engine.

    :param str mode: how an armed map takes effect, see :data:`MODES`.
    :param bool checks_fencing: whether it rejects orders of an older epoch.
    :param MapRef committed: map that it starts with, or ``None``.

    :ivar int starts_: number of starts.
    :ivar int step_: number of its next step.
    :ivar set weights_: digests of the maps whose weights it has loaded.
    """

    def __init__(self, mode="hold_at_step", checks_fencing=True, committed=None):
        self.mode = mode
        self.checks_fencing = checks_fencing
        self.starts_ = 0
        self.step_ = 0
        self.fence_ = 0
        self._stops_when_armed = MODES.get(mode)
        self.restart()
        if committed is not None:
            self.committed_ = committed
            self.weights_.add(committed.digest)

    def restart(self):
        """Restart without a map, weights or orders."""
        self.starts_ += 1
        self.fence_ = 0
        self.held_ = False
        self.previous_ = experts.NO_MAP
        self.committed_ = experts.NO_MAP
        self.armed_epoch_ = 0
        self.armed_ = experts.NO_MAP
        self.weights_ = set()
        self.staged_ = ""

    def stage(self, digest):
        """Record that the weights of a map are loaded.

        :param str digest: digest of the map.
        """
        self.weights_.add(digest)
        self.staged_ = digest

    def lose_staged(self):
        """Drop all weights except those of the map in use."""
        current = self.current()
        self.staged_ = ""
        self.weights_ = {current.digest} if current else set()

    def view(self):
        """Return the state that the engine reports to its agent.

        :rtype: sequoiagap.experts.EngineView
        """
        return experts.EngineView(
            self.step_,
            self.previous_,
            self.committed_,
            self.armed_epoch_,
            self.armed_,
            self.staged_,
            self.fence_,
        )

    def apply_order(self, order):
        """Execute an order.

        :param sequoiagap.experts.Order order: the order.
        :raises OrderRefused: if its epoch is old or its map can't be armed.
        """
        if self.checks_fencing and order.epoch < self.fence_:
            raise OrderRefused(
                f"order {order.epoch} is older than {self.fence_}",
                "Take part in the group again",
            )
        self.fence_ = max(self.fence_, order.epoch)
        if order.kind == experts.OrderKind.HOLD:
            self.held_ = True
            return
        if order.kind == experts.OrderKind.ARM:
            self._arm(order)
            return
        self.held_ = False
        self.armed_epoch_ = 0
        self.armed_ = experts.NO_MAP
        if order.kind != experts.OrderKind.DISARM:
            self.previous_ = order.previous
            self.committed_ = order.target

    def current(self):
        """Return the map of the next step, or ``None`` if there is none.

        :rtype: sequoiagap.experts.MapRef | None
        """
        in_force = self.step_ >= self.committed_.at_step
        current = self.committed_ if in_force else self.previous_
        return current if current.version else None

    def missing(self):
        """Return the digests of needed maps whose weights are not loaded.

        :rtype: list[str]
        """
        needed = (self.previous_, self.committed_)
        if self.step_ >= self.committed_.at_step:
            needed = (self.committed_,)
        return [m.digest for m in needed if m.version and m.digest not in self.weights_]

    def can_step(self):
        """Return whether the engine can run its next step.

        :rtype: bool
        """
        current = self.current()
        if self.held_ or current is None or current.digest not in self.weights_:
            return False
        return not (self.armed_epoch_ and self._stops_when_armed(self))

    def _arm(self, order):
        if order.target.digest not in self.weights_:
            raise OrderRefused("weights are not staged", "Stage the map again")
        if order.target.at_step < self.step_:
            raise OrderRefused("the step is over", "Arm for a later step")
        self.armed_epoch_ = order.epoch
        self.armed_ = order.target


@MODES.register("hold_at_step")
def _stop_at_step(engine):
    """Continue with the old map and stop before the step of the armed map."""
    return engine.step_ >= engine.armed_.at_step


@MODES.register("switch_at_step")
def _stop_at_once(engine):
    """Stop at once, as the engine can't defer a stop to a later step."""
    return True


@MODES.register("switch_now")
def _stop_now(engine):
    """Stop at once."""
    return True
