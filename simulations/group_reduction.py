"""State space reduction: maps worlds with equivalent futures to one.

The reduction drops answers to a finished phase, requests that their receiver rejects
in every future, and rounds that wait for an answer that can't arrive any more. An
answer that only adds to those collected by a proposer affects no engine and commutes
with every other choice, so it is delivered at once. Whether an answer is of this kind
is tested on a copy of the round, so that faulty rounds are reduced correctly too.
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
    """Drop everything from a world that can have no effect any more.

    :param World world: world, which is modified.
    :param bool fully: whether to deliver commuting answers and to drop rejected
        requests and rounds that can't continue as well.
    """
    changed = _deliver_answers(world, fully)
    if fully:
        changed |= _drop_stuck_rounds(world)
    world.update_rank_keys(changed)


def _deliver_answers(world, fully):
    """Deliver answers that commute with every choice; return their receivers."""
    changed = set()
    _prune(world, fully)
    for message in sorted(world.messages) if fully else ():
        _, receiver, payload = message
        if type(group_world.decode_payload(payload)) not in ANSWERED_PHASE:
            continue
        after = _try_answer(world, receiver, payload)
        if after is not None:
            world.messages.remove(message)
            world.rounds[receiver] = after
            changed.add(receiver)
    _prune(world, fully)
    return changed


def _try_answer(world, receiver, payload):
    """Return the round after an answer, or ``None`` if the answer has effects."""
    item = group_world.decode_payload(payload)
    after = group_world.copy_decisions(world.rounds[receiver])
    phase = after.phase_
    sends = getattr(after, group_world.METHOD_BY_ANSWER[type(item)])(item)
    if not sends and after.phase_ in (phase, experts.Phase.FAILED):
        return after
    return None


def _drop_stuck_rounds(world):
    """Drop rounds that can't continue and return their ranks."""
    dropped = set()
    awaited = {
        (type(item), item.rank, item.epoch)
        for item in (
            group_world.decode_payload(payload) for _, _, payload in world.messages
        )
        if type(item) in ANSWERED_PHASE
    }
    requested = {
        (type(item), receiver, item.epoch)
        for _, receiver, payload in world.messages
        for item in (group_world.decode_payload(payload),)
        if type(item) in (experts.Prepare, experts.Arm)
    }
    for rank, current in enumerate(world.rounds):
        if current is not None and not _can_continue(current, requested, awaited):
            world.rounds[rank] = None
            dropped.add(rank)
    if dropped:
        _prune(world, fully=True)
    return dropped


def _prune(world, fully):
    """Drop messages that can have no effect any more."""
    world.messages = [m for m in world.messages if _has_effect(world, m, fully)]


def _has_effect(world, message, fully):
    sender, receiver, payload = message
    item = group_world.decode_payload(payload)
    if type(item) in ANSWERED_PHASE:
        return _is_in(world, receiver, item, ANSWERED_PHASE[type(item)])
    if type(item) is experts.Settled:
        return False
    if world.crashes_left or type(item) not in REQUESTS or not fully:
        return True
    state = world.states[receiver]
    if state is None or not _always_rejects(world, state, item):
        return True
    # The proposer drops its round if an ``Arm`` is rejected.
    return type(item) is experts.Arm and _is_in(
        world, sender, item, experts.Phase.ARMING
    )


def _is_in(world, rank, item, phase):
    current = world.rounds[rank]
    return current is not None and (current.epoch, current.phase_) == (
        item.epoch,
        phase,
    )


def _always_rejects(world, state, item):
    """Return whether a rank rejects a request now and in every future."""
    if item.epoch < state.promised_:
        return True
    if state._is_current(item):
        return False
    expected_incarnations = world.incarnations[item.membership]
    return any(
        incarnation > expected_incarnations[rank]
        for rank, incarnation in state.incarnation_by_rank.items()
    )


def _can_continue(current, requested, awaited):
    """Return whether a round can still send messages."""
    if current.phase_ not in REQUEST_IN:
        return False
    request, answer = REQUEST_IN[current.phase_]
    expected = [
        (request, rank, current.epoch) in requested
        or (answer, rank, current.epoch) in awaited
        for rank in range(group_world.RANKS)
        if rank not in current.answered_
    ]
    if current.phase_ == experts.Phase.PREPARING:
        return all(expected)
    return any(expected)
