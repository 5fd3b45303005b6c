"""Search for a simulated world in which a pass starts with two maps."""

import functools
from unittest import mock

from simulations import rank_world

from sequoiagap import ranks
from sequoiagap.ranks import _change

SEEDS_WITHOUT_GUARD = 4000
RARE_SEEDS = 10000
TURNS = 700


def short_lead():
    """Return a patch that gives lossy changes the same lead as any other change.

    Orders in flight then meet those of the successor more often, so that fewer seeds
    are needed to show that a guard matters.
    """
    plan = functools.partial(ranks.ChangePlan, lossy_lead_passes=_change.LEAD_PASSES)
    return mock.patch.object(ranks, "ChangePlan", plan)


def forgetful_keepers():
    """Return a patch that lets keepers agree to any pass, even one held before.

    Keepers also refuse what a leader's own record of passes prevents, so that a guard
    of one kind only shows its effect once the other is disabled too.
    """

    def agree(keeper, change):
        keeper.agreed_ = change
        return True

    return mock.patch.object(ranks.Keeper, "agree_to_hold", agree)


def find_two_maps(seeds=SEEDS_WITHOUT_GUARD):
    """Return the first seed whose world starts a pass with two maps, or ``None``."""
    for seed in range(seeds):
        try:
            rank_world.World(seed).run(TURNS)
        except rank_world.TwoMapsError:
            return seed
    return None
