"""Routing decisions: which upstream gets a request, and whether it waits or is refused.

The package does no I/O and reads no clock: callers pass in times and observations.
"""

from ._demand import Demand, EngineSplit
from ._health import Health
from ._jobs import Job, Placement, Refused, Waiting
from ._loads import UpstreamLoad
from ._losses import LossTracker
from ._retries import RetryBudget
from ._router import AttemptEnd, Router
from ._upstreams import UpstreamState
from ._work import estimate_prefill_s

__all__ = [
    "AttemptEnd",
    "Demand",
    "EngineSplit",
    "Health",
    "Job",
    "LossTracker",
    "Placement",
    "Refused",
    "RetryBudget",
    "Router",
    "UpstreamLoad",
    "UpstreamState",
    "Waiting",
    "estimate_prefill_s",
]
