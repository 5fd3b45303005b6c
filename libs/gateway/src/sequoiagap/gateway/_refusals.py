"""Refusals for callers that receive no complete answer."""

from sequoiagap import base


def final_refusal(progress, refusal):
    """Return a refusal as is, or one of unknown outcome if the request may have run.

    :param Progress progress: progress of the request.
    :param sequoiagap.base.Refusal refusal: refusal if the request did not run.
    :rtype: sequoiagap.base.Refusal
    """
    if not progress.may_have_run:
        return refusal
    return base.Refusal(
        base.RefusalKind.ENDPOINT_LOST,
        f"no complete answer: {progress.reason or refusal.message}",
        "The request may have run; check before sending it again",
        outcome=base.Outcome.UNKNOWN,
    )


def deadline_exceeded():
    """Return the refusal of a request that may have run and has no time left.

    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.DEADLINE,
        "no complete answer arrived before the deadline",
        "The request may have run; check before sending it again",
        outcome=base.Outcome.UNKNOWN,
    )


def overloaded(reason, retry_after_s):
    """Return the refusal of a request that exceeds the present capacity.

    :param str reason: reason for the caller.
    :param float retry_after_s: delay before the caller retries, in seconds.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.OVERLOADED,
        reason,
        "Send the request again after the given delay",
        retry_after_s=retry_after_s,
    )


def quarantined(suspicion, retry_after_s):
    """Return the refusal of a request with a part that crashes endpoints.

    :param sequoiagap.admission.Suspicion suspicion: what is known of the part.
    :param float retry_after_s: time until the part is tried again, in seconds.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.QUARANTINED,
        f"endpoints crashed {suspicion.outages} times as they began to answer"
        f" requests with the part {suspicion.part}",
        "Send a request without this part, or the same after the given delay",
        retry_after_s=retry_after_s,
    )


def key_not_proved(retry_after_s):
    """Return the refusal of a key that can't be proved valid.

    :param float retry_after_s: delay before the caller retries, in seconds.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.PLATFORM_DOWN,
        "this entry can't prove that the key is still valid",
        "Send the request again; another entry may reach the platform",
        retry_after_s=retry_after_s,
        setting="key_proof_ms",
    )
