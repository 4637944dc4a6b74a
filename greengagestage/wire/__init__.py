"""The inner protocol: typed, versioned, authenticated messages between our own processes."""

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
