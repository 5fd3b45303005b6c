"""Takes worlds of a rank group that can't differ in what follows as one.

Left out of a world are answers to a phase that is over, requests that their
receiver will refuse for good, and rounds that wait for an answer that can't come
any more. An answer that only adds to what a proposer has gathered touches no engine
and commutes with every other choice, so it is delivered at once; whether an answer
is such a one is found by giving it to a copy of the round, not taken from what a
right round would do.
"""

from sequoiagap import experts
from simulations import group_world

ANSWERED_PHASE = {
    experts.Promise: experts.Phase.PREPARING,
    experts.Armed: experts.Phase.ARMING,
}


REQUESTS = (experts.Prepare, experts.Arm, experts.Settle)
REQUEST_IN = {
    experts.Phase.PREPARING: (experts.Prepare, experts.Promise),
    experts.Phase.ARMING: (experts.Arm, experts.Armed),
}


def reduce_world(world, fully=True):
    """Leave out of a world what can have no effect any more.

    :param World world: the world; it is changed.
    :param bool fully: whether answers and requests that commute with all else, and
        rounds without a way on, are left out as well.
    """
    changed = _settle_answers(world, fully)
    if fully:
        changed |= _drop_dead_rounds(world)
    world.note_changes(changed)


def _settle_answers(world, fully):
    """Deliver answers that commute with every choice; return who got one."""
    changed = set()
    _prune(world, fully)
    for message in sorted(world.messages) if fully else ():
        _, receiver, payload = message
        if type(group_world.decode_payload(payload)) not in ANSWERED_PHASE:
            continue
        after = _gathered(world, receiver, payload)
        if after is not None:
            world.messages.remove(message)
            world.rounds[receiver] = after
            changed.add(receiver)
    _prune(world, fully)
    return changed


def _gathered(world, receiver, payload):
    """Return the round with one more answer, or ``None`` if more follows."""
    item = group_world.decode_payload(payload)
    after = group_world.copy_decisions(world.rounds[receiver])
    phase = after.phase_
    sends = getattr(after, group_world.ANSWERS[type(item)])(item)
    if not sends and after.phase_ in (phase, experts.Phase.FAILED):
        return after
    return None


def _drop_dead_rounds(world):
    """Drop rounds that can do nothing any more; return their ranks."""
    dropped = set()
    awaited = {
        (type(item), item.rank, item.epoch)
        for item in (
            group_world.decode_payload(payload) for _, _, payload in world.messages
        )
        if type(item) in ANSWERED_PHASE
    }
    asked = {
        (type(item), receiver, item.epoch)
        for _, receiver, payload in world.messages
        for item in (group_world.decode_payload(payload),)
        if type(item) in (experts.Prepare, experts.Arm)
    }
    for rank, current in enumerate(world.rounds):
        if current is not None and not _may_go_on(current, asked, awaited):
            world.rounds[rank] = None
            dropped.add(rank)
    if dropped:
        _prune(world, fully=True)
    return dropped


def _prune(world, fully):
    """Drop messages that can have no effect any more."""
    world.messages = [m for m in world.messages if _matters(world, m, fully)]


def _matters(world, message, fully):
    sender, receiver, payload = message
    item = group_world.decode_payload(payload)
    if type(item) in ANSWERED_PHASE:
        return _is_in(world, receiver, item, ANSWERED_PHASE[type(item)])
    if type(item) is experts.Settled:
        return False
    if world.crashes_left or type(item) not in REQUESTS or not fully:
        return True
    state = world.states[receiver]
    if state is None or not _refuses_for_good(world, state, item):
        return True
    # A refused ``Arm`` makes its proposer drop the round.
    return type(item) is experts.Arm and _is_in(
        world, sender, item, experts.Phase.ARMING
    )


def _is_in(world, rank, item, phase):
    current = world.rounds[rank]
    return current is not None and (current.epoch, current.phase_) == (
        item.epoch,
        phase,
    )


def _refuses_for_good(world, state, item):
    """Tell whether a rank refuses a request now and in all that may follow."""
    if item.epoch < state.promised_:
        return True
    if state._is_current(item):
        return False
    counted_on = world.incarnations[item.membership]
    return any(
        incarnation > counted_on[rank]
        for rank, incarnation in state.incarnation_by_rank.items()
    )


def _may_go_on(current, asked, awaited):
    """Tell whether a round can still send something."""
    if current.phase_ not in REQUEST_IN:
        return False
    request, answer = REQUEST_IN[current.phase_]
    coming = [
        (request, rank, current.epoch) in asked
        or (answer, rank, current.epoch) in awaited
        for rank in range(group_world.RANKS)
        if rank not in current.answered_
    ]
    if current.phase_ == experts.Phase.PREPARING:
        return all(coming)
    return any(coming)
