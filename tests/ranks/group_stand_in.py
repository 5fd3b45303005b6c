"""In-memory rank group with the interface of its engines."""

from simulations import rank_world

from sequoiagap import ranks, routes

PROFILE = routes.EngineProfile(
    slots=6,
    layers=1,
    experts=6,
    slots_per_rank=3,
    new_per_change=2,
    expert_share=0.85,
)
LAYERS = (((0, 1), (2, 3), (4, 5)),)
HEAVY = [0, 0, 0, 0, 90, 90]  # all demand on one rank


class GroupStandIn:
    """Simulated rank group with the interface of its engines.

    :param tuple layers: the initial map.
    :param int experts: number of experts in a layer.

    :ivar dict lost_by_kind: number of orders of each kind that will be lost.
    """

    def __init__(self, layers=LAYERS, experts=6):
        size = len(layers[0])
        self.world = rank_world.World(1, loss=0.0, size=size)
        self.lost_by_kind = {}
        self.counts_by_rank = [[0] * len(layers) * experts for _ in range(size)]
        self.silent = set()
        for engine in self.world.engines:
            engine.content = layers

    def engine(self, address):
        return self.world.engines[int(address)]

    async def report(self, address):
        if address in self.silent:
            return None
        return self.world.report(self.engine(address))

    async def counts(self, address):
        return ranks.ExpertCounts(self.world.epoch, self.counts_by_rank[int(address)])

    async def held_experts(self, address):
        engine = self.engine(address)
        held = [list(layer[engine.rank]) for layer in engine.content]
        return engine.map_version, held

    async def order(self, address, order):
        left = self.lost_by_kind.get(order.kind, 0)
        if left:
            self.lost_by_kind[order.kind] = left - 1
            return ranks.OrderResult.UNKNOWN
        return self.world._execute(self.engine(address), order)

    def work(self, counts, passes=8):
        """Count the experts that requests choose, and start a number of passes."""
        for rank in range(self.world.size):
            before = self.counts_by_rank[rank]
            self.counts_by_rank[rank] = [
                b + c for b, c in zip(before, counts, strict=True)
            ]
        for _ in range(passes):
            self.world.begin_pass()
