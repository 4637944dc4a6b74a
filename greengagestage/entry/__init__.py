"""The callers' side: HTTP, authentication, and delivery of answers as the policy decides."""

from ._fleet import FleetView
from ._http import ServerLimits
from ._ports import Claims, Decisions, Link, Outbox
from ._process import EntryProcess
from ._settings import ClaimSettings, DeliveryLimits, EntrySettings, LifecycleTimes

__all__ = [
    "ClaimSettings",
    "Claims",
    "Decisions",
    "DeliveryLimits",
    "EntryProcess",
    "EntrySettings",
    "FleetView",
    "LifecycleTimes",
    "Link",
    "Outbox",
    "ServerLimits",
]
