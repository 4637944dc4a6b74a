"""The inner protocol: typed, versioned, authenticated messages between our own processes."""

from ._counts import TrafficCounts
from ._entry_link import AgentLink, EntryEndpoint
from ._messages import (
    AgentMessage,
    ConfigurationInForce,
    CrashReport,
    EntryMessage,
    EntryStatus,
    HostShares,
    QuarantineNotice,
    RequestRecord,
    RequestRecords,
    UpstreamLeavingNotice,
    UpstreamStatus,
    UpstreamStatuses,
)

__all__ = [
    "AgentLink",
    "EntryEndpoint",
    "TrafficCounts",
    "AgentMessage",
    "ConfigurationInForce",
    "CrashReport",
    "EntryMessage",
    "EntryStatus",
    "HostShares",
    "QuarantineNotice",
    "RequestRecord",
    "RequestRecords",
    "UpstreamLeavingNotice",
    "UpstreamStatus",
    "UpstreamStatuses",
]
