"""The agent process of a host: configuration, membership, load polls, orders, operators' API."""

from ._configuration_store import (
    Acceptance,
    Accepted,
    ConfigurationStore,
    HeadState,
    NotAccepted,
    Proposal,
    Undecided,
    VersionConflict,
)
from ._endpoint import listen_http
from ._process import AgentProcess
from ._settings import AgentSettings, AgentTimes

__all__ = [
    "Acceptance",
    "Accepted",
    "AgentProcess",
    "AgentSettings",
    "AgentTimes",
    "ConfigurationStore",
    "HeadState",
    "NotAccepted",
    "Proposal",
    "Undecided",
    "VersionConflict",
    "listen_http",
]
