"""Search for a world in which a pass begins with two maps."""

import functools
from unittest import mock

from simulations import rank_world

from sequoiagap import ranks
from sequoiagap.ranks import _change

SEEDS_WITHOUT_GUARD = 4000
RARE_SEEDS = 10000
TURNS = 700


def short_lead():
    """Return a patch that lets a lossy change take place as soon as any other.

    Orders on their way then meet the successor's more often, so that fewer seeds
    show that a guard matters.
    """
    plan = functools.partial(ranks.ChangePlan, lossy_lead_passes=_change.LEAD_PASSES)
    return mock.patch.object(ranks, "ChangePlan", plan)


def forgetful_keepers():
    """Return a patch that lets keepers agree to any pass, also to one held before.

    They refuse what a leader's own memory of passes keeps it from, so that a guard of
    one kind only shows once the other is out too.
    """

    def agree(keeper, change):
        keeper.agreed_ = change
        return True

    return mock.patch.object(ranks.Keeper, "agree_to_hold", agree)


def find_two_maps(seeds=SEEDS_WITHOUT_GUARD):
    """Return the first seed whose world shows two maps in a pass, or ``None``."""
    for seed in range(seeds):
        try:
            rank_world.World(seed).run(TURNS)
        except rank_world.TwoMapsError:
            return seed
    return None
