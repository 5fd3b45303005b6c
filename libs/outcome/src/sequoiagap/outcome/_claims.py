"""Claims: what makes a request with a key run at most once."""

import dataclasses
import enum

MAX_CLAIMS_PER_SHARD = 4000
CLAIM_WINDOW_S = 3600.0


class ClaimVerdict(enum.StrEnum):
    """What became of the wish to claim a key."""

    HELD = "held"
    TAKEN = "taken"
    MISMATCH = "mismatch"
    FULL = "full"
    PLATFORM_DOWN = "platform_down"
    TOO_LATE = "too_late"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim of one key by one run.

    :param str identity: see :func:`sequoiagap.outcome.claim_id`.
    :param str agent: agent that runs the request.
    :param str incarnation: incarnation of that agent.
    :param str nonce: unique to this run.
    :param str digest: digest of the request, to tell another body.
    :param float expires_at: wall-clock time, seconds since the epoch.
    :param bool done: whether the run is known to have ended.
    """

    identity: str
    agent: str
    incarnation: str
    nonce: str
    digest: str
    expires_at: float
    done: bool = False


class ClaimShard:
    """The claims of one shard, as one object of the platform holds them.

    :param dict by_identity: claim by identity.

    >>> shard = ClaimShard()
    >>> claim = Claim("k", "a1", "inc-1", "n1", "d", expires_at=60.0)
    >>> shard.judge(claim, now=0.0)
    <ClaimVerdict.HELD: 'held'>
    >>> shard.add(claim)
    >>> shard.judge(dataclasses.replace(claim, nonce="n2"), now=1.0)
    <ClaimVerdict.TAKEN: 'taken'>
    """

    def __init__(self, by_identity=None):
        self.by_identity = by_identity or {}

    def judge(self, wish, now):
        """Tell what would become of a wish.

        :param Claim wish: the claim that is wished for.
        :param float now: wall-clock time in seconds.
        :rtype: ClaimVerdict
        """
        known = self.by_identity.get(wish.identity)
        if known is None or known.expires_at <= now:
            is_full = len(self.by_identity) >= MAX_CLAIMS_PER_SHARD
            return ClaimVerdict.FULL if is_full else ClaimVerdict.HELD
        if known.digest != wish.digest:
            return ClaimVerdict.MISMATCH
        if known.nonce == wish.nonce:
            return ClaimVerdict.HELD
        return ClaimVerdict.TAKEN

    def add(self, claim):
        """Record a claim.

        :param Claim claim: the claim.
        """
        self.by_identity[claim.identity] = claim

    def release(self, identity, nonce):
        """Remove a claim whose run never started.

        :param str identity: the key's identity.
        :param str nonce: the run's nonce; another's claim stays.
        :returns: whether there was such a claim.
        :rtype: bool
        """
        known = self.by_identity.get(identity)
        if known is None or known.nonce != nonce:
            return False
        del self.by_identity[identity]
        return True

    def mark_done(self, identity, nonce):
        """Record that a run has ended.

        :param str identity: the key's identity.
        :param str nonce: the run's nonce.
        """
        known = self.by_identity.get(identity)
        if known is not None and known.nonce == nonce:
            self.by_identity[identity] = dataclasses.replace(known, done=True)

    def prune(self, now):
        """Drop expired claims; costs no write of its own.

        :param float now: wall-clock time in seconds.
        """
        expired = [c.identity for c in self.by_identity.values() if c.expires_at <= now]
        for identity in expired:
            del self.by_identity[identity]

    def copy(self):
        """Return an independent copy.

        :rtype: ClaimShard
        """
        return ClaimShard(dict(self.by_identity))

    def to_value(self):
        """Return the shard as the platform holds it.

        :rtype: dict
        """
        return {"claims": [dataclasses.astuple(c) for c in self.by_identity.values()]}

    @classmethod
    def from_value(cls, value):
        """Return the shard of a platform object's value.

        :param dict value: what :meth:`to_value` returned.
        :rtype: ClaimShard
        """
        claims = [Claim(*row) for row in value["claims"]]
        return cls({claim.identity: claim for claim in claims})
