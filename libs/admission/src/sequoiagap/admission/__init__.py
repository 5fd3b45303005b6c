"""Admission of requests: fair shares, queues, budgets and endpoint limits."""

from sequoiagap.admission._budget import RetryBudget
from sequoiagap.admission._gate import EndpointGate, EndpointState

__all__ = ["EndpointGate", "EndpointState", "RetryBudget"]
