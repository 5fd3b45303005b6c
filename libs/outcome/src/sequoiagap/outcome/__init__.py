"""What became of a request: ledgers, claims and revocation."""

from sequoiagap.outcome._assembly import AnswerAssembly
from sequoiagap.outcome._journal import Journal
from sequoiagap.outcome._ledger import Ledger, Standing

__all__ = ["AnswerAssembly", "Journal", "Ledger", "Standing"]
