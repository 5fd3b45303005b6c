"""What the agent beside a held rank answers for.

The load that it answers: a leader whose host stands still just after it has had a pass
held. The hold lies at the rank of another agent, its keeper, which the leader asks
before any rank is armed. As long as the keeper has not allowed that, no rank is armed
for the change or ever will be, so the keeper may release the pass by itself, without
hearing from the leader's rank. Afterwards every rank has to be made safe first.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HeldChange:
    """A change for which a pass is held.

    :param int epoch: epoch of the group.
    :param int version: version of the new map.
    :param int step: the pass.
    """

    epoch: int
    version: int
    step: int


class Keeper:
    """Decides for one agent about holds at the rank beside it.

    Each pass is held there for one change at most: a release that is still on its way
    for one change would end the hold of another.

    :param int epoch: epoch of the group as the agent started.
    :param int first_step: first pass of that epoch that a predecessor of this agent
        has agreed to nothing for.

    :ivar HeldChange agreed_: change for which the pass may be held here and that no
        rank may yet be armed for, or ``None``.
    """

    def __init__(self, epoch=0, first_step=0):
        self.agreed_ = None
        self._allowed = None
        self._newest = (epoch, first_step - 1)

    def decide(self, change, wants_arming):
        """Answer a leader's question.

        :param HeldChange change: the change that it is about.
        :param bool wants_arming: whether ranks are to be armed, or else a pass held.
        :rtype: bool
        """
        if wants_arming:
            return self.allow_arming(change)
        return self.agree_to_hold(change)

    def agree_to_hold(self, change):
        """Return whether a pass may be held at the rank beside this agent.

        :param HeldChange change: the change.
        :rtype: bool
        """
        if (change.epoch, change.step) <= self._newest:
            return False
        self._newest = (change.epoch, change.step)
        self.agreed_ = change
        return True

    def allow_arming(self, change):
        """Return whether ranks may be armed for a change.

        :param HeldChange change: the change.
        :rtype: bool
        """
        if change == self._allowed:
            return True
        if change != self.agreed_:
            return False
        self._allowed, self.agreed_ = change, None
        return True

    def revoke_agreement(self):
        """Return the change that this agent may release by itself, and allow it never.

        :rtype: HeldChange | None
        """
        change, self.agreed_ = self.agreed_, None
        return change
