"""Unique ids."""

import secrets

_ID_BYTES = 10


def new_id(prefix):
    """Return a fresh unique id.

    :param str prefix: what the id names, such as ``req``.
    :rtype: str

    >>> new_id("req").startswith("req-")
    True
    """
    return f"{prefix}-{secrets.token_hex(_ID_BYTES)}"
