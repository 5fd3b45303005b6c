"""Admission of requests: fair shares, queues, budgets and endpoint limits."""

from sequoiagap.admission._budget import RetryBudget
from sequoiagap.admission._collected import CollectedUsage
from sequoiagap.admission._collectors import COLLECTORS, UsageCollector
from sequoiagap.admission._fair import FairQueue, Shed, effective_weight
from sequoiagap.admission._gate import EndpointGate
from sequoiagap.admission._health import EndpointHealth
from sequoiagap.admission._roles import EndpointRole, serves_whole
from sequoiagap.admission._sheets import Count
from sequoiagap.admission._states import EndpointState
from sequoiagap.admission._usage import AccountUsage, UsageTable
from sequoiagap.admission._usage_messages import DomainUsage, EntryUsage, OtherUsage

__all__ = [
    "COLLECTORS",
    "AccountUsage",
    "CollectedUsage",
    "Count",
    "DomainUsage",
    "EndpointGate",
    "EndpointHealth",
    "EndpointRole",
    "EndpointState",
    "EntryUsage",
    "FairQueue",
    "OtherUsage",
    "RetryBudget",
    "Shed",
    "UsageCollector",
    "UsageTable",
    "effective_weight",
    "serves_whole",
]
