"""Admission control: fair queues, retry budgets and endpoint limits."""

from sequoiagap.admission._collected import CollectedUsage
from sequoiagap.admission._collectors import COLLECTORS_PER_DOMAIN, UsageCollector
from sequoiagap.admission._crash import Crash
from sequoiagap.admission._fair_queue import FairQueue, Shed, effective_weight
from sequoiagap.admission._gate import EndpointGate
from sequoiagap.admission._health import EndpointHealth
from sequoiagap.admission._limit_share import LimitShare
from sequoiagap.admission._part_quarantine import CRASH_KEPT_S, PartQuarantine
from sequoiagap.admission._rate_limit import NO_LIMIT, NOT_KNOWN, RateLimit
from sequoiagap.admission._retry_budget import RetryBudget
from sequoiagap.admission._roles import EndpointRole, serves_full_requests
from sequoiagap.admission._sheets import RequestCount
from sequoiagap.admission._states import EndpointState
from sequoiagap.admission._usage_messages import DomainUsage, EntryUsage, OtherUsage
from sequoiagap.admission._usage_table import AccountUsage, UsageTable

__all__ = [
    "COLLECTORS_PER_DOMAIN",
    "CRASH_KEPT_S",
    "NOT_KNOWN",
    "NO_LIMIT",
    "AccountUsage",
    "CollectedUsage",
    "Crash",
    "RequestCount",
    "DomainUsage",
    "EndpointGate",
    "EndpointHealth",
    "EndpointRole",
    "EndpointState",
    "EntryUsage",
    "FairQueue",
    "LimitShare",
    "OtherUsage",
    "PartQuarantine",
    "RateLimit",
    "RetryBudget",
    "Shed",
    "UsageCollector",
    "UsageTable",
    "effective_weight",
    "serves_full_requests",
]
