"""The choice of an upstream of a plain service."""

from collections.abc import Callable, Sequence

from greengagestage.ids import FailureDomain

from ._engine_choice import Choice
from ._upstreams import UpstreamState

DEFAULT_ANSWER_TIME_S = 0.05
"""Answer time assumed for an upstream of a plain service that has not answered yet."""

FAILURE_COST_FACTOR = 3.0
"""Relative cost of failures of a plain service's upstream: each costs a retry or the answer."""

CROSS_DOMAIN_COST_S = 0.002
"""Cost of sending to another failure domain: a round trip of up to 2 ms, and paid traffic. The same
cost is added to an upstream of any domain in proportion to its open requests per slot, so that
equal upstreams share the load."""

TIE_BREAK_S = 0.001
"""Upper bound of the random cost that spreads jobs over equal choices."""


def choose_plain(
    candidates: Sequence[UpstreamState],
    *,
    domain: FailureDomain,
    now_s: float,
    draw: Callable[[], float],
) -> Choice:
    """Choose the upstream of a plain service with the shortest expected answer time.

    Failures, queues, load and other failure domains add to the expected time.
    """

    def estimate_s(state: UpstreamState) -> float:
        answer_time_s = (
            DEFAULT_ANSWER_TIME_S if state.answer_time_s is None else state.answer_time_s
        )
        open_requests = state.measure(now_s).requests
        slots = max(state.record.slots, 1)
        queue_ratio = max(0.0, (open_requests + 1 - slots) / slots)
        return (
            answer_time_s
            * (1 + queue_ratio)
            * (1 + FAILURE_COST_FACTOR * state.health.failure_share)
        )

    def cost_s(state: UpstreamState) -> float:
        in_other_domain = state.record.failure_domain != domain
        load_cost_s = (
            state.measure(now_s).requests / max(state.record.slots, 1) * CROSS_DOMAIN_COST_S
        )
        return (
            estimate_s(state)
            + in_other_domain * CROSS_DOMAIN_COST_S
            + load_cost_s
            + draw() * TIE_BREAK_S
        )

    best = min(candidates, key=cost_s)
    return Choice(
        state=best,
        expected_s=estimate_s(best),
        prefill_s=0.0,
        reason="fastest",
        begins_at_once=not best.is_rationed and best.measure(now_s).requests < best.record.slots,
    )
