"""Roles of model endpoints and the requests that they can serve."""

import enum


class EndpointRole(enum.StrEnum):
    """Phases of a model request that an endpoint runs.

    A full request consists of the prefill of its prompt and the decoding of its tokens.
    An endpoint for only one of these phases sends the KV cache to another endpoint or
    receives it from there.
    """

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"
    CHANGING = "changing"


def serves_full_requests(role):
    """Return whether an endpoint of a role can serve a full request alone.

    Unknown roles cannot.

    :param str role: an :class:`EndpointRole` or any other role that an endpoint
        reports.
    :rtype: bool

    >>> [serves_full_requests(role) for role in ("both", "prefill", "draft")]
    [True, False, False]
    """
    return role == EndpointRole.BOTH
