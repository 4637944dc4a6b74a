"""Configuration data of a host: settings, routes, services, workspaces, registered upstreams."""

from ._prompts import Prompt, PromptPart
from ._routes import (
    ConnectionLimits,
    Destination,
    EngineProfile,
    Route,
    RouteKind,
    RouteTable,
    Scaling,
    Service,
    Workspace,
)
from ._settings import Bounds, Duty, DutySettings, HostSettings
from ._upstreams import Availability, RegisteredUpstream

__all__ = [
    "Availability",
    "Bounds",
    "ConnectionLimits",
    "Destination",
    "Duty",
    "DutySettings",
    "EngineProfile",
    "HostSettings",
    "Prompt",
    "PromptPart",
    "RegisteredUpstream",
    "Route",
    "RouteKind",
    "RouteTable",
    "Scaling",
    "Service",
    "Workspace",
]
