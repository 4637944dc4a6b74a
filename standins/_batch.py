"""Continuous batching: a priority queue, slots, and steps that take longer with a larger batch."""

from typing import Protocol

from msgspec import Struct
from sortedcontainers import SortedKeyList

from ._output import Prompt, pick_token


class StepCosts(Struct, frozen=True, kw_only=True):
    """The parts that add up to the duration of a step.

    Attributes:
        base_ms: Fixed time of each step.
        sequence_ms: Time for each sequence that decodes in the step.
        context_us: Time for each context token of those sequences.
        prefill_us: Time for each prompt token computed in the step.
        prefill_chunk_tokens: Maximum number of prompt tokens computed in one step.
    """

    base_ms: float = 8.0
    sequence_ms: float = 0.5
    context_us: float = 0.5
    prefill_us: float = 60.0
    prefill_chunk_tokens: int = 512


class TokenSink(Protocol):
    """Receives the output of a sequence."""

    def start(self, sequence: "Sequence") -> None:
        """Handle the assignment of a slot to the sequence."""

    def add_token(self, sequence: "Sequence", token_id: int) -> None:
        """Handle one output token."""

    def finish(self, sequence: "Sequence") -> None:
        """Handle the completion of the sequence."""


class Sequence:
    """One attempt in the engine's batch.

    Attributes:
        resumed_token_ids: Output tokens that came with the request.
        max_output_tokens: Output tokens at completion, including the resumed ones.
        arrival: Position in the order of arrival.
        produced_tokens: Output tokens so far, including the resumed ones.
        uncached_tokens: Prompt and resumed tokens still to be computed.
    """

    def __init__(
        self,
        *,
        attempt_id: str,
        priority: int,
        prompt: Prompt,
        resumed_token_ids: tuple[int, ...],
        max_output_tokens: int,
        sink: TokenSink,
    ) -> None:
        self.attempt_id = attempt_id
        self.priority = priority
        self.prompt = prompt
        self.resumed_token_ids = resumed_token_ids
        self.max_output_tokens = max_output_tokens
        self.sink = sink
        self.arrival = 0
        self.produced_tokens = len(resumed_token_ids)
        self.uncached_tokens = 0

    @property
    def context_tokens(self) -> int:
        """Number of tokens that the sequence attends to."""
        return self.prompt.tokens + self.produced_tokens


class Batch:
    """The waiting and the running sequences of an engine."""

    def __init__(self, *, slots: int, costs: StepCosts) -> None:
        self.slots = slots
        self.costs = costs
        self.running: list[Sequence] = []
        self.waiting: SortedKeyList = SortedKeyList(key=lambda s: (s.priority, s.arrival))
        self._arrival_count = 0

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence behind the waiting ones of the same priority."""
        self._arrival_count += 1
        sequence.arrival = self._arrival_count
        self.waiting.add(sequence)

    def remove(self, sequence: Sequence) -> None:
        """Remove a sequence, whether it runs or waits."""
        if sequence in self.running:
            self.running.remove(sequence)
        else:
            self.waiting.discard(sequence)

    def plan_step_s(self) -> float | None:
        """Assign free slots to waiting sequences; return the next step's duration, None if idle."""
        while self.waiting and len(self.running) < self.slots:
            sequence = self.waiting.pop(0)
            self.running.append(sequence)
            sequence.sink.start(sequence)
        if not self.running:
            return None
        decoding = [sequence for sequence in self.running if not sequence.uncached_tokens]
        prefill_tokens = min(
            self.costs.prefill_chunk_tokens,
            sum(sequence.uncached_tokens for sequence in self.running),
        )
        context_tokens = sum(sequence.context_tokens for sequence in decoding)
        return (
            self.costs.base_ms
            + self.costs.sequence_ms * len(decoding)
            + (self.costs.context_us * context_tokens + self.costs.prefill_us * prefill_tokens)
            / 1e3
        ) / 1e3

    def complete_step(self) -> None:
        """Prefill one chunk and generate one token for each decoding sequence."""
        decoding = [sequence for sequence in self.running if not sequence.uncached_tokens]
        self._prefill_chunk()
        for sequence in decoding:
            if sequence not in self.running:
                continue
            self._decode(sequence)

    def _prefill_chunk(self) -> None:
        remaining_tokens = self.costs.prefill_chunk_tokens
        for sequence in sorted(self.running, key=lambda s: (s.priority, s.arrival)):
            computed_tokens = min(remaining_tokens, sequence.uncached_tokens)
            sequence.uncached_tokens -= computed_tokens
            remaining_tokens -= computed_tokens

    def _decode(self, sequence: Sequence) -> None:
        token_id = pick_token(sequence.prompt.digest, sequence.produced_tokens)
        sequence.produced_tokens += 1
        sequence.sink.add_token(sequence, token_id)
        if sequence.produced_tokens >= sequence.max_output_tokens and sequence in self.running:
            self.running.remove(sequence)
            sequence.sink.finish(sequence)
