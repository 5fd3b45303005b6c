"""The process beside each endpoint."""

from sequoiagap.agent._agent import Agent, run

__all__ = ["Agent", "run"]
