"""Roles of model endpoints, and what each can serve."""

import enum


class EndpointRole(enum.StrEnum):
    """What an endpoint does of a model request.

    A whole request has its prompt read and its tokens decoded. An endpoint for
    one of the two needs another one to hand the KV cache to, or to take it from.
    """

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"
    CHANGING = "changing"


def serves_full_requests(role):
    """Return whether an endpoint of a role can serve a whole request alone.

    A role that is not known here can't.

    :param str role: an :class:`EndpointRole`, or what an endpoint calls its own.
    :rtype: bool

    >>> serves_full_requests("both"), serves_full_requests("prefill"), serves_full_requests("draft")
    (True, False, False)
    """
    return role == EndpointRole.BOTH
