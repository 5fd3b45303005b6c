"""Admission of requests: fair shares, queues, budgets and endpoint limits."""

from sequoiagap.admission._budget import RetryBudget
from sequoiagap.admission._fair import FairQueue, Shed, effective_weight
from sequoiagap.admission._gate import EndpointGate
from sequoiagap.admission._health import EndpointHealth
from sequoiagap.admission._roles import EndpointRole, serves_whole
from sequoiagap.admission._states import EndpointState
from sequoiagap.admission._usage import AccountUsage, UsageTable

__all__ = [
    "AccountUsage",
    "EndpointGate",
    "EndpointHealth",
    "EndpointRole",
    "EndpointState",
    "FairQueue",
    "RetryBudget",
    "Shed",
    "UsageTable",
    "effective_weight",
    "serves_whole",
]
