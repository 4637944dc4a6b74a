"""The choice of a running request that gives up its slot to a higher class."""

from collections.abc import Iterator

from ._health import HealthState
from ._pools import PoolState
from ._records import RequestRecord
from ._routing import may_try
from ._state import PolicyState
from ._upstreams import UpstreamEntry

PREEMPTIONS_LIMIT = 2
WAITING_SHARE_OF_TARGET = 0.5


def compute_patience_end(record: RequestRecord) -> float:
    """Return the time from which a waiting request may preempt."""
    waiting_s = record.first_token_due_s - record.arrived_s
    return record.arrived_s + waiting_s * WAITING_SHARE_OF_TARGET


def would_miss(record: RequestRecord, pool: PoolState, slots: int, now_s: float) -> bool:
    """Return whether the next free slot would come too late for a request."""
    if record.late:
        return False
    if record.tokens or now_s >= compute_patience_end(record):
        return True
    next_slot_s = pool.speed.slot_s.value / max(slots, 1)
    return now_s + next_slot_s >= record.first_token_due_s


def find_victim(state: PolicyState, record: RequestRecord) -> RequestRecord | None:
    """Return the least progressed request of the lowest class whose slot would help."""
    victims = [
        running
        for entry in state.views.find(record.pool).used
        if _would_help(state, record, entry)
        for running in _list_preemptible(entry, record.priority)
    ]
    return max(victims, key=_order_victims, default=None)


def _would_help(state: PolicyState, record: RequestRecord, entry: UpstreamEntry) -> bool:
    if not entry.resumes or len(entry.in_flight) > entry.slots:
        return False
    if entry.health.state is not HealthState.IN_USE or not may_try(record, entry):
        return False
    if state.now_s < entry.health.not_before_s:
        return False
    if not state.may_run_beside_equals(record, entry.name):
        return False
    return not (entry.suspects and state.is_suspect(record))


def _list_preemptible(entry: UpstreamEntry, priority: int) -> Iterator[RequestRecord]:
    for running in entry.in_flight.values():
        if running.priority > priority and is_preemptible(running):
            yield running


def is_preemptible(record: RequestRecord) -> bool:
    """Return whether a running request can give up its slot."""
    if not record.request.idempotent or record.preemptions >= PREEMPTIONS_LIMIT:
        return False
    return record.attempt is not None and not record.attempt.reserved


def _order_victims(record: RequestRecord) -> tuple[int, int, float, int]:
    attempt = record.attempt
    sent_s = attempt.sent_s if attempt is not None else 0.0
    return (record.priority, -record.tokens, sent_s, record.sequence)
