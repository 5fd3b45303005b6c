"""What an endpoint can bear, kept by its agent."""

import enum

import transitions

from sequoiagap import base

_log = base.get_logger("gate")


class EndpointState(enum.StrEnum):
    """States of an endpoint."""

    STARTING = "starting"
    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
    DRAINING = "draining"
    GONE = "gone"


_TRANSITIONS = [
    ["found_cold", ["starting", "cold", "warming", "warm"], "cold"],
    ["begin_warming", "cold", "warming"],
    ["found_warm", ["starting", "warming"], "warm"],
    ["drain", ["starting", "cold", "warming", "warm"], "draining"],
    ["undrain", "draining", "cold"],
    ["leave", "*", "gone"],
]


class EndpointGate:
    """Bounds the attempts that run at an endpoint at once.

    :param int warm_limit: attempts that a warm endpoint bears.
    :param int cold_limit: attempts that a cold endpoint bears.
    :param float warm_up_s: length of the ramp from cold to warm, in seconds.

    :ivar str state: state of the endpoint, see :class:`EndpointState`.
    :ivar int in_flight_: attempts that run now.
    :ivar bool stalled_: whether nothing may enter, because the endpoint's rank
        group can't step; set by the agent.

    >>> gate = EndpointGate(warm_limit=8, cold_limit=1, warm_up_s=4.0)
    >>> gate.report_start("start-1", now=0.0, cold=True)
    >>> gate.try_enter(now=0.0), gate.try_enter(now=0.0)
    (True, False)
    """

    def __init__(self, warm_limit, cold_limit, warm_up_s):
        self.warm_limit = base.check_positive("warm_limit", warm_limit)
        self.cold_limit = base.check_positive("cold_limit", cold_limit)
        self.warm_up_s = base.check_positive("warm_up_s", warm_up_s)
        self.in_flight_ = 0
        self.stalled_ = False
        self.start_id_ = ""
        self.ramp_began_at_ = 0.0
        self.machine_ = transitions.Machine(
            model=self,
            states=[str(state) for state in EndpointState],
            transitions=_TRANSITIONS,
            initial=str(EndpointState.STARTING),
            auto_transitions=False,
            after_state_change="_log_state",
        )

    def report_start(self, start_id, now, cold):
        """Take the start id that the endpoint reports.

        :param str start_id: changes whenever the endpoint starts anew.
        :param float now: monotonic time in seconds.
        :param bool cold: whether the endpoint calls itself cold.
        """
        if start_id == self.start_id_ and self.state != EndpointState.STARTING:
            return
        self.start_id_ = start_id
        if self.state == EndpointState.DRAINING or self.state == EndpointState.GONE:
            return
        if cold:
            self.found_cold()
            self.ramp_began_at_ = now
        else:
            self._warm_from_start(now)

    def limit(self, now):
        """Return how many attempts may run at once.

        :param float now: monotonic time in seconds.
        :rtype: int
        """
        self._advance(now)
        if self.stalled_:
            return 0
        if self.state in (EndpointState.COLD, EndpointState.WARMING):
            return self._ramp_limit(now)
        return self.warm_limit if self.state == EndpointState.WARM else 0

    def try_enter(self, now):
        """Take a slot if there is one.

        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        if self.in_flight_ >= self.limit(now):
            return False
        self.in_flight_ += 1
        return True

    def leave_slot(self):
        """Give a slot back."""
        self.in_flight_ -= 1

    def _warm_from_start(self, now):
        if self.state == EndpointState.STARTING:
            self.found_warm()
        else:
            self.found_cold()
            self.ramp_began_at_ = now

    def _advance(self, now):
        elapsed = now - self.ramp_began_at_
        if self.state == EndpointState.COLD and elapsed > 0:
            self.begin_warming()
        if self.state == EndpointState.WARMING and elapsed >= self.warm_up_s:
            self.found_warm()

    def _ramp_limit(self, now):
        share = min(max((now - self.ramp_began_at_) / self.warm_up_s, 0.0), 1.0)
        return int(self.cold_limit + share * (self.warm_limit - self.cold_limit))

    def _log_state(self):
        _log.emit(base.Event.ENDPOINT_STATE, state=self.state)
