"""Why an agent ends an attempt without a whole answer."""

from sequoiagap import base, outcome, wire

RETRY_AFTER_MS = 500
PLATFORM_RETRY_AFTER_MS = 2000
FULL_RETRY_AFTER_MS = 5000
_ELSEWHERE = "Try another endpoint"
_ASK_AGAIN = "Nothing was run for this call; send it again with the same key"
_CHECK_FIRST = "The request may have run; check before sending it again"


class Refusals:
    """Makes refusals that name the configuration version in force.

    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    """

    def __init__(self, holder):
        self.holder = holder

    def draining(self, attempt_id, setting):
        """Return the refusal of an endpoint that takes no new work."""
        return self._refused(
            base.RefusalKind.DRAINING,
            "endpoint drains",
            _ELSEWHERE,
            attempt_id=attempt_id,
            setting=setting,
        )

    def no_slot(self, attempt_id):
        """Return the refusal of an endpoint that bears no more."""
        return self._refused(
            base.RefusalKind.OVERLOADED,
            "no free slot",
            _ELSEWHERE,
            attempt_id=attempt_id,
        )

    def too_late(self, attempt_id):
        """Return the refusal of an order that came after its deadline."""
        return self._refused(
            base.RefusalKind.DEADLINE,
            "the order came after its deadline",
            "Send the request again with a longer deadline",
            attempt_id=attempt_id,
        )

    def forgotten(self, attempt_id):
        """Return the refusal of an order so old that its id may be forgotten."""
        return self._refused(
            base.RefusalKind.DEADLINE,
            "the order came long after its deadline",
            _CHECK_FIRST,
            result=base.Outcome.UNKNOWN,
            attempt_id=attempt_id,
        )

    def revoked(self, attempt_id):
        """Return the refusal of an attempt that was revoked before it started."""
        return self._refused(
            base.RefusalKind.REVOKED,
            "the attempt was revoked or its deadline passed before it started",
            _ELSEWHERE,
            attempt_id=attempt_id,
        )

    def mismatch(self, attempt_id):
        """Return the refusal of a key that stands for another request."""
        return self._refused(
            base.RefusalKind.IDEMPOTENCY_MISMATCH,
            "the idempotency key stands for another method, path or body",
            "Use a fresh key for a different request",
            attempt_id=attempt_id,
        )

    def answer_gone(self, attempt_id):
        """Return the refusal of a key that ran and whose answer is not held."""
        return self._refused(
            base.RefusalKind.ALREADY_RAN,
            "a request with this key already ran; its answer is no longer held",
            "Look up its effect at the service; don't send it under another key",
            result=base.Outcome.UNKNOWN,
            attempt_id=attempt_id,
        )

    def stopped(self, started):
        """Return the refusal of a run that this agent stopped.

        :param bool started: whether the endpoint may have begun to run it.
        """
        result = base.Outcome.UNKNOWN if started else base.Outcome.NOT_RUN
        return self._refused(
            base.RefusalKind.DRAINING,
            "the agent stopped the run",
            _CHECK_FIRST if started else _ELSEWHERE,
            result=result,
        )

    def endpoint_failed(self, error):
        """Return the refusal of an endpoint that gave no whole answer.

        :param EndpointError error: what happened.
        """
        result = base.Outcome.UNKNOWN if error.sent else base.Outcome.NOT_RUN
        return self._refused(
            base.RefusalKind.ENDPOINT_ERROR,
            error.message,
            _CHECK_FIRST if error.sent else _ELSEWHERE,
            result=result,
        )

    def past_deadline(self):
        """Return the refusal of a run that its deadline cut short."""
        return self._refused(
            base.RefusalKind.DEADLINE,
            "no whole answer came before the deadline",
            _CHECK_FIRST,
            result=base.Outcome.UNKNOWN,
        )

    def no_claim(self, answer, agent, incarnation):
        """Return the refusal of a run whose claim was not given.

        :param sequoiagap.outcome.ClaimResult answer: what became of the claim.
        :param str agent: this agent.
        :param str incarnation: its incarnation.
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
                    _ASK_AGAIN,
                    retry_after_ms=FULL_RETRY_AFTER_MS,
                )
            case outcome.ClaimDecision.TOO_LATE:
                return self._refused(
                    base.RefusalKind.DEADLINE,
                    "the key could not be claimed before the deadline",
                    _ASK_AGAIN,
                    retry_after_ms=PLATFORM_RETRY_AFTER_MS,
                )
            case _:
                return self._refused(
                    base.RefusalKind.PLATFORM_DOWN,
                    "the platform, which keeps claimed keys, does not answer",
                    _ASK_AGAIN,
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
                _CHECK_FIRST,
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
