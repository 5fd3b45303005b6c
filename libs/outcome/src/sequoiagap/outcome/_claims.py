"""Claims: what makes a request with a key run at most once."""

import dataclasses
import enum

from sequoiagap.outcome import _packed

MAX_CLAIMS_PER_SHARD = 16_000
MAX_HEAD_CLAIMS = 256
CLAIM_WINDOW_S = 900.0


class ClaimDecision(enum.StrEnum):
    """What became of the wish to claim a key."""

    HELD = "held"
    TAKEN = "taken"
    MISMATCH = "mismatch"
    FULL = "full"
    PLATFORM_DOWN = "platform_down"
    TOO_LATE = "too_late"


class ClaimState(enum.StrEnum):
    """What is known of a claim."""

    HELD = "held"
    DONE = "done"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim of one key by one run.

    :param str identity: see :func:`sequoiagap.outcome.claim_id`.
    :param str agent: agent that runs the request.
    :param str incarnation: incarnation of that agent.
    :param str nonce: unique to this run.
    :param str digest: digest of the request, to tell another body.
    :param float expires_at: wall-clock time, seconds since the epoch.
    :param str state: a :class:`ClaimState`; ``done`` once the run is known to have
        ended, ``released`` if it never started.
    """

    identity: str
    agent: str
    incarnation: str
    nonce: str
    digest: str
    expires_at: float
    state: str = str(ClaimState.HELD)


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """A full head that was set aside; it never changes.

    :param int version: version of the head that it was.
    :param float expires_at: when its last claim expires.
    """

    version: int
    expires_at: float


class ClaimShard:
    """The claims of one shard: a small head, and segments set aside.

    Only the head is written again and again. A claim in the head overrides one
    of the same key in a segment.

    :param dict by_identity: claim of the head by identity.
    :param tuple segments: segments that the head names.
    :param PackedClaims sealed: claims of the segments.

    >>> shard = ClaimShard()
    >>> claim = Claim("k", "a1", "inc-1", "n1", "d", expires_at=60.0)
    >>> shard.judge(claim, now=0.0)
    <ClaimDecision.HELD: 'held'>
    >>> shard.add(claim)
    >>> shard.judge(dataclasses.replace(claim, nonce="n2"), now=1.0)
    <ClaimDecision.TAKEN: 'taken'>
    """

    def __init__(self, by_identity=None, segments=(), sealed=None):
        self.by_identity = by_identity or {}
        self.segments = segments
        self.sealed = _packed.PackedClaims(Claim) if sealed is None else sealed

    @property
    def is_head_full(self):
        """Whether the head is to be set aside before it grows further."""
        return len(self.by_identity) >= MAX_HEAD_CLAIMS

    def find(self, identity):
        """Return the claim of a key, or ``None``.

        :param str identity: the key's identity.
        :rtype: Claim | None
        """
        known = self.by_identity.get(identity)
        return known or self.sealed.get(identity)

    def decide(self, proposal, now):
        """Tell what would become of a wish.

        :param Claim wish: the claim that is wished for.
        :param float now: wall-clock time in seconds.
        :rtype: ClaimDecision
        """
        known = self.find(proposal.identity)
        if not _is_in_force(known, now):
            count = len(self.by_identity) + len(self.sealed)
            is_full = count >= MAX_CLAIMS_PER_SHARD
            return ClaimDecision.FULL if is_full else ClaimDecision.HELD
        if known.digest != proposal.digest:
            return ClaimDecision.MISMATCH
        if known.nonce == proposal.nonce:
            return ClaimDecision.HELD
        return ClaimDecision.TAKEN

    def add(self, claim):
        """Record a claim.

        :param Claim claim: the claim.
        """
        self.by_identity[claim.identity] = claim

    def release(self, identity, nonce):
        """Take back a claim whose run never started.

        :param str identity: the key's identity.
        :param str nonce: the run's nonce; another's claim stays.
        :returns: whether there was such a claim in force.
        :rtype: bool
        """
        known = self.find(identity)
        if known is None or known.nonce != nonce:
            return False
        if known.state == ClaimState.RELEASED:
            return False
        if identity in self.sealed:
            self.add(dataclasses.replace(known, state=str(ClaimState.RELEASED)))
        else:
            del self.by_identity[identity]
        return True

    def mark_done(self, identity, nonce, overrides=False):
        """Record that a run has ended, if its claim is in the head.

        :param str identity: the key's identity.
        :param str nonce: the run's nonce.
        :param bool overrides: whether to override a claim that was set aside too,
            if the head has room.
        :returns: whether that changed the shard.
        :rtype: bool
        """
        known = self.find(identity)
        if known is None or known.nonce != nonce or known.state == ClaimState.DONE:
            return False
        may_add = overrides and not self.is_head_full
        if identity not in self.by_identity and not may_add:
            return False
        self.add(dataclasses.replace(known, state=str(ClaimState.DONE)))
        return True

    def prune(self, now, deleted=()):
        """Drop expired claims and deleted segments; costs no write of its own.

        A segment is named until it is deleted, so that none is forgotten.

        :param float now: wall-clock time in seconds.
        :param deleted: versions of the segments that are known to be deleted.
        """
        expired = [c.identity for c in self.by_identity.values() if c.expires_at <= now]
        for identity in expired:
            del self.by_identity[identity]
        if any(segment.expires_at <= now for segment in self.segments):
            self.sealed = self.sealed.unexpired(now)
        self.segments = tuple(s for s in self.segments if s.version not in deleted)

    def set_aside(self, version, sealed):
        """Return the shard with its head set aside as a segment.

        :param int version: version of the head.
        :param PackedClaims sealed: claims of all segments, that one included.
        :rtype: ClaimShard
        """
        last = max(claim.expires_at for claim in self.by_identity.values())
        segments = (*self.segments, Segment(version, last))
        return ClaimShard({}, segments, sealed)

    def copy(self):
        """Return a copy whose head is independent.

        :rtype: ClaimShard
        """
        head = dict(self.by_identity)
        return ClaimShard(head, self.segments, self.sealed)

    def to_value(self):
        """Return the head as the platform holds it.

        :rtype: dict
        """
        agents = {}
        rows = [_to_row(claim, agents) for claim in self.by_identity.values()]
        segments = [dataclasses.astuple(segment) for segment in self.segments]
        return {"agents": list(agents), "claims": rows, "segments": segments}

    @classmethod
    def from_value(cls, value):
        """Return the head of a platform object's value, without its segments.

        :param dict value: what :meth:`to_value` returned.
        :rtype: ClaimShard
        """
        agents = value["agents"]
        claims = [_from_row(row, agents) for row in value["claims"]]
        segments = tuple(Segment(*row) for row in value["segments"])
        return cls({claim.identity: claim for claim in claims}, segments)


def _is_in_force(claim, now):
    if claim is None or claim.expires_at <= now:
        return False
    return claim.state != ClaimState.RELEASED


def _to_row(claim, agents):
    """Return a claim as a list; agents are named once, in a list of their own."""
    number = agents.setdefault((claim.agent, claim.incarnation), len(agents))
    expires_at = round(claim.expires_at, 3)
    return [
        claim.identity,
        number,
        claim.nonce,
        claim.digest,
        expires_at,
        str(claim.state),
    ]


def _from_row(row, agents):
    identity, number, nonce, digest, expires_at, state = row
    agent, incarnation = agents[number]
    return Claim(identity, agent, incarnation, nonce, digest, expires_at, state)
