"""Decisions of a lease holder about one engine, as functions without input or output."""

from enum import Enum

from msgspec.structs import replace

from greengagestage.configuration import FencingMode
from greengagestage.ids import FencingNumber
from greengagestage.services import Check, Operation, Put, Row

from ._lease import Lease, lease_key
from ._states import EngineState, Intent

FENCED_READ_INTERVAL_S = 60.0
"""Time until a settled engine that refuses old fencing numbers is read again."""
READ_INTERVAL_S = 5.0
"""Time until any other engine is read again. If an engine accepts old fencing numbers, a late order
of a former lease holder that was paused stays in effect at most this long, plus the time of a
read and an order."""

LEASE_CHECK_INDEX = 1
"""Index of the lease's check among the operations that write an intent."""


class OrderState(Enum):
    """The progress of the order for one engine."""

    PENDING = "pending"
    SETTLED = "settled"
    FAILED = "failed"


def format_lease_term(lease: Lease) -> str:
    """Return the text that marks an intent as adopted in the lease's current term."""
    return f"{lease.name}:{lease.fencing_number}"


def needs_adoption(intent: Intent, lease: Lease, seen: FencingNumber) -> bool:
    """Whether the intent needs a new fencing number, for this term or to exceed the engine's."""
    return intent.adopted_by != format_lease_term(lease) or seen > intent.fencing_number


def plan_adoption(intent: Intent, lease: Lease, seen: FencingNumber) -> Intent:
    """Return the intent with a number above every earlier one, in the lease's current term."""
    number = FencingNumber(max(intent.fencing_number, seen) + 1)
    return replace(
        intent, fencing_number=number, adopted_by=format_lease_term(lease), settled=False
    )


def plan_intent_write(row: Row, intent: Intent, lease: Lease) -> tuple[Operation, ...]:
    """Return the write of an intent, refused if the lease's row has changed since it was seen."""
    return (
        Put(key=row.key, value=intent, expect=row.revision),
        Check(key=lease_key(lease.name), expect=lease.revision),
    )


def is_done(intent: Intent, actual: EngineState, fencing: FencingMode) -> bool:
    """Whether an engine needs no order.

    An engine that checks numbers must also have seen the current one, since only then does
    it refuse the orders of earlier holders.
    """
    if not actual.agrees_with(intent.state):
        return False
    return fencing is FencingMode.IGNORED or actual.fencing_number >= intent.fencing_number


def choose_read_interval(state: OrderState, fencing: FencingMode) -> float:
    """Return the seconds until an engine whose intent is unchanged is read again."""
    if state is OrderState.SETTLED and fencing is FencingMode.CHECKED:
        return FENCED_READ_INTERVAL_S
    return READ_INTERVAL_S
