"""State of requests and attempts: ledgers, claims, answers and decision journal."""

from sequoiagap.outcome._affinity import (
    SHARDS_PER_SERVICE,
    body_digest,
    claim_id,
    rank_by_affinity,
    shard_of,
)
from sequoiagap.outcome._assembly import AnswerAssembly
from sequoiagap.outcome._buffer import AnswerBuffer
from sequoiagap.outcome._claim_store import ClaimStore
from sequoiagap.outcome._claims import (
    CLAIM_WINDOW_S,
    MAX_CLAIMS_PER_SHARD,
    Claim,
    ClaimDecision,
    ClaimShard,
    ClaimState,
)
from sequoiagap.outcome._journal import Journal
from sequoiagap.outcome._ledger import MAX_DEADLINE_S, AttemptState, Ledger
from sequoiagap.outcome._shard_writer import ClaimResult

__all__ = [
    "CLAIM_WINDOW_S",
    "MAX_CLAIMS_PER_SHARD",
    "MAX_DEADLINE_S",
    "SHARDS_PER_SERVICE",
    "AnswerAssembly",
    "AnswerBuffer",
    "AttemptState",
    "Claim",
    "ClaimDecision",
    "ClaimResult",
    "ClaimShard",
    "ClaimState",
    "ClaimStore",
    "Journal",
    "Ledger",
    "body_digest",
    "claim_id",
    "rank_by_affinity",
    "shard_of",
]
