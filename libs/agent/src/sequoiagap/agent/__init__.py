"""The agent process: runs beside one endpoint and sends all requests to it."""

from sequoiagap.agent._agent import Agent, run
from sequoiagap.agent._config_sync import ConfigSync
from sequoiagap.agent._guard import ConfigGuard
from sequoiagap.agent._orders import OrderForwarder

__all__ = ["Agent", "ConfigGuard", "ConfigSync", "OrderForwarder", "run"]
