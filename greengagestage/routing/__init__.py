"""Routing decisions: which upstream gets a request, and whether it waits or is refused.

The package does no I/O and reads no clock: callers pass in times and observations.
"""

from ._crash_suspects import (
    CRASHES_TO_QUARANTINE,
    EVIDENCE_LIFETIME_S,
    CrashSuspects,
    PartLoss,
    SuspectRecord,
)
from ._demand import Demand
from ._domain_shares import (
    DomainLoad,
    LeavingCosts,
    LeavingReason,
    LeavingShare,
    RouteShares,
    choose_domain,
)
from ._domain_traffic import Crossing, DomainTraffic
from ._engine_model import EngineModel, EngineSpeed, PrefillSamples, fit_speed
from ._engine_split import EngineSplit, GroupDemand
from ._health import Health
from ._jobs import Job, Placement, Refused, StreamOrigin, Waiting
from ._links import ForwardingHost, LinkMonitor
from ._loads import UpstreamLoad
from ._losses import LOSSES_TO_QUARANTINE, LossRecord, LossTracker, build_trial_id
from ._overload import UrgencyTraffic
from ._recent_losses import ObservedLoss, RecentLosses
from ._retries import RetryBudgets, RetryUsage
from ._route_groups import RouteTraffic
from ._router import AttemptEnd, Router
from ._software_versions import StreamRecord, StreamVersions, VersionRecord
from ._trials import MAX_QUARANTINE_S, QuarantinedSubject, SubjectKind, TrialRequest, Trials
from ._upstreams import UpstreamState

__all__ = [
    "AttemptEnd",
    "CRASHES_TO_QUARANTINE",
    "EVIDENCE_LIFETIME_S",
    "CrashSuspects",
    "Crossing",
    "Demand",
    "DomainLoad",
    "DomainTraffic",
    "EngineModel",
    "EngineSpeed",
    "EngineSplit",
    "GroupDemand",
    "ForwardingHost",
    "Health",
    "Job",
    "LeavingCosts",
    "LeavingReason",
    "LeavingShare",
    "LinkMonitor",
    "LOSSES_TO_QUARANTINE",
    "LossRecord",
    "LossTracker",
    "MAX_QUARANTINE_S",
    "PartLoss",
    "Placement",
    "PrefillSamples",
    "QuarantinedSubject",
    "Refused",
    "ObservedLoss",
    "RecentLosses",
    "RetryBudgets",
    "RetryUsage",
    "RouteShares",
    "RouteTraffic",
    "Router",
    "StreamOrigin",
    "StreamRecord",
    "StreamVersions",
    "SubjectKind",
    "SuspectRecord",
    "TrialRequest",
    "Trials",
    "UpstreamLoad",
    "UpstreamState",
    "UrgencyTraffic",
    "VersionRecord",
    "Waiting",
    "build_trial_id",
    "fit_speed",
    "choose_domain",
]
