"""Reads requests and streams answers in the OpenAI format, for the stand-in engine."""

from collections.abc import Callable

import msgspec
import xxhash
from msgspec import Struct

from ._batch import Sequence
from ._http import Call
from ._ledger import Run, RunOutcome
from ._output import VOCABULARY, decode_tokens


class Resume(Struct, frozen=True, kw_only=True):
    """The output tokens that the caller already received."""

    token_ids: tuple[int, ...]


class Message(Struct, frozen=True, kw_only=True):
    """One chat message."""

    role: str
    content: str


class CompletionBody(Struct, frozen=True, kw_only=True):
    """The body of a completion request; fields that are not listed are ignored."""

    model: str
    prompt: str | None = None
    messages: tuple[Message, ...] | None = None
    max_tokens: int | None = None
    stream: bool = False
    user: str = ""
    resume: Resume | None = None

    def join_prompt(self) -> str:
        """Return the prompt's text; chat messages are joined by newlines."""
        if self.messages is not None:
            return "\n".join(f"{message.role}:{message.content}" for message in self.messages)
        return self.prompt or ""


class StreamedRun:
    """One run whose tokens are sent as server-sent events.

    With ``split_writes`` a part of each event is held back until the next write, so that the
    chunks that the caller reads can end at any byte, even inside a character.

    Attributes:
        discards_output: Whether the run goes on without sending anything.
        cut_after_tokens: Number of tokens after which the connection is closed, or None.
    """

    def __init__(
        self,
        *,
        call: Call,
        run: Run,
        model: str,
        chat: bool,
        split_writes: bool,
        on_end: Callable[["StreamedRun"], None],
    ) -> None:
        self.call = call
        self.run = run
        self.discards_output = False
        self.cut_after_tokens: int | None = None
        self._model = model
        self._chat = chat
        self._split_writes = split_writes
        self._on_end = on_end
        self._buffer = b""

    def send_headers(self) -> None:
        """Send the response headers."""
        if self.discards_output or self.call.closed:
            return
        self.call.request.setHeader("Content-Type", "text/event-stream")
        self.call.request.setHeader("Cache-Control", "no-cache")
        self.call.request.write(b"")

    def start(self, sequence: Sequence) -> None:
        """Record how many tokens are computed because they were not in the cache."""
        self.run.prefilled = sequence.uncached_tokens

    def add_token(self, sequence: Sequence, token_id: int) -> None:
        """Record and send one token."""
        self.run.tokens += 1
        self.run.text += VOCABULARY[token_id]
        self._send(self._build_event(token_ids=[token_id], finish_reason=None))
        if self.cut_after_tokens is not None and self.run.tokens >= self.cut_after_tokens:
            self.truncate()

    def finish(self, sequence: Sequence) -> None:
        """Send the usage figures and the end marker."""
        reached_natural_end = sequence.produced_tokens >= sequence.prompt.output_tokens
        usage = {
            "prompt_tokens": sequence.prompt.tokens,
            "completion_tokens": sequence.produced_tokens,
            "total_tokens": sequence.prompt.tokens + sequence.produced_tokens,
        }
        last_event = self._build_event(
            token_ids=[], finish_reason="stop" if reached_natural_end else "length"
        )
        self._send({**last_event, "usage": usage})
        self._write(b"data: [DONE]\n\n", flush=True)
        if not self.discards_output and not self.call.closed:
            self.call.request.finish()
        self.record_outcome(RunOutcome.FINISHED)

    def truncate(self) -> None:
        """Close the connection without the end marker."""
        self._write(b"", flush=True)
        self.call.abort()
        self.record_outcome(RunOutcome.CUT)

    def cancel(self) -> None:
        """Stop the run at the request of the caller or the router."""
        self.call.abort()
        self.record_outcome(RunOutcome.CANCELLED)

    def record_outcome(self, outcome: RunOutcome) -> None:
        """Record how the run ended; only the first call has an effect."""
        if self.run.outcome is RunOutcome.RUNNING:
            self.run.outcome = outcome
            self._on_end(self)

    def _build_event(self, *, token_ids: list[int], finish_reason: str | None) -> dict[str, object]:
        text = decode_tokens(token_ids)
        content = {"delta": {"content": text}} if self._chat else {"text": text}
        choice = {"index": 0, **content, "token_ids": token_ids, "finish_reason": finish_reason}
        return {
            "id": f"cmpl-{self.run.attempt_id}",
            "object": "chat.completion.chunk" if self._chat else "text_completion",
            "model": self._model,
            "choices": [choice],
        }

    def _send(self, event: dict[str, object]) -> None:
        self._write(b"data: " + msgspec.json.encode(event) + b"\n\n")

    def _write(self, data: bytes, *, flush: bool = False) -> None:
        if self.discards_output or self.call.closed:
            return
        self._buffer += data
        held_bytes = 0 if flush or not self._split_writes else self._compute_held_bytes()
        ready_bytes = len(self._buffer) - held_bytes
        if ready_bytes > 0:
            self.call.request.write(self._buffer[:ready_bytes])
            self._buffer = self._buffer[ready_bytes:]

    def _compute_held_bytes(self) -> int:
        return xxhash.xxh64_intdigest(self._buffer) % len(self._buffer)
