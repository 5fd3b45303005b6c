"""The command line: every role of the one binary."""

from sequoiagap.cli._main import main

__all__ = ["main"]
