"""Orders to engines: stores their desired state and reconciles engines with it under leases."""

from ._adoption import OrderState
from ._descriptions import LeaseDescription, OrderDescription
from ._outcomes import OrderAccepted, OrderConflict, OrderOutcome, OrderRefused, OrderUndecided
from ._reconciler import Reconciler
from ._states import ArtifactChange, ArtifactKind, Intent, OrderChange, OrderCommand, RoleChange

__all__ = [
    "ArtifactChange",
    "ArtifactKind",
    "Intent",
    "LeaseDescription",
    "OrderAccepted",
    "OrderChange",
    "OrderCommand",
    "OrderConflict",
    "OrderDescription",
    "OrderOutcome",
    "OrderRefused",
    "OrderState",
    "OrderUndecided",
    "Reconciler",
    "RoleChange",
]
