"""The entry process: serves callers over HTTP and carries out the policy's decisions."""

from ._fleet import FleetView
from ._http import ServerLimits
from ._ports import Claims, Link, MessageSender, RoutingPolicy
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
    "MessageSender",
    "RoutingPolicy",
    "ServerLimits",
]
