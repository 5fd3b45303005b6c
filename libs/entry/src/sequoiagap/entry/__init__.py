"""The process on each entry host."""

from sequoiagap.entry._entry import Entry, run
from sequoiagap.entry._peers import PeerMesh

__all__ = ["Entry", "PeerMesh", "run"]
