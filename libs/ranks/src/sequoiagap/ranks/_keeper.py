"""Agreement of the agent beside a held rank (the keeper) to holds and arming.

Guards against a leader whose host stalls just after a pass was held. The hold is placed
at the rank of another agent, the keeper, whose agreement the leader requests before it
arms any rank. Until the keeper has allowed arming, no rank is or ever will be armed for
the change, so the keeper may release the pass on its own without hearing from the
leader's rank. Once arming is allowed, every rank has to be made safe before the
release.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HeldChange:
    """Change for which a pass is held.

    :param int epoch: epoch of the group.
    :param int version: version of the new map.
    :param int step: number of the held pass.
    """

    epoch: int
    version: int
    step: int


class Keeper:
    """Decides which holds an agent agrees to at its own rank.

    Each pass is held there for at most one change: a delayed release for one change
    would otherwise end the hold of another.

    :param int epoch: epoch of the group when the agent started.
    :param int first_step: first pass of that epoch that no earlier process of this
        agent can have agreed to hold.

    :ivar HeldChange agreed_: change for which the pass may be held here and no rank may
        be armed yet, or ``None``.
    """

    def __init__(self, epoch=0, first_step=0):
        self.agreed_ = None
        self._allowed = None
        self._newest = (epoch, first_step - 1)

    def decide(self, change, wants_arming):
        """Return whether this agent agrees to a leader's request.

        :param HeldChange change: the change to decide on.
        :param bool wants_arming: whether the request is to arm ranks; otherwise it is
            to hold a pass.
        :rtype: bool
        """
        if wants_arming:
            return self.allow_arming(change)
        return self.agree_to_hold(change)

    def agree_to_hold(self, change):
        """Return whether a pass may be held at the rank beside this agent.

        :param HeldChange change: the change to decide on.
        :rtype: bool
        """
        if (change.epoch, change.step) <= self._newest:
            return False
        self._newest = (change.epoch, change.step)
        self.agreed_ = change
        return True

    def allow_arming(self, change):
        """Return whether ranks may be armed for a change.

        :param HeldChange change: the change to decide on.
        :rtype: bool
        """
        if change == self._allowed:
            return True
        if change != self.agreed_:
            return False
        self._allowed, self.agreed_ = change, None
        return True

    def revoke_agreement(self):
        """Return the change that this agent may release on its own.

        Arming is never allowed for it afterwards.

        :rtype: HeldChange | None
        """
        change, self.agreed_ = self.agreed_, None
        return change
