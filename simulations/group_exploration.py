"""Exhaustive exploration of the change protocol over its real decision code."""

import copy

from simulations import group_reduction


def explore(
    world,
    max_worlds,
    max_step=2,
    check_progress_every=0,
    engine_states=None,
    reduces=True,
):
    """Visit every world that can be reached, in breadth.

    :param World world: where to start.
    :param int max_worlds: stop after so many.
    :param int max_step: no step beyond this one.
    :param int check_progress_every: check progress from every so many-th world.
    :param set engine_states: takes each state of the engines that was met.
    :param bool reduces: whether worlds that can't differ in what follows are one.
    :returns: how many worlds were visited, and whether that was all of them.
    :rtype: tuple[int, bool]
    :raises group_world.TwoMapsError: if a step can use two maps.
    :raises AssertionError: if the group can't recover.
    """
    seen = {hash(world.key())}
    queue = [world]
    visited = 0
    while queue:
        current = queue.pop()
        visited += 1
        if engine_states is not None:
            engine_states.add(tuple(key[1] for key in current.rank_keys))
        if visited > max_worlds:
            return visited, False
        if check_progress_every and visited % check_progress_every == 0:
            assert copy.deepcopy(current).recover(), f"no progress: {current.key()}"
        for choice in current.choices():
            if choice[0] == "step" and current.engines[0].step_ >= max_step:
                continue
            following = current.following(choice)
            group_reduction.reduce_world(following, reduces)
            key = hash(following.key())
            if key not in seen:
                seen.add(key)
                queue.append(following)
    return visited, True
