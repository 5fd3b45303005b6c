"""What callers are told when they get no whole answer."""

from sequoiagap import base


def settle(progress, refusal):
    """Return a refusal as is, unless the request may have run.

    :param Progress progress: what is known of the request.
    :param sequoiagap.base.Refusal refusal: what it is refused with.
    :rtype: sequoiagap.base.Refusal
    """
    if not progress.may_have_run:
        return refusal
    return base.Refusal(
        base.RefusalKind.ENDPOINT_LOST,
        f"no whole answer: {progress.reason or refusal.message}",
        "The request may have run; check before sending it again",
        outcome=base.Outcome.UNKNOWN,
    )


def out_of_time():
    """Return the refusal of a request that may have run and has no time left.

    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.DEADLINE,
        "no whole answer came in time",
        "The request may have run; check before sending it again",
        outcome=base.Outcome.UNKNOWN,
    )


def overloaded(reason, retry_after_s):
    """Return the refusal of a request for which there is no room now.

    :param str reason: why.
    :param float retry_after_s: when to come back, in seconds.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.OVERLOADED,
        reason,
        "Send the request again after the time given",
        retry_after_s=retry_after_s,
    )


def keys_unproved(retry_after_s):
    """Return the refusal of a key that can't be proved good.

    :param float retry_after_s: when to come back, in seconds.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.PLATFORM_DOWN,
        "this entry can't prove that the key is still good",
        "Send the request again; another entry may reach the platform",
        retry_after_s=retry_after_s,
        setting="key_proof_ms",
    )
