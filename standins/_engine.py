"""The state of the stand-in engine and its step loop."""

import os
from dataclasses import dataclass, field
from pathlib import Path

from ._batch import Batch, Sequence, StepCosts
from ._completions import StreamedRun
from ._faults import ActiveFault, Fault, FaultKind
from ._http import Call, reactor
from ._kv_holds import HeldPrompt, KvHolds
from ._lagging_load import LaggingLoad
from ._ledger import Ledger, Run, RunOutcome
from ._orders import Fencing, Orders, OrdersState
from ._output import Prompt, decode_tokens
from ._prefix_cache import PrefixCache

CRASH_EXIT_CODE = 70


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSettings:
    """The behavior of one engine.

    Attributes:
        report_lag_s: Delay of the load that ``/load`` reports.
        cache_tokens: Capacity of the prefix cache.
        event_lag_s: Delay before a cache event is published.
        event_gap_share: Fraction of cache events that are never published.
        ledger_file: File that the ledger is added to when the engine crashes.
    """

    models: tuple[str, ...]
    slots: int = 8
    costs: StepCosts = field(default_factory=StepCosts)
    report_lag_s: float = 0.5
    cache_tokens: int = 20_000
    event_lag_s: float = 1.0
    event_gap_share: float = 0.1
    fencing: Fencing = Fencing.CHECKED
    split_writes: bool = False
    seed: int = 0
    ledger_file: Path | None = None


class Engine:
    """Runs steps while there are sequences, and starts again when a request arrives."""

    def __init__(self, *, settings: EngineSettings) -> None:
        self.settings = settings
        self.batch = Batch(slots=settings.slots, costs=settings.costs)
        self.cache = PrefixCache(
            capacity_tokens=settings.cache_tokens,
            event_lag_s=settings.event_lag_s,
            gap_share=settings.event_gap_share,
            seed=settings.seed,
        )
        self.holds = KvHolds()
        self.faults = ActiveFault()
        self.ledger = Ledger()
        self.load = LaggingLoad(slots=settings.slots, lag_s=settings.report_lag_s)
        self.orders = Orders(state=OrdersState(models=settings.models), fencing=settings.fencing)
        self._streams: dict[str, tuple[Sequence, StreamedRun]] = {}
        self._step_pending = False

    @property
    def frozen(self) -> bool:
        """Whether the engine is stopped by a fault: it neither computes nor answers."""
        return self.faults.is_active(FaultKind.FREEZE)

    def set_fault(self, fault: Fault) -> None:
        """Activate a fault; a crash happens immediately."""
        if fault.kind is FaultKind.CRASH:
            self.crash()
        self.faults.set(fault)
        for _, stream in self._streams.values():
            stream.discards_output = stream.discards_output or self.faults.is_active(
                FaultKind.SILENT
            )
        self._schedule_step()

    def crash(self) -> None:
        """Exit the process without cleanup, so that open connections break."""
        if self.settings.ledger_file is not None:
            self.ledger.append_to(self.settings.ledger_file)
        os._exit(CRASH_EXIT_CODE)

    def submit(
        self,
        *,
        call: Call,
        run: Run,
        prompt: Prompt,
        resumed_token_ids: tuple[int, ...],
        max_output_tokens: int,
        priority: int,
        model: str,
        chat: bool,
    ) -> None:
        """Queue a request and start its answer."""
        stream = StreamedRun(
            call=call,
            run=self.ledger.add(run),
            model=model,
            chat=chat,
            split_writes=self.settings.split_writes,
            on_end=self._remove_run,
        )
        run.resumed_from = len(resumed_token_ids)
        run.text = decode_tokens(resumed_token_ids)
        stream.discards_output = self.faults.consume(FaultKind.SILENT)
        if self.faults.consume(FaultKind.CUT_AFTER):
            stream.cut_after_tokens = self.faults.cut_length
        sequence = Sequence(
            attempt_id=run.attempt_id,
            priority=priority,
            prompt=prompt,
            resumed_token_ids=resumed_token_ids,
            max_output_tokens=max_output_tokens,
            sink=_CachingSink(engine=self, stream=stream),
        )
        self._streams[run.attempt_id] = (sequence, stream)
        call.request.notifyFinish().addErrback(
            lambda _: stream.record_outcome(RunOutcome.CANCELLED)
        )
        stream.send_headers()
        if len(resumed_token_ids) >= max_output_tokens:
            stream.finish(sequence)
            return
        self.batch.add(sequence)
        self._record_load()
        self._schedule_step()

    def cancel(self, attempt_id: str) -> bool:
        """Cancel a run; return whether it existed."""
        active_run = self._streams.get(attempt_id)
        if active_run is None:
            return False
        active_run[1].cancel()
        return True

    def find_context(self, attempt_id: str) -> HeldPrompt | None:
        """Return the KV cache that a running attempt has built so far, or None."""
        active_run = self._streams.get(attempt_id)
        if active_run is None:
            return None
        sequence = active_run[0]
        return HeldPrompt(
            digest=sequence.prompt.digest, tokens=sequence.context_tokens - sequence.uncached_tokens
        )

    def prepare_prefill(self, sequence: Sequence) -> None:
        """Set how many tokens a sequence must prefill, and store its prompt in the cache."""
        now_s = reactor.seconds()
        cached = max(
            self.cache.match_prefix(sequence.prompt),
            self.holds.count_cached_tokens(sequence.prompt.digest, now_s),
        )
        sequence.uncached_tokens = max(1, sequence.context_tokens - cached)
        self.holds.drop_imported(sequence.prompt.digest)
        self.cache.store(sequence.prompt, now_s)
        self.cache.shrink(now_s, self.holds.count_reserved_tokens(now_s))

    def _remove_run(self, stream: StreamedRun) -> None:
        sequence, _ = self._streams.pop(stream.run.attempt_id)
        stream.run.prefilled -= sequence.uncached_tokens
        self.batch.remove(sequence)
        self._record_load()

    def _record_load(self) -> None:
        self.load.record(
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            now_s=reactor.seconds(),
        )

    def _schedule_step(self) -> None:
        if self._step_pending or self.frozen:
            return
        duration_s = self.batch.plan_step_s()
        if duration_s is None:
            return
        self._record_load()
        self._step_pending = True
        reactor.callLater(duration_s * self.faults.slow_factor, self._complete_step)

    def _complete_step(self) -> None:
        self._step_pending = False
        if self.frozen:
            return
        if any(sequence.prompt.crashes_engine for sequence in self.batch.running):
            self.crash()
        self.batch.complete_step()
        self._schedule_step()


class _CachingSink:
    """Looks up the prompt in the cache before the run starts."""

    def __init__(self, *, engine: Engine, stream: StreamedRun) -> None:
        self._engine = engine
        self._stream = stream

    def start(self, sequence: Sequence) -> None:
        self._engine.prepare_prefill(sequence)
        self._stream.start(sequence)

    def add_token(self, sequence: Sequence, token_id: int) -> None:
        self._stream.add_token(sequence, token_id)

    def finish(self, sequence: Sequence) -> None:
        self._stream.finish(sequence)
