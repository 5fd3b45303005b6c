"""Exhaustive state space exploration of the map change protocol."""

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
    """Visit every reachable world.

    :param World world: initial world.
    :param int max_worlds: maximum number of visited worlds.
    :param int max_step: last step of the group that is explored.
    :param int check_progress_every: check progress in each n-th world; 0 for none.
    :param set engine_states: set that receives each state of the engines, or
        ``None``.
    :param bool reduces: whether to merge equivalent worlds, see
        :func:`group_reduction.reduce_world`.
    :returns: number of visited worlds, and whether they are all reachable ones.
    :rtype: tuple[int, bool]
    :raises group_world.TwoMapsError: if a reachable step uses two maps.
    :raises AssertionError: if the group can't recover from a checked world.
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
            successor = current.successor(choice)
            group_reduction.reduce_world(successor, reduces)
            key = hash(successor.key())
            if key not in seen:
                seen.add(key)
                queue.append(successor)
    return visited, True
