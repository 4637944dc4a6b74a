"""Selection of the running request that a request of a higher class preempts."""

from collections.abc import Iterator

from ._health import HealthState
from ._pools import PoolState
from ._records import RequestRecord
from ._routing import may_try
from ._state import PolicyState
from ._upstreams import UpstreamEntry, list_responsive

PREEMPTIONS_LIMIT = 1  # per request
FIRST_TOKEN_MARGIN = 1.5  # factor on the expected time to the first token
MINIMUM_FIRST_TOKEN_FRACTION = 0.2  # of the first-token target, left after preemption
ANSWER_MARGIN = 1.1  # factor on the expected time in a slot
PROMPT_FRACTION_BEFORE_FIRST_TOKEN = 0.5  # of the prompt, assumed computed until then


def compute_preemption_time(record: RequestRecord, pool: PoolState) -> float:
    """Return the time from which a queued request may preempt."""
    target_s = record.first_token_due_s - record.arrived_s
    first_token_s = (
        pool.latencies.estimate_first_token_s(record.service_class.name) * FIRST_TOKEN_MARGIN
    )
    first_token_start_s = record.first_token_due_s - max(
        first_token_s, target_s * MINIMUM_FIRST_TOKEN_FRACTION
    )
    answer_start_s = record.due_s - record.service_s * ANSWER_MARGIN
    return max(record.arrived_s, min(first_token_start_s, answer_start_s))


def may_preempt(record: RequestRecord, pool: PoolState, now_s: float) -> bool:
    """Return whether a queued request would miss its target without a slot now.

    A request whose answer was interrupted may preempt at any time, because its caller waits for
    the rest. A late request may not preempt if its answer is still useful.
    """
    if record.late and not record.late_is_useless:
        return False
    return record.tokens > 0 or now_s >= compute_preemption_time(record, pool)


def find_preemption_victim(state: PolicyState, record: RequestRecord) -> RequestRecord | None:
    """Return the running request to preempt: of the lowest class, with the least work lost."""
    victims = [
        running
        for entry in list_responsive(state.views.find(record.pool).used, state.now_s)
        if _can_host(state, record, entry)
        for running in _list_preemptible(entry, record.priority)
    ]
    return max(victims, key=_order_victims, default=None)


def _can_host(state: PolicyState, record: RequestRecord, entry: UpstreamEntry) -> bool:
    if not entry.supports_resume or len(entry.in_flight) > entry.slots:
        return False
    if entry.health.state is not HealthState.IN_USE or not may_try(record, entry):
        return False
    if state.now_s < entry.health.busy_until_s:
        return False
    if not state.may_run_with_duplicates(record, entry.name):
        return False
    return not (entry.suspects and state.is_suspect(record))


def _list_preemptible(entry: UpstreamEntry, priority: int) -> Iterator[RequestRecord]:
    for running in entry.in_flight.values():
        attempt = running.attempt
        here = attempt is not None and attempt.upstream == entry.name
        if here and running.priority > priority and is_preemptible(running):
            yield running


def is_preemptible(record: RequestRecord) -> bool:
    """Return whether a running request can be preempted."""
    if not record.request.idempotent or record.preemptions >= PREEMPTIONS_LIMIT:
        return False
    return record.attempt is not None and not record.attempt.reserved


def _order_victims(record: RequestRecord) -> tuple[int, float, int]:
    return (record.priority, -estimate_recompute_tokens(record), record.sequence)


def estimate_recompute_tokens(record: RequestRecord) -> float:
    """Return the number of tokens to compute again if a running request is preempted."""
    attempt = record.attempt
    begun = attempt is not None and attempt.first_token_at_s is not None
    prompt_tokens = record.request.prompt_tokens
    return record.tokens + (
        prompt_tokens if begun else prompt_tokens * PROMPT_FRACTION_BEFORE_FIRST_TOKEN
    )
