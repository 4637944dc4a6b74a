"""The stand-in engine's state and its loop of steps."""

import os
from dataclasses import dataclass, field
from pathlib import Path

from ._batch import Batch, Sequence, StepCosts
from ._completions import StreamedRun
from ._faults import Fault, FaultKind, FaultSwitch
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
    """How one engine behaves.

    Attributes:
        report_lag_s: Age of the load that ``/load`` shows.
        cache_tokens: Size of the prefix cache.
        event_lag_s: Age at which cache events become visible.
        event_gap_share: Fraction of cache events never published.
        ledger_file: Where the ledger is kept when the engine crashes.
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
    """Runs sequences in steps until it is idle, and starts again on new work."""

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
        self.faults = FaultSwitch()
        self.ledger = Ledger()
        self.load = LaggingLoad(slots=settings.slots, lag_s=settings.report_lag_s)
        self.orders = Orders(state=OrdersState(models=settings.models), fencing=settings.fencing)
        self._streams: dict[str, tuple[Sequence, StreamedRun]] = {}
        self._step_pending = False

    @property
    def frozen(self) -> bool:
        """Whether the engine neither computes nor answers."""
        return self.faults.has(FaultKind.FREEZE)

    def set_fault(self, fault: Fault) -> None:
        """Put a fault in force; a crash happens at once."""
        if fault.kind is FaultKind.CRASH:
            self.crash()
        self.faults.set(fault)
        for _, stream in self._streams.values():
            stream.muted = stream.muted or self.faults.has(FaultKind.SILENT)
        self._schedule_step()

    def crash(self) -> None:
        """End the process hard; open connections break."""
        if self.settings.ledger_file is not None:
            self.ledger.write(self.settings.ledger_file)
        os._exit(CRASH_EXIT_CODE)

    def submit(
        self,
        *,
        call: Call,
        run: Run,
        prompt: Prompt,
        resumed: tuple[int, ...],
        limit: int,
        priority: int,
        model: str,
        chat: bool,
    ) -> None:
        """Take a request into the queue and begin its answer."""
        stream = StreamedRun(
            call=call,
            run=self.ledger.add(run),
            model=model,
            chat=chat,
            split_writes=self.settings.split_writes,
            on_end=self._forget,
        )
        run.resumed_from = len(resumed)
        run.text = decode_tokens(resumed)
        stream.muted = self.faults.take(FaultKind.SILENT)
        if self.faults.take(FaultKind.CUT_AFTER):
            stream.cut_after = self.faults.cut_tokens
        sequence = Sequence(
            attempt_id=run.attempt_id,
            priority=priority,
            prompt=prompt,
            resumed=resumed,
            limit=limit,
            sink=_CachingSink(engine=self, stream=stream),
        )
        self._streams[run.attempt_id] = (sequence, stream)
        call.request.notifyFinish().addErrback(lambda _: stream.end(RunOutcome.CANCELLED))
        stream.accept()
        if len(resumed) >= limit:
            stream.finish(sequence)
            return
        self.batch.add(sequence)
        self._record_load()
        self._schedule_step()

    def cancel(self, attempt_id: str) -> bool:
        """Cancel a run; tell whether there was one."""
        found = self._streams.get(attempt_id)
        if found is None:
            return False
        found[1].cancel()
        return True

    def find_context(self, attempt_id: str) -> HeldPrompt | None:
        """Return the KV cache that a running attempt has built."""
        found = self._streams.get(attempt_id)
        if found is None:
            return None
        sequence = found[0]
        return HeldPrompt(
            digest=sequence.prompt.digest, tokens=sequence.context - sequence.uncached
        )

    def place(self, sequence: Sequence) -> None:
        """Compute what of a sequence's context is not in the cache."""
        now_s = reactor.seconds()
        cached = max(
            self.cache.count_cached_tokens(sequence.prompt),
            self.holds.count_cached_tokens(sequence.prompt.digest, now_s),
        )
        sequence.uncached = max(1, sequence.context - cached)
        self.holds.use_imported(sequence.prompt.digest)
        self.cache.store(sequence.prompt, now_s)
        self.cache.shrink(now_s, self.holds.count_reserved_tokens(now_s))

    def _forget(self, stream: StreamedRun) -> None:
        sequence, _ = self._streams.pop(stream.run.attempt_id)
        stream.run.prefilled -= sequence.uncached
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
    """Looks the prompt up in the cache before the run takes its slot."""

    def __init__(self, *, engine: Engine, stream: StreamedRun) -> None:
        self._engine = engine
        self._stream = stream

    def start(self, sequence: Sequence) -> None:
        self._engine.place(sequence)
        self._stream.start(sequence)

    def add_token(self, sequence: Sequence, token_id: int) -> None:
        self._stream.add_token(sequence, token_id)

    def finish(self, sequence: Sequence) -> None:
        self._stream.finish(sequence)
