"""Interning of equal values, to reduce the memory of large documents.

Most client accounts have one of few combinations of settings. Interned values are
never modified: sections are frozen, and patches create new plain data.
"""

MAX_INTERNED = 1024

_interned_by_key = {}


def intern(kind, value, fields):
    """Return an equal value that was interned before, or else the value itself.

    :param kind: separates equal fields of different kinds of values.
    :param value: value to intern.
    :param dict fields: all fields of the value, which determine equality.

    >>> first = intern("doc", {"a": 1}, {"a": 1})
    >>> intern("doc", {"a": 1}, {"a": 1}) is first
    True
    """
    key = (kind, *((name, type(item), item) for name, item in fields.items()))
    try:
        found = _interned_by_key.get(key)
    except TypeError:
        return value  # a field that is a list or mapping can't be a key
    if found is not None:
        return found
    if len(_interned_by_key) >= MAX_INTERNED:
        _interned_by_key.clear()
    _interned_by_key[key] = value
    return value
