"""Refusals: the messages that end an attempt without a complete answer."""

from sequoiagap import base, outcome, wire

RETRY_AFTER_MS = 500
PLATFORM_RETRY_AFTER_MS = 2000
CLAIMS_FULL_RETRY_AFTER_MS = 5000
_TRY_OTHER_ENDPOINT = "Try another endpoint"
_RESEND_SAME_KEY = "The request was not run; send it again with the same key"
_CHECK_BEFORE_RESENDING = "The request may have run; check before sending it again"


class Refusals:
    """Creates refusals, which carry the configuration version in force.

    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    """

    def __init__(self, holder):
        self.holder = holder

    def draining(self, attempt_id, setting):
        """Return the refusal of an endpoint that accepts no new attempts."""
        return self._refused(
            base.RefusalKind.DRAINING,
            "the endpoint is draining",
            _TRY_OTHER_ENDPOINT,
            attempt_id=attempt_id,
            setting=setting,
        )

    def no_slot(self, attempt_id):
        """Return the refusal of an endpoint whose slots and queue are full."""
        return self._refused(
            base.RefusalKind.OVERLOADED,
            "the endpoint has no free slot",
            _TRY_OTHER_ENDPOINT,
            attempt_id=attempt_id,
        )

    def too_late(self, attempt_id):
        """Return the refusal of an order that arrived after its deadline."""
        return self._refused(
            base.RefusalKind.DEADLINE,
            "the attempt arrived after its deadline",
            "Send the request again with a longer deadline",
            attempt_id=attempt_id,
        )

    def forgotten(self, attempt_id):
        """Return the refusal of an order that arrived long after its deadline.

        Its attempt id may have been dropped, so it is unknown whether it has run.
        """
        return self._refused(
            base.RefusalKind.DEADLINE,
            "the attempt arrived long after its deadline",
            _CHECK_BEFORE_RESENDING,
            result=base.Outcome.UNKNOWN,
            attempt_id=attempt_id,
        )

    def revoked(self, attempt_id):
        """Return the refusal of an attempt that was revoked before it started."""
        return self._refused(
            base.RefusalKind.REVOKED,
            "the attempt was revoked or its deadline passed before it started",
            _TRY_OTHER_ENDPOINT,
            attempt_id=attempt_id,
        )

    def mismatch(self, attempt_id):
        """Return the refusal of a key that belongs to a different request."""
        return self._refused(
            base.RefusalKind.IDEMPOTENCY_MISMATCH,
            "the idempotency key was used with another method, path or body",
            "Use a fresh key for a different request",
            attempt_id=attempt_id,
        )

    def answer_gone(self, attempt_id):
        """Return the refusal of a key that was used, whose answer is no longer held."""
        return self._refused(
            base.RefusalKind.ALREADY_RAN,
            "a request with this key already ran; its answer is no longer held",
            "Look up its effect at the service; don't send it under another key",
            result=base.Outcome.UNKNOWN,
            attempt_id=attempt_id,
        )

    def stopped(self, started):
        """Return the refusal of a run that this agent stopped.

        :param bool started: whether the endpoint may have started to run it.
        """
        result = base.Outcome.UNKNOWN if started else base.Outcome.NOT_RUN
        return self._refused(
            base.RefusalKind.DRAINING,
            "the agent stopped the run",
            _CHECK_BEFORE_RESENDING if started else _TRY_OTHER_ENDPOINT,
            result=result,
        )

    def endpoint_failed(self, error):
        """Return the refusal after an incomplete answer of the endpoint.

        :param EndpointError error: failure of the endpoint.
        """
        result = base.Outcome.UNKNOWN if error.sent else base.Outcome.NOT_RUN
        return self._refused(
            base.RefusalKind.ENDPOINT_ERROR,
            error.message,
            _CHECK_BEFORE_RESENDING if error.sent else _TRY_OTHER_ENDPOINT,
            result=result,
        )

    def past_deadline(self):
        """Return the refusal of a run that its deadline ended."""
        return self._refused(
            base.RefusalKind.DEADLINE,
            "no complete answer arrived before the deadline",
            _CHECK_BEFORE_RESENDING,
            result=base.Outcome.UNKNOWN,
        )

    def no_claim(self, answer, agent, incarnation):
        """Return the refusal of a run whose key could not be claimed.

        :param sequoiagap.outcome.ClaimResult answer: result of the claim.
        :param str agent: node id of this agent.
        :param str incarnation: incarnation of this agent.
        """
        match answer.decision:
            case outcome.ClaimDecision.TAKEN:
                return self._taken(answer.claim, agent, incarnation)
            case outcome.ClaimDecision.MISMATCH:
                return self.mismatch("")
            case outcome.ClaimDecision.FULL:
                return self._refused(
                    base.RefusalKind.OVERLOADED,
                    "too many keys are claimed at once",
                    _RESEND_SAME_KEY,
                    retry_after_ms=CLAIMS_FULL_RETRY_AFTER_MS,
                )
            case outcome.ClaimDecision.TOO_LATE:
                return self._refused(
                    base.RefusalKind.DEADLINE,
                    "the key could not be claimed before the deadline",
                    _RESEND_SAME_KEY,
                    retry_after_ms=PLATFORM_RETRY_AFTER_MS,
                )
            case _:
                return self._refused(
                    base.RefusalKind.PLATFORM_DOWN,
                    "the platform, which stores claimed keys, does not answer",
                    _RESEND_SAME_KEY,
                    retry_after_ms=PLATFORM_RETRY_AFTER_MS,
                )

    def _taken(self, claim, agent, incarnation):
        if claim.state == outcome.ClaimState.DONE or (
            claim.agent,
            claim.incarnation,
        ) == (agent, incarnation):
            refusal = self.answer_gone("")
        else:
            refusal = self._refused(
                base.RefusalKind.ENDPOINT_LOST,
                f"the key was claimed by {claim.agent}, which may have run it",
                _CHECK_BEFORE_RESENDING,
                result=base.Outcome.UNKNOWN,
            )
        if claim.agent != agent:
            refusal.owner = claim.agent
        return refusal

    def _refused(
        self,
        kind,
        text,
        remedy,
        result=base.Outcome.NOT_RUN,
        retry_after_ms=RETRY_AFTER_MS,
        attempt_id="",
        setting="",
    ):
        is_safe = result == base.Outcome.NOT_RUN
        return wire.Refused(
            attempt_id=attempt_id,
            kind=str(kind),
            text=text,
            remedy=remedy,
            outcome=str(result),
            retry_after_ms=retry_after_ms if is_safe else 0,
            config_version=self.holder.current_.number,
            setting=setting,
        )
