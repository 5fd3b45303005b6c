"""Claims of idempotency keys: a request with a key runs at most once."""

import dataclasses
import enum

from sequoiagap.outcome import _packed

MAX_CLAIMS_PER_SHARD = 16_000
MAX_HEAD_CLAIMS = 256  # a head with this many claims is sealed
CLAIM_WINDOW_S = 900.0


class ClaimDecision(enum.StrEnum):
    """Decision on a proposal to claim a key.

    ``HELD`` grants the claim. It is denied if another run claimed the key
    (``TAKEN``), if the key was claimed for a different request (``MISMATCH``) or if
    the shard is full. ``PLATFORM_DOWN`` and ``TOO_LATE`` say that the platform
    failed or did not answer in time; the proposal is then withdrawn.
    """

    HELD = "held"
    TAKEN = "taken"
    MISMATCH = "mismatch"
    FULL = "full"
    PLATFORM_DOWN = "platform_down"
    TOO_LATE = "too_late"


class ClaimState(enum.StrEnum):
    """State of a claim, as far as it is known."""

    HELD = "held"
    DONE = "done"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim of one idempotency key by one run of a request.

    :param str identity: id of the scoped key, see
        :func:`sequoiagap.outcome.claim_id`.
    :param str agent: agent that runs the request.
    :param str incarnation: incarnation of that agent.
    :param str nonce: unique id of the run.
    :param str digest: digest of the request, to detect a different request with the
        same key.
    :param float expires_at: time of expiry, seconds since the epoch.
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
    """Reference to an immutable segment, which was once a full head.

    :param int version: version of the head that was sealed.
    :param float expires_at: time of expiry of its last claim, seconds since the
        epoch.
    """

    version: int
    expires_at: float


class ClaimShard:
    """Holds the claims of one shard in a mutable head and sealed segments.

    Writes replace the head only, so that their size stays small. A claim in the
    head overrides a claim of the same key in a segment.

    :param dict by_identity: claims of the head by identity.
    :param tuple segments: each :class:`Segment` that the head refers to.
    :param PackedClaims sealed: claims of these segments.

    >>> shard = ClaimShard()
    >>> claim = Claim("k", "a1", "inc-1", "n1", "d", expires_at=60.0)
    >>> shard.decide(claim, now=0.0)
    <ClaimDecision.HELD: 'held'>
    >>> shard.add(claim)
    >>> shard.decide(dataclasses.replace(claim, nonce="n2"), now=1.0)
    <ClaimDecision.TAKEN: 'taken'>
    """

    def __init__(self, by_identity=None, segments=(), sealed=None):
        self.by_identity = by_identity or {}
        self.segments = segments
        self.sealed = _packed.PackedClaims(Claim) if sealed is None else sealed

    @property
    def is_head_full(self):
        """Whether the head must be sealed before claims are added."""
        return len(self.by_identity) >= MAX_HEAD_CLAIMS

    def find(self, identity):
        """Return the claim of a key, or ``None`` if there is none.

        :param str identity: id of the scoped key.
        :rtype: Claim | None
        """
        existing = self.by_identity.get(identity)
        return existing or self.sealed.get(identity)

    def decide(self, proposal, now):
        """Return the decision on a proposal; the shard stays as it is.

        :param Claim proposal: proposed claim.
        :param float now: wall-clock time in seconds.
        :rtype: ClaimDecision
        """
        existing = self.find(proposal.identity)
        if not _is_in_force(existing, now):
            count = len(self.by_identity) + len(self.sealed)
            is_full = count >= MAX_CLAIMS_PER_SHARD
            return ClaimDecision.FULL if is_full else ClaimDecision.HELD
        if existing.digest != proposal.digest:
            return ClaimDecision.MISMATCH
        if existing.nonce == proposal.nonce:
            return ClaimDecision.HELD
        return ClaimDecision.TAKEN

    def add(self, claim):
        """Add a claim to the head.

        :param Claim claim: claim to add.
        """
        self.by_identity[claim.identity] = claim

    def release(self, identity, nonce):
        """Release a claim whose run never started.

        :param str identity: id of the scoped key.
        :param str nonce: nonce of the run; claims of other runs are kept.
        :returns: whether such a claim was found and not yet released.
        :rtype: bool
        """
        existing = self.find(identity)
        if existing is None or existing.nonce != nonce:
            return False
        if existing.state == ClaimState.RELEASED:
            return False
        if identity in self.sealed:
            self.add(dataclasses.replace(existing, state=str(ClaimState.RELEASED)))
        else:
            del self.by_identity[identity]
        return True

    def mark_done(self, identity, nonce, overrides=False):
        """Record the end of a run if its claim is in the head.

        :param str identity: id of the scoped key.
        :param str nonce: nonce of the run.
        :param bool overrides: whether to override a sealed claim too, unless the
            head is full.
        :returns: whether the shard was changed.
        :rtype: bool
        """
        existing = self.find(identity)
        if (
            existing is None
            or existing.nonce != nonce
            or existing.state == ClaimState.DONE
        ):
            return False
        may_add = overrides and not self.is_head_full
        if identity not in self.by_identity and not may_add:
            return False
        self.add(dataclasses.replace(existing, state=str(ClaimState.DONE)))
        return True

    def prune(self, now, deleted=()):
        """Remove expired claims and references to deleted segments.

        The removal needs no write of its own. The head refers to a segment until it
        is deleted, so that no segment is left behind in the platform.

        :param float now: wall-clock time in seconds.
        :param deleted: versions of the segments that are known to be deleted.
        """
        expired = [c.identity for c in self.by_identity.values() if c.expires_at <= now]
        for identity in expired:
            del self.by_identity[identity]
        if any(segment.expires_at <= now for segment in self.segments):
            self.sealed = self.sealed.unexpired(now)
        self.segments = tuple(s for s in self.segments if s.version not in deleted)

    def with_sealed_head(self, version, sealed):
        """Return the shard with an empty head, after the head was sealed as a segment.

        :param int version: version of the sealed head.
        :param PackedClaims sealed: claims of all segments, including the new one.
        :rtype: ClaimShard
        """
        last = max(claim.expires_at for claim in self.by_identity.values())
        segments = (*self.segments, Segment(version, last))
        return ClaimShard({}, segments, sealed)

    def copy(self):
        """Return a copy with an independent head.

        :rtype: ClaimShard
        """
        head = dict(self.by_identity)
        return ClaimShard(head, self.segments, self.sealed)

    def to_value(self):
        """Return the head as the value of a platform object.

        :rtype: dict
        """
        agents = {}
        rows = [_to_row(claim, agents) for claim in self.by_identity.values()]
        segments = [dataclasses.astuple(segment) for segment in self.segments]
        return {"agents": list(agents), "claims": rows, "segments": segments}

    @classmethod
    def from_value(cls, value):
        """Return the head stored in a platform object, without its segments.

        :param dict value: value of the object, see :meth:`to_value`.
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
    """Return a claim as a list; its agent is an index, so each is stored once."""
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
