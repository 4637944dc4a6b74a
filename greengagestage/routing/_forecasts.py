"""Forecasts of how an engine would serve a prompt, by which engines are compared."""

from collections.abc import Sequence
from dataclasses import dataclass

from greengagestage.catalog import EngineProfile, Prompt

from ._engine_model import EXPECTED_OUTPUT_SHARE, EngineSpeed, count_prefill_tokens
from ._room import IDLE_DELAY_S
from ._upstreams import UpstreamState

CONCURRENT_REQUEST_COST_S = 0.002
"""Cost of each request that already runs on an engine, since it lengthens the batch steps."""

REDUNDANT_PREFILL_WEIGHT = 2.0
"""Weight of prefill for tokens that another engine has cached. It counts for more than its time,
since it is wasted work."""

MAX_MEMORY_SHARE = 0.85
"""Share of an engine's KV cache that running requests may occupy. Beyond it, engines preempt some
of them."""

SLOT_WAIT_S = 0.3
"""Expected wait for each request that must finish before a job gets a slot: about the time in
which an engine with some ten running requests finishes one."""

UNCONTENDED_SHARE = 0.1
"""Prefill of other requests on an engine, as a share of a job's own, up to which its first event
shows the speed of the engine."""


@dataclass(slots=True, kw_only=True)
class Forecast:
    """The forecast for a prompt on one engine.

    Attributes:
        prefill_s: Time to prefill the tokens that the engine is not assumed to have cached.
        first_event_s: Time to the first event.
        delay_s: The part of it that is not the prompt's own prefill after its shared prefix.
        redundant_prefill_s: Prefill time that an engine with the shared prefix cached would save.
        completion_s: Time to the end of the stream.
        requests: Number of requests on the engine.
        begins_at_once: Whether the engine has a free slot and little other work.
        sample_tokens: See ``InFlightRequest.sample_tokens``.
    """

    state: UpstreamState
    prefill_s: float
    first_event_s: float
    delay_s: float
    redundant_prefill_s: float
    completion_s: float
    requests: int
    begins_at_once: bool
    sample_tokens: float | None

    @property
    def cost_s(self) -> float:
        """Cost in seconds, by which engines are compared."""
        return (
            self.first_event_s
            + self.requests * CONCURRENT_REQUEST_COST_S
            + (REDUNDANT_PREFILL_WEIGHT - 1) * self.redundant_prefill_s
        )


class Forecaster:
    """Makes the forecasts for one prompt at one time.

    Args:
        engine: What the engines of the service have in common.
        speed: Learned speed of the service's engines.
        sensitive_first: Whether engines begin the prompt before tolerant ones that wait there.
    """

    def __init__(
        self,
        *,
        prompt: Prompt,
        engine: EngineProfile,
        speed: EngineSpeed,
        sensitive_first: bool,
        now_s: float,
    ) -> None:
        self._prompt = prompt
        self._engine = engine
        self._speed = speed
        self._sensitive_first = sensitive_first
        self._now_s = now_s
        self._shared_tokens = prompt.shared_tokens
        self._prefill_s: dict[int, float] = {}
        self._min_prefill_s = self._estimate_prefill_s(self._shared_tokens)
        events = EXPECTED_OUTPUT_SHARE * prompt.output_tokens / engine.tokens_per_event
        self._expected_events = events

    def forecast_ranked(self, ranked: Sequence[UpstreamState]) -> list[Forecast]:
        """Return a forecast for each engine, in the order of affinity to the prompt's prefix.

        The first engine is assumed to have the whole shared prefix cached, as all hosts prefer it
        for this prefix; for the others, only the prompts that this host sent there are known.
        """
        return [self.forecast(state, is_first=not rank) for rank, state in enumerate(ranked)]

    def forecast(self, state: UpstreamState, *, is_first: bool = False) -> Forecast:
        """Return the forecast for one engine.

        Args:
            is_first: Whether all hosts prefer this engine for the prompt's prefix.
        """
        known_tokens = state.count_cached_tokens(self._prompt, self._now_s)
        cached_tokens = self._shared_tokens if is_first else known_tokens
        prefill_s = self._estimate_prefill_s(cached_tokens)
        load = state.measure(self._now_s)
        slots = min(state.record.slots, self._engine.slots)
        requests, ahead_s = load.estimate_ahead(slots, sensitive_first=self._sensitive_first)
        first_event_s = state.forecast_first_event_s(
            ahead_s + prefill_s, self._speed.overhead_s, self._now_s
        )
        capacity_tokens = MAX_MEMORY_SHARE * self._engine.kv_capacity_tokens
        memory_full = load.tokens + self._prompt.tokens > capacity_tokens
        queued = max(requests + 1 - slots, 1 if memory_full else 0)
        first_event_s += queued * SLOT_WAIT_S
        gap_s = state.forecast_gap_s(self._engine.tokens_per_event, load)
        is_sample = (
            known_tokens == cached_tokens
            and queued <= 0
            and load.prefill_s <= UNCONTENDED_SHARE * prefill_s
        )
        new_tokens = self._prompt.tokens - cached_tokens
        return Forecast(
            state=state,
            prefill_s=prefill_s,
            first_event_s=first_event_s,
            delay_s=first_event_s - self._min_prefill_s,
            redundant_prefill_s=prefill_s - self._min_prefill_s,
            requests=load.requests,
            begins_at_once=load.requests < slots and load.prefill_s <= IDLE_DELAY_S,
            completion_s=first_event_s + self._expected_events * gap_s,
            sample_tokens=(count_prefill_tokens(new_tokens, cached_tokens) if is_sample else None),
        )

    def measure_slot_wait_s(self, state: UpstreamState) -> float:
        """Return the part of the delay at an engine that is the wait for a slot."""
        slots = min(state.record.slots, self._engine.slots)
        requests, _ = state.measure(self._now_s).estimate_ahead(
            slots, sensitive_first=self._sensitive_first
        )
        return max(requests + 1 - slots, 0) * SLOT_WAIT_S

    def count_mean_requests(self, engines: Sequence[UpstreamState]) -> float:
        """Return the mean number of requests on some engines."""
        return sum(state.measure(self._now_s).requests for state in engines) / len(engines)

    def _estimate_prefill_s(self, cached_tokens: int) -> float:
        prefill_s = self._prefill_s.get(cached_tokens)
        if prefill_s is None:
            prefill_s = self._speed.estimate_prompt_prefill_s(self._prompt, cached_tokens)
            self._prefill_s[cached_tokens] = prefill_s
        return prefill_s
