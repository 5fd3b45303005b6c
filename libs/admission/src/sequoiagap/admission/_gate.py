"""Concurrency limit of an endpoint, enforced by its agent."""

import transitions

from sequoiagap import base
from sequoiagap.admission import _health, _roles, _states

DEFAULT_SETTLE_S = 0.5
MAX_RAMP_DOUBLINGS = 3
RELAPSE_RESET_S = 60.0

_log = base.get_logger("gate")


class EndpointGate:
    """Limits the number of attempts that run at an endpoint at once.

    The limit is 0 until the endpoint has reported for ``settle_s`` the attempts that
    still run there from before the agent started. It is the cold limit while the
    endpoint reports that it is cold. From there it rises by one slot for each
    successful answer, no faster than a ramp of ``warm_up_s`` allows. A new start id, a
    jump of the first-byte time or consecutive errors reset it to the cold limit at
    once.

    :param int warm_limit: maximum number of attempts at a warm endpoint.
    :param int cold_limit: maximum number of attempts at a cold endpoint.
    :param float warm_up_s: shortest ramp from the cold to the warm limit, in seconds.
    :param float settle_s: maximum lag of the endpoint's reports, in seconds.

    :ivar str state: state of the endpoint, see :class:`EndpointState`.
    :ivar bool stalled_: whether the limit is 0 because the endpoint's rank group cannot
        step; set by the agent.
    :ivar int in_flight_: number of this agent's attempts that run now.
    :ivar int inherited_: number of attempts from before the agent started that may
        still run.
    :ivar int successes_: number of successful answers since the ramp began.
    :ivar int relapses_: number of recent returns to the cold state.
    :ivar bool trusted_: whether the endpoint has reported since trust was last revoked.
    :ivar str role_: role of the endpoint, see :class:`EndpointRole`.
    :ivar bool reports_role_: whether the endpoint reports its role.

    >>> gate = EndpointGate(warm_limit=8, cold_limit=1, warm_up_s=4.0)
    >>> gate.record_report("start-1", now=0.0, cold=True)
    >>> gate.try_acquire_slot(now=0.0)
    False
    >>> gate.record_report("start-1", now=0.5, cold=True)
    >>> gate.try_acquire_slot(now=0.5), gate.try_acquire_slot(now=0.5)
    (True, False)
    """

    def __init__(self, warm_limit, cold_limit, warm_up_s, settle_s=DEFAULT_SETTLE_S):
        self.warm_limit = base.check_positive("warm_limit", warm_limit)
        self.cold_limit = base.check_positive("cold_limit", cold_limit)
        self.warm_up_s = base.check_positive("warm_up_s", warm_up_s)
        self.settle_s = settle_s
        self.health_ = _health.EndpointHealth()
        self.in_flight_ = 0
        self.stalled_ = False
        self.inherited_ = 0
        self.successes_ = 0
        self.relapses_ = 0
        self.trusted_ = False
        self.role_ = str(_roles.EndpointRole.BOTH)
        self.reports_role_ = False
        self.start_id_ = ""
        self.ramp_began_at_ = 0.0
        self._reports_cold = False
        self._was_starting = False
        self._first_report_at = None
        self._trust_revoked_at = 0.0
        self._warm_since = 0.0
        self._min_in_flight = 0
        self._previous_min_in_flight = 0
        self.machine_ = transitions.Machine(
            model=self,
            states=[str(state) for state in _states.EndpointState],
            transitions=_states.TRANSITIONS,
            initial=str(_states.EndpointState.STARTING),
            auto_transitions=False,
            after_state_change="_log_state",
        )

    def record_report(self, start_id, now, cold, in_flight=0, requested_at=None):
        """Record a report of the endpoint.

        :param str start_id: id of the endpoint's start; changes with each restart.
        :param float now: monotonic time in seconds.
        :param bool cold: whether the endpoint reports that it is cold.
        :param int in_flight: reported number of requests that run there; may lag.
        :param float requested_at: request time of the report, monotonic time in
            seconds; ``now`` by default.
        """
        requested_at = now if requested_at is None else requested_at
        if requested_at >= self._trust_revoked_at:
            self.trusted_ = True
        if self.state == _states.EndpointState.GONE:
            return
        if self.state == _states.EndpointState.STARTING:
            self._settle(start_id, now, cold, in_flight)
        elif start_id != self.start_id_:
            self.start_id_ = start_id
            self._turn_cold(now, "new_start_id")
        else:
            self._lower_inherited(in_flight)
        self._update_reported_cold(cold, now)

    def check_start_id(self, start_id, now):
        """Detect a restart of the endpoint by the start id of an answer.

        :param str start_id: start id in the answer, or empty if it has none.
        :param float now: monotonic time in seconds.
        """
        if start_id and self.start_id_ and start_id != self.start_id_:
            self.start_id_ = start_id
            self._reports_cold = True
            self._turn_cold(now, "new_start_id")

    def set_drained(self, is_drained, now):
        """Drain the endpoint or return it to service, as operators ordered.

        An endpoint that returns to service ramps up from its cold limit.

        :param bool is_drained: whether the endpoint accepts no new attempts.
        :param float now: monotonic time in seconds.
        """
        if is_drained and self.state not in _states.NOT_SERVING:
            self._was_starting = self.state == _states.EndpointState.STARTING
            self.drain()
        elif not is_drained and self.state == _states.EndpointState.DRAINING:
            self._begin_ramp(now)
            if self._was_starting:
                self._first_report_at = None
                self.restart()
            else:
                self.undrain()

    def set_role(self, role):
        """Record the role that the endpoint reports.

        :param str role: the role, see :class:`EndpointRole`.
        """
        self.role_ = str(role)
        self.reports_role_ = True

    @property
    def serves_full_requests(self):
        """Whether the role of the endpoint serves full requests."""
        return _roles.serves_full_requests(self.role_)

    def revoke_trust(self, now):
        """Apply the cold limit until the endpoint replies to a new report request.

        :param float now: monotonic time in seconds.
        """
        self.trusted_ = False
        self._trust_revoked_at = now

    def record_answer(self, first_byte_s, now):
        """Record a complete answer.

        :param float first_byte_s: time to its first byte in seconds; 0 if that is not
            meaningful, as for answers that arrive in one piece.
        :param float now: monotonic time in seconds.
        """
        is_past_cold = self.state in _states.PAST_COLD
        suspected = bool(first_byte_s) and self.health_.record_answer(
            first_byte_s, updates_baseline=is_past_cold
        )
        if suspected and is_past_cold:
            self._turn_cold(now, "slow_first_byte")
        elif not self.health_.is_slow(first_byte_s):
            self.successes_ += 1

    def record_error(self, now):
        """Record an attempt that failed at the endpoint.

        During the ramp one error restarts it; a warm endpoint turns cold only after
        consecutive errors.

        :param float now: monotonic time in seconds.
        """
        suspected = self.health_.record_error()
        is_ramping = self.state in _states.RAMPING
        if is_ramping or (suspected and self.state == _states.EndpointState.WARM):
            self._turn_cold(now, "errors")

    def limit(self, now):
        """Return the maximum number of attempts that may run at once.

        :param float now: monotonic time in seconds.
        :rtype: int
        """
        self._advance(now)
        if self.stalled_ or not self.serves_full_requests:
            return 0
        if self.state in _states.RAMPING:
            bound = self._ramp_limit(now)
        else:
            bound = self.warm_limit if self.state == _states.EndpointState.WARM else 0
        return bound if self.trusted_ else min(bound, self.cold_limit)

    def try_acquire_slot(self, now):
        """Acquire a slot if one is free.

        :param float now: monotonic time in seconds.
        :returns: whether a slot was acquired.
        :rtype: bool
        """
        if self.in_flight_ + self.inherited_ >= self.limit(now):
            return False
        self.in_flight_ += 1
        return True

    def release_slot(self):
        """Release a slot."""
        self.in_flight_ -= 1
        self._min_in_flight = min(self._min_in_flight, self.in_flight_)

    def describe(self):
        """Return the values that determine the limit, for the state dump.

        :rtype: dict
        """
        return {
            "start_id": self.start_id_,
            "trusted": self.trusted_,
            "role": self.role_,
            "foreign": self.inherited_,
            "proven": self.successes_,
            "relapses": self.relapses_,
            "usual_first_byte_s": self.health_.baseline_s_,
        }

    def _settle(self, start_id, now, cold, in_flight):
        """Leave the starting state after ``settle_s`` of reports of the same start."""
        if self._first_report_at is None or start_id != self.start_id_:
            self.start_id_ = start_id
            self._first_report_at = now
            self.inherited_ = in_flight
        self.inherited_ = max(self.inherited_, in_flight)
        if now - self._first_report_at < self.settle_s:
            return
        self._previous_min_in_flight = self._min_in_flight = 0
        if cold:
            self._turn_cold(now, "start")
        else:
            self._warm_since = now
            self.found_warm()

    def _update_reported_cold(self, cold, now):
        """Delay the ramp while the endpoint reports that it is cold."""
        if cold and self.state in _states.PAST_COLD:
            self._turn_cold(now, "reported_cold")
        if cold or self._reports_cold:
            self._begin_ramp(now)
        self._reports_cold = cold

    def _begin_ramp(self, now):
        self.ramp_began_at_ = now
        self.successes_ = 0

    def _turn_cold(self, now, reason):
        if self.state in _states.NOT_SERVING:
            return
        if self.state != _states.EndpointState.STARTING:
            self.relapses_ += 1
        self.health_.reset_after_suspicion(now)
        self._begin_ramp(now)
        if self.state != _states.EndpointState.COLD:
            _log.emit(base.Event.ENDPOINT_TURNED_COLD, reason=reason)
            self.found_cold()

    def _lower_inherited(self, in_flight):
        """Lower the count of inherited attempts by a report; it never rises."""
        lowest = min(self._min_in_flight, self._previous_min_in_flight)
        self.inherited_ = min(self.inherited_, max(in_flight - lowest, 0))
        self._previous_min_in_flight, self._min_in_flight = (
            self._min_in_flight,
            self.in_flight_,
        )

    def _advance(self, now):
        self.health_.advance(now)
        can_warm = not self._reports_cold and now > self.ramp_began_at_
        if self.state == _states.EndpointState.COLD and can_warm:
            self.begin_warming()
        if self.state == _states.EndpointState.WARMING and self._is_warmed_up(now):
            self._warm_since = now
            self.found_warm()
        if (
            self.state == _states.EndpointState.WARM
            and now - self._warm_since > RELAPSE_RESET_S
        ):
            self.relapses_ = 0

    def _is_warmed_up(self, now):
        return self._ramp_limit(now) >= self.warm_limit

    def _ramp_s(self):
        return self.warm_up_s * 2 ** min(self.relapses_, MAX_RAMP_DOUBLINGS)

    def _ramp_limit(self, now):
        share = min(max((now - self.ramp_began_at_) / self._ramp_s(), 0.0), 1.0)
        by_time = int(share * max(self.warm_limit - self.cold_limit, 0))
        return min(self.cold_limit + min(by_time, self.successes_), self.warm_limit)

    def _log_state(self):
        _log.emit(base.Event.ENDPOINT_STATE, state=self.state)
