"""Choosing an upstream for a job."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from itertools import islice

from greengagestage.catalog import EngineProfile, Prompt
from greengagestage.ids import FailureDomain

from ._demand import Demand, EngineSplit
from ._jobs import Job, Waiting
from ._upstreams import UpstreamState
from ._work import OUTPUT_SHARE, estimate_prompt_prefill_s

TOLERANT_GAP_RATIO = 2.0
"""A route whose pauses may be this many times longer than the strictest one's tolerates long
prompts beside its answers."""

HOME_PATIENCE = 0.6
"""Part of the target that a job may wait where its prompt is cached before it goes elsewhere:
reading a long shared beginning again costs about as much as the answer is worth."""

SENSITIVE_PATIENCE = 0.3
"""The same for answers with short pauses, whose prompts are short to read again."""

SHORT_ANSWER = 0.7
"""A stream is refused only when it would not be whole even with this part of the usual output:
forecasts are often too long, and a late answer is of use."""

FRESH_PATIENCE = 0.75
WAITING_PATIENCE = 0.35
"""Part of the target within which a job is sent: as long as it can be in time, so the less the
longer it has waited, and then only where it does not take that from the others."""

MAX_WAIT = 2.5
"""A job waits for this many targets at most; callers leave after four without an event."""

REVIEW_S = 0.1
"""How often a waiting job is looked at: an engine ends a long prompt's prefill in such a time."""

WHOLE_MARGIN = 1.3
"""A waiting job is sent while there is still this much more time than its stream should take."""

LEAST_COPIES = 2
COPY_SHARE = 0.06
"""Engines that hold the same beginning of long prompts: two, or a few of many. Reading it on more
of them wastes their time; a single one could be slow or lost."""

COPY_PATIENCE = 0.3
"""Part of the target within which another engine must begin for the beginning to be read there."""

SHORT_COPIES = 4
"""Engines among which a short answer whose first one is busy takes the best: on a large fleet all
hosts would send to a single best one before they hear of each other."""

IMBALANCE = 1.25
IMBALANCE_SLACK = 2
"""An engine takes short answers by their beginnings up to this many times the usual number of
requests, and a few more: more requests at once mean longer pauses for all of them."""

CROWD_S = 0.002
"""Cost of each request that runs beside: it makes steps longer."""

WHOLE_PATIENCE = 0.8
"""The same for the whole stream, as part of the time left."""

SPILL_PATIENCE = 0.7
"""Part of the target above which an answer with short pauses leaves its own engines."""

REREAD_FACTOR = 2.0
"""Prefill of tokens that are cached elsewhere weighs more than its time, since it is wasted."""

MEMORY_SHARE = 0.85
"""Part of an engine's memory that running requests may take; beyond, some are preempted."""

NO_ROOM_S = 0.3
"""Wait added for each request in line before a job at an engine without a free slot: about
the time in which an engine with some ten running requests finishes one."""

DEFAULT_ANSWER_S = 0.05
"""Time for an answer of a plain service that has given none yet."""

FAILURE_COST = 3.0
"""How strongly failures count against a plain service: each costs a repeat, or the answer."""

OTHER_DOMAIN_S = 0.002
"""Cost of another failure domain: a round trip of up to 2 ms, and its bytes are paid for."""

