"""Rendezvous hashing: a stable choice of few among many, without agreement."""

import hashlib


def choose(key, ids, count):
    """Return the few ids that a key prefers; stable while they exist.

    :param str key: who chooses.
    :param ids: what to choose among.
    :type ids: collections.abc.Iterable[str]
    :param int count: how many to choose at most.
    :rtype: list[str]

    >>> choose("agent-1", ["entry-1", "entry-2"], 5) == sorted(
    ...     ["entry-1", "entry-2"], key=lambda i: _weight("agent-1", i), reverse=True
    ... )
    True
    """
    ordered = sorted(set(ids), key=lambda item: _weight(key, item), reverse=True)
    return ordered[:count]


def rank(key, own_id, ids):
    """Return the place of an id in the order that a key prefers, from 0.

    :param str key: who chooses.
    :param str own_id: the id; it counts whether it is among the ids or not.
    :param ids: what to choose among.
    :type ids: collections.abc.Iterable[str]
    :rtype: int
    """
    everyone = {*ids, own_id}
    return choose(key, everyone, len(everyone)).index(own_id)


def _weight(key, item):
    text = f"{key}/{item}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
