"""Entry process: accepts callers' requests and dispatches them to endpoints."""

from sequoiagap.entry._entry import Entry, run
from sequoiagap.entry._peers import PeerMesh

__all__ = ["Entry", "PeerMesh", "run"]
