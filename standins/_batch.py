"""Continuous batching: a queue by priority, slots, and steps whose time grows with the batch."""

from typing import Protocol

from msgspec import Struct
from sortedcontainers import SortedKeyList

from ._output import Prompt, pick_token


class StepCosts(Struct, frozen=True, kw_only=True):
    """What a step takes.

    Attributes:
        base_ms: Any step.
        sequence_ms: Each sequence that decodes in the step.
        context_us: Each context token of those sequences.
        prefill_us: Each prompt token computed in the step.
        prefill_chunk_tokens: Prompt tokens computed in one step at most.
    """

    base_ms: float = 8.0
    sequence_ms: float = 0.5
    context_us: float = 0.5
    prefill_us: float = 60.0
    prefill_chunk_tokens: int = 512


class TokenSink(Protocol):
    """Takes a sequence's output."""

    def start(self, sequence: "Sequence") -> None:
        """Take note that the sequence has a slot."""

    def add_token(self, sequence: "Sequence", token_id: int) -> None:
        """Take one token."""

    def finish(self, sequence: "Sequence") -> None:
        """Take the proper end."""


class Sequence:
    """One attempt in the engine.

    Attributes:
        resumed: Output tokens given with the request.
        limit: Output tokens at the end, the resumed ones counted.
        produced: Output tokens so far, the resumed ones counted.
        uncached: Prompt and resumed tokens still to be computed.
    """

    def __init__(
        self,
        *,
        attempt_id: str,
        priority: int,
        prompt: Prompt,
        resumed: tuple[int, ...],
        limit: int,
        sink: TokenSink,
    ) -> None:
        self.attempt_id = attempt_id
        self.priority = priority
        self.prompt = prompt
        self.resumed = resumed
        self.limit = limit
        self.sink = sink
        self.arrival = 0
        self.produced = len(resumed)
        self.uncached = 0

    @property
    def context(self) -> int:
        """Tokens that the sequence attends to."""
        return self.prompt.tokens + self.produced


class Batch:
    """The sequences that wait and those that run."""

    def __init__(self, *, slots: int, costs: StepCosts) -> None:
        self.slots = slots
        self.costs = costs
        self.running: list[Sequence] = []
        self.waiting: SortedKeyList = SortedKeyList(key=lambda s: (s.priority, s.arrival))
        self._arrivals = 0

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence behind those of its priority."""
        self._arrivals += 1
        sequence.arrival = self._arrivals
        self.waiting.add(sequence)

    def remove(self, sequence: Sequence) -> None:
        """Take a sequence out, wherever it stands."""
        if sequence in self.running:
            self.running.remove(sequence)
        else:
            self.waiting.discard(sequence)

    def plan_step_s(self) -> float | None:
        """Give free slots to waiting sequences; return the next step's time, None when idle."""
        while self.waiting and len(self.running) < self.slots:
            sequence = self.waiting.pop(0)
            self.running.append(sequence)
            sequence.sink.start(sequence)
        if not self.running:
            return None
        decoding = [sequence for sequence in self.running if not sequence.uncached]
        prefill = min(
            self.costs.prefill_chunk_tokens, sum(sequence.uncached for sequence in self.running)
        )
        context = sum(sequence.context for sequence in decoding)
        return (
            self.costs.base_ms
            + self.costs.sequence_ms * len(decoding)
            + (self.costs.context_us * context + self.costs.prefill_us * prefill) / 1e3
        ) / 1e3

    def complete_step(self) -> None:
        """Prefill one chunk and give each decoding sequence one token."""
        decoding = [sequence for sequence in self.running if not sequence.uncached]
        self._prefill_chunk()
        for sequence in decoding:
            if sequence not in self.running:
                continue
            self._decode(sequence)

    def _prefill_chunk(self) -> None:
        budget = self.costs.prefill_chunk_tokens
        for sequence in sorted(self.running, key=lambda s: (s.priority, s.arrival)):
            taken = min(budget, sequence.uncached)
            sequence.uncached -= taken
            budget -= taken

    def _decode(self, sequence: Sequence) -> None:
        token_id = pick_token(sequence.prompt.digest, sequence.produced)
        sequence.produced += 1
        sequence.sink.add_token(sequence, token_id)
        if sequence.produced >= sequence.limit and sequence in self.running:
            self.running.remove(sequence)
            sequence.sink.finish(sequence)