TIE_S = 0.001
"""Random addition that spreads equal choices."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """An upstream with what is expected there.

    Attributes:
        whole_s: Forecast time to the end of a stream; 0 for a plain answer.
        least_whole_s: The same where the answer is short for what its caller allows.
    """

    state: UpstreamState
    expected_s: float
    prefill_s: float
    reason: str
    whole_s: float = 0.0
    least_whole_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Forecast:
    state: UpstreamState
    prefill_s: float
    first_event_s: float
    wasted_s: float
    whole_s: float
    requests: int


def is_sensitive(gap_s: float | None, strictest_s: float | None) -> bool:
    """Whether a route's events must not be held up, beside the service's shortest pause."""
    if gap_s is None:
        return False
    return gap_s < TOLERANT_GAP_RATIO * (gap_s if strictest_s is None else strictest_s)


def choose_plain(
    candidates: Sequence[UpstreamState],
    *,
    domain: FailureDomain,
    now_s: float,
    draw: Callable[[], float],
) -> Choice:
    """Choose an upstream of a plain service by its expected answer time."""

    def estimate_s(state: UpstreamState) -> float:
        answer_s = DEFAULT_ANSWER_S if state.answer_s is None else state.answer_s
        open_requests = state.measure(now_s).requests
        slots = max(state.record.slots, 1)
        queued = max(0.0, (open_requests + 1 - slots) / slots)
        return answer_s * (1 + queued) * (1 + FAILURE_COST * state.health.failure_share)

    def cost_s(state: UpstreamState) -> float:
        other = state.record.failure_domain != domain
        spread = state.measure(now_s).requests / max(state.record.slots, 1) * OTHER_DOMAIN_S
        return estimate_s(state) + other * OTHER_DOMAIN_S + spread + draw() * TIE_S

    best = min(candidates, key=cost_s)
    return Choice(state=best, expected_s=estimate_s(best), prefill_s=0.0, reason="fastest")


class EngineChooser:
    """Chooses among the engines of one service.

    Engines are ordered alike on every host. Answers with short pauses go to the first part of
    the order and long prompts to the rest, so that prefill does not hold up others' events.
    """

    def __init__(
        self,
        *,
        engine: EngineProfile,
        engines: Sequence[UpstreamState],
        split: EngineSplit,
        draw: Callable[[], float],
    ) -> None:
        self._engine = engine
        self._ranks = {
            state.order: rank
            for rank, state in enumerate(sorted(engines, key=lambda state: state.order))
        }
        self._split = split
        self._draw = draw

    def choose(
        self,
        job: Job,
        prompt: Prompt,
        candidates: Sequence[UpstreamState],
        *,
        sensitive: bool,
        demand: Demand,
        report_delay_s: float,
        now_s: float,
    ) -> Choice | Waiting:
        """Choose an engine; the candidates must not be empty.

        Args:
            report_delay_s: Time after which the work of other hosts is known here.
        """
        home = self._list_home(candidates, sensitive, demand)
        if sensitive:
            return self._choose_sensitive(job, prompt, home, candidates, now_s)
        engines = home or candidates
        unheard_s = demand.tolerant * report_delay_s / len(engines)
        return self._choose_tolerant(job, prompt, engines, unheard_s, now_s)

    def _list_home(
        self, candidates: Sequence[UpstreamState], sensitive: bool, demand: Demand
    ) -> list[UpstreamState]:
        """Return the candidates of a job's own part of the engines."""
        engines = len(self._ranks)
        if engines == 1:
            return list(candidates)
        split = self._split.count(engines, demand)
        return [
            state
            for state in candidates
            if (self._ranks.get(state.order, engines) < split) == sensitive
        ]

    def _choose_sensitive(
        self,
        job: Job,
        prompt: Prompt,
        home: Sequence[UpstreamState],
        candidates: Sequence[UpstreamState],
        now_s: float,
    ) -> Choice:
        if home:
            forecasts = list(self._forecast_all(prompt, home, now_s))
            first = forecasts[0]
            usual = sum(forecast.requests for forecast in forecasts) / len(forecasts)
            is_balanced = first.requests <= IMBALANCE * usual + IMBALANCE_SLACK
            if is_balanced and first.first_event_s <= SENSITIVE_PATIENCE * job.route.target_s:
                return _build_choice(first, "cached prompt")
            best = min(forecasts[:SHORT_COPIES], key=_weigh)
            if best.first_event_s <= SPILL_PATIENCE * job.route.target_s:
                return _build_choice(best, "least delay")
        best = min(self._forecast_all(prompt, candidates, now_s), key=_weigh)
        return _build_choice(best, "least delay anywhere")

    def _choose_tolerant(
        self,
        job: Job,
        prompt: Prompt,
        engines: Sequence[UpstreamState],
        unheard_s: float,
        now_s: float,
    ) -> Choice | Waiting:
        """Choose an engine that holds the prompt's beginning, or let the job wait.

        A job that would be late anyway waits here, not in an engine's queue: there it would make
        the next ones late too.
        """
        ranked = self._forecast_all(prompt, engines, now_s)
        copies = list(islice(ranked, max(LEAST_COPIES, round(COPY_SHARE * len(self._ranks)))))
        waited_s, target_s = now_s - job.arrived_s, job.route.target_s
        whole_limit_s = WHOLE_PATIENCE * (job.deadline_s - now_s)
        patience_s = max(HOME_PATIENCE * target_s - waited_s, WAITING_PATIENCE * target_s)
        for rank, forecast in enumerate(copies):
            if rank and forecast.wasted_s > 0:
                continue
            if forecast.first_event_s <= patience_s and forecast.whole_s <= whole_limit_s:
                return _build_choice(forecast, "cached prompt")
        limit_s = max(FRESH_PATIENCE * target_s - waited_s, WAITING_PATIENCE * target_s)
        copies.sort(key=_weigh)
        for forecast in copies:
            if self._has_room(forecast, limit_s, unheard_s * len(copies)):
                return _build_choice(forecast, "least delay")
        other = self._find_other(list(ranked), COPY_PATIENCE * target_s, unheard_s)
        if other is not None:
            return _build_choice(other, "another copy")
        best = copies[0]
        latest_s = job.deadline_s - WHOLE_MARGIN * best.whole_s
        if waited_s < MAX_WAIT * target_s and now_s < latest_s:
            return Waiting(delay_s=REVIEW_S, reason=f"first event after {best.first_event_s:.2f} s")
        return _build_choice(best, "waited long enough")

    def _find_other(
        self, forecasts: Sequence[_Forecast], limit_s: float, unheard_s: float
    ) -> _Forecast | None:
        """Return an idle engine; the fewer there are, the more hosts would send to each."""
        idle = [forecast for forecast in forecasts if forecast.first_event_s <= limit_s]
        if not idle or not self._has_room(idle[0], limit_s, unheard_s * len(forecasts) / len(idle)):
            return None
        return idle[0]

    def _has_room(self, forecast: _Forecast, limit_s: float, unheard_s: float) -> bool:
        """Return whether an engine would begin in time, with the work that is not heard of yet.

        All hosts see the same room and want it at once. Each takes it with the probability at
        which they fill it together.
        """
        room_s = limit_s - forecast.first_event_s
        return room_s >= 0 and self._draw() * unheard_s <= room_s

    def _forecast_all(
        self, prompt: Prompt, engines: Sequence[UpstreamState], now_s: float
    ) -> Iterator[_Forecast]:
        """Yield forecasts in the order in which a prompt's beginning prefers the engines."""
        key = prompt.affinity_key
        ranked = list(engines)
        if key is not None:
            ranked.sort(key=lambda state: state.score_affinity(key), reverse=True)
        shared_tokens = prompt.shared_tokens
        least_prefill_s = estimate_prompt_prefill_s(prompt, shared_tokens)
        for rank, state in enumerate(ranked):
            cached = shared_tokens if rank == 0 else state.count_cached(prompt, now_s)
            prefill_s = estimate_prompt_prefill_s(prompt, cached)
            yield self._forecast(prompt, state, prefill_s, prefill_s - least_prefill_s, now_s)

    def _forecast(
        self,
        prompt: Prompt,
        state: UpstreamState,
        prefill_s: float,
        wasted_s: float,
        now_s: float,
    ) -> _Forecast:
        load = state.measure(now_s)
        first_event_s = state.forecast_first_event_s(prefill_s, load, now_s)
        slots = min(state.record.slots, self._engine.slots)
        full = load.tokens + prompt.tokens > MEMORY_SHARE * self._engine.kv_capacity_tokens
        in_line = max(load.requests + 1 - slots, 1 if full else 0)
        first_event_s += max(in_line, 0) * NO_ROOM_S
        tokens_per_event = self._engine.tokens_per_event
        events = OUTPUT_SHARE * prompt.output_tokens / tokens_per_event
        return _Forecast(
            state=state,
            prefill_s=prefill_s,
            first_event_s=first_event_s,
            wasted_s=wasted_s,
            requests=load.requests,
            whole_s=first_event_s + events * state.forecast_gap_s(tokens_per_event, load),
        )


def _weigh(forecast: _Forecast) -> float:
    crowd_s = forecast.requests * CROWD_S
    return forecast.first_event_s + crowd_s + (REREAD_FACTOR - 1) * forecast.wasted_s


def _build_choice(forecast: _Forecast, reason: str) -> Choice:
    return Choice(
        state=forecast.state,
        expected_s=forecast.first_event_s,
        prefill_s=forecast.prefill_s,
        reason=reason,
        whole_s=forecast.whole_s,
        least_whole_s=forecast.first_event_s
        + SHORT_ANSWER * (forecast.whole_s - forecast.first_event_s),
    )
