"""The process on each entry host."""

from sequoiagap.entry._entry import Entry, run

__all__ = ["Entry", "run"]
