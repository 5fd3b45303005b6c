"""One object for the equal values of many items, to keep a large document small.

Most client accounts have one of few settings. What is shared is never changed in
place: sections are frozen, and patches make new plain data.
"""

MAX_SHARED = 1024

_shared_by_key = {}


def share(kind, value, fields):
    """Return an equal object met before in place of a value, or the value.

    :param kind: what keeps values of different kinds apart.
    :param value: the value.
    :param dict fields: all that it consists of.

    >>> first = share("doc", {"a": 1}, {"a": 1})
    >>> share("doc", {"a": 1}, {"a": 1}) is first
    True
    """
    key = (kind, *((name, type(item), item) for name, item in fields.items()))
    try:
        found = _shared_by_key.get(key)
    except TypeError:
        return value  # a field that is a list or a mapping
    if found is not None:
        return found
    if len(_shared_by_key) >= MAX_SHARED:
        _shared_by_key.clear()
    _shared_by_key[key] = value
    return value
