"""Greedy placement of one layer from scratch, heaviest replicas first."""


def place_layer(shape, loads, speeds):
    """Return a new row of a layer, placing the heaviest replicas first.

    :param MapShape shape: dimensions of the map.
    :param list loads: load of each expert.
    :param list speeds: relative speed of each rank.
    :rtype: tuple[int, ...]
    """
    copies = _copy_counts(shape, loads)
    items = [e for e, n in enumerate(copies) for _ in range(n)]
    items.sort(key=lambda e: loads[e] / copies[e], reverse=True)
    held = [[] for _ in range(shape.ranks)]
    times = [0.0] * shape.ranks
    for expert in items:
        share = loads[expert] / copies[expert]
        rank = _find_earliest_rank(shape, held, times, speeds, expert, share)
        if rank is None:
            rank = _free_slot(shape, held, expert)
        held[rank].append(expert)
        times[rank] += share / speeds[rank]
    return tuple(expert for experts in held for expert in experts)


def _copy_counts(shape, loads):
    copies = [1] * shape.experts
    for _ in range(shape.spare_slots):
        open_experts = (e for e in range(shape.experts) if copies[e] < shape.ranks)
        heaviest = max(open_experts, key=lambda e: loads[e] / copies[e])
        copies[heaviest] += 1
    return copies


def _find_earliest_rank(shape, held, times, speeds, expert, share):
    best, best_time = None, 0.0
    for rank in range(shape.ranks):
        if len(held[rank]) >= shape.slots or expert in held[rank]:
            continue
        finish_time = times[rank] + share / speeds[rank]
        if best is None or finish_time < best_time:
            best, best_time = rank, finish_time
    return best


def _free_slot(shape, held, expert):
    """Free a slot for an expert that every rank with an open slot already holds."""
    open_rank = next(r for r in range(shape.ranks) if len(held[r]) < shape.slots)
    for rank in range(shape.ranks):
        if expert in held[rank]:
            continue
        for other in held[rank]:
            if other not in held[open_rank]:
                held[rank].remove(other)
                held[open_rank].append(other)
                return rank
    raise ValueError(f"{shape} cannot hold expert {expert} on distinct ranks")


def align(shape, row, old_row, speeds):
    """Permute the ranks of a new row so that few experts have to move.

    Only ranks of equal speed are exchanged; ranks with the most experts in common are
    paired first.

    :param MapShape shape: dimensions of the map.
    :param tuple row: new row.
    :param tuple old_row: row in use.
    :param list speeds: relative speed of each rank.
    :rtype: tuple[int, ...]
    """
    new_sets = _rank_sets(shape, row)
    old_sets = _rank_sets(shape, old_row)
    pairs = [
        (len(new & old), source, target)
        for source, new in enumerate(new_sets)
        for target, old in enumerate(old_sets)
        if speeds[source] == speeds[target]
    ]
    pairs.sort(key=lambda pair: (-pair[0], pair[1], pair[2]))
    source_by_target = {}
    taken = set()
    for _, source, target in pairs:
        if source not in taken and target not in source_by_target:
            source_by_target[target] = source
            taken.add(source)
    aligned = []
    for target in range(shape.ranks):
        start = source_by_target[target] * shape.slots
        aligned += row[start : start + shape.slots]
    return tuple(aligned)


def _rank_sets(shape, row):
    starts = range(0, len(row), shape.slots)
    return [set(row[start : start + shape.slots]) for start in starts]
