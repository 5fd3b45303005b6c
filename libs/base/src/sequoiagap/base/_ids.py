"""Random unique ids of requests, attempts and other objects."""

import secrets

_ID_BYTES = 10


def new_id(prefix):
    """Return a new random id.

    :param str prefix: kind of the identified object, such as ``req``.
    :rtype: str

    >>> new_id("req").startswith("req-")
    True
    """
    return f"{prefix}-{secrets.token_hex(_ID_BYTES)}"
