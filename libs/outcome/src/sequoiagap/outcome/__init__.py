"""What became of a request: ledgers, claims and revocation."""

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
    ClaimShard,
    ClaimState,
    ClaimVerdict,
)
from sequoiagap.outcome._journal import Journal
from sequoiagap.outcome._ledger import MAX_DEADLINE_S, Ledger, Standing
from sequoiagap.outcome._shard_writer import ClaimAnswer

__all__ = [
    "CLAIM_WINDOW_S",
    "MAX_CLAIMS_PER_SHARD",
    "MAX_DEADLINE_S",
    "SHARDS_PER_SERVICE",
    "AnswerAssembly",
    "AnswerBuffer",
    "Claim",
    "ClaimAnswer",
    "ClaimShard",
    "ClaimState",
    "ClaimStore",
    "ClaimVerdict",
    "Journal",
    "Ledger",
    "Standing",
    "body_digest",
    "claim_id",
    "rank_by_affinity",
    "shard_of",
]
