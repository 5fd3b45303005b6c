"""Rendezvous hashing: a stable selection without coordination between processes."""

import hashlib


def choose(key, ids, count):
    """Return the ids with the highest weights for a key, in descending order.

    An id that is added or removed changes the selection of few keys only.

    :param str key: id of the process that chooses.
    :param ids: candidates.
    :type ids: collections.abc.Iterable[str]
    :param int count: maximum number of ids to return.
    :rtype: list[str]

    >>> choose("agent-1", ["entry-1", "entry-2"], 5) == sorted(
    ...     ["entry-1", "entry-2"], key=lambda i: _weight("agent-1", i), reverse=True
    ... )
    True
    """
    ordered = sorted(set(ids), key=lambda item: _weight(key, item), reverse=True)
    return ordered[:count]


def rank(key, own_id, ids):
    """Return the position of an id in the order of weights for a key, from 0.

    :param str key: key that the ids are weighted for.
    :param str own_id: id to find; it need not be among ``ids``.
    :param ids: candidates.
    :type ids: collections.abc.Iterable[str]
    :rtype: int
    """
    candidates = {*ids, own_id}
    return choose(key, candidates, len(candidates)).index(own_id)


def _weight(key, item):
    text = f"{key}/{item}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
