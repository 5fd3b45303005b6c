"""Sharding of idempotency keys and endpoint affinity of each shard."""

import hashlib

import xxhash

SHARDS_PER_SERVICE = 16
_DIGEST_BYTES = 16


def claim_id(account, target, key):
    """Return the id that scopes an idempotency key to its client account and service.

    :param str account: client account.
    :param str target: service.
    :param str key: idempotency key chosen by the caller.
    :rtype: str

    >>> claim_id("guild", "orders", "k1") == claim_id("guild", "orders", "k2")
    False
    """
    return _digest(account.encode(), target.encode(), key.encode())


def body_digest(method, path, body):
    """Return the digest that distinguishes different requests with the same key.

    :param str method: HTTP method.
    :param str path: HTTP path and query.
    :param bytes body: HTTP body.
    :rtype: str
    """
    return _digest(method.encode(), path.encode(), body)


def shard_of(identity):
    """Return the shard of a claim.

    The number of shards is part of the storage format: agents with different
    numbers would not see each other's claims.

    :param str identity: id of the claim, see :func:`claim_id`.
    :rtype: int
    """
    return _hash(identity) % SHARDS_PER_SERVICE


def rank_by_affinity(identity, endpoint_ids):
    """Return endpoints in the order in which requests with a key prefer them.

    All keys of a shard have the same order (rendezvous hashing), so that a shard
    has one writer as long as entries know the same endpoints.

    :param str identity: id of the claim, see :func:`claim_id`.
    :param list[str] endpoint_ids: endpoints that serve the request.
    :rtype: list[str]

    >>> ranked = rank_by_affinity("k", ["a", "b", "c"])
    >>> rest = [e for e in ranked if e != ranked[0]]
    >>> rank_by_affinity("k", rest) == rest
    True
    """
    shard = shard_of(identity)
    return sorted(
        endpoint_ids,
        key=lambda endpoint_id: _hash(f"{shard}/{endpoint_id}"),
        reverse=True,
    )


def _hash(text):
    return xxhash.xxh64_intdigest(text.encode())


def _digest(*parts):
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
