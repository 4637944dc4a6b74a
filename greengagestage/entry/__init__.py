"""The callers' side: HTTP, authentication, and delivery of answers as the policy decides."""

from ._fleet import FleetView
from ._http import ServerLimits
from ._ports import Claims, Link, Outbox, RoutingPolicy
from ._process import EntryProcess
from ._settings import ClaimSettings, DeliveryLimits, EntrySettings, LifecycleTimes

__all__ = [
    "ClaimSettings",
    "Claims",
    "DeliveryLimits",
    "EntryProcess",
    "EntrySettings",
    "FleetView",
    "LifecycleTimes",
    "Link",
    "Outbox",
    "RoutingPolicy",
    "ServerLimits",
]
