"""The OpenAI format at the stand-in engine: reading requests and streaming answers."""

from collections.abc import Callable

import msgspec
import xxhash
from msgspec import Struct

from ._batch import Sequence
from ._http import Call
from ._ledger import Run, RunOutcome
from ._output import VOCABULARY, decode_tokens


class Resume(Struct, frozen=True, kw_only=True):
    """The output tokens that the caller already has."""

    token_ids: tuple[int, ...]


class Message(Struct, frozen=True, kw_only=True):
    """One chat message."""

    role: str
    content: str


class CompletionBody(Struct, frozen=True, kw_only=True):
    """The fields that the stand-in reads; others are ignored."""

    model: str
    prompt: str | None = None
    messages: tuple[Message, ...] | None = None
    max_tokens: int | None = None
    stream: bool = False
    user: str = ""
    resume: Resume | None = None

    def join_prompt(self) -> str:
        """Return the prompt's text, chat messages joined by line ends."""
        if self.messages is not None:
            return "\n".join(f"{message.role}:{message.content}" for message in self.messages)
        return self.prompt or ""


class StreamedRun:
    """One run whose tokens go out as server-sent events.

    Under ``split_writes`` a part of each event is held back until the next one, so that the
    pieces that the caller reads end anywhere, also inside a character.
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
        self.muted = False
        self.cut_after: int | None = None
        self._model = model
        self._chat = chat
        self._split_writes = split_writes
        self._on_end = on_end
        self._buffer = b""

    def accept(self) -> None:
        """Send the head of the answer."""
        if self.muted or self.call.closed:
            return
        self.call.request.setHeader("Content-Type", "text/event-stream")
        self.call.request.setHeader("Cache-Control", "no-cache")
        self.call.request.write(b"")

    def start(self, sequence: Sequence) -> None:
        """Note what the run computes instead of finding it in the cache."""
        self.run.prefilled = sequence.uncached

    def add_token(self, sequence: Sequence, token_id: int) -> None:
        """Record and send one token."""
        self.run.tokens += 1
        self.run.text += VOCABULARY[token_id]
        self._send(self._build_event(token_ids=[token_id], finish_reason=None))
        if self.cut_after is not None and self.run.tokens >= self.cut_after:
            self.cut()

    def finish(self, sequence: Sequence) -> None:
        """Send the usage figures and the proper end."""
        natural = sequence.produced >= sequence.prompt.output_tokens
        usage = {
            "prompt_tokens": sequence.prompt.tokens,
            "completion_tokens": sequence.produced,
            "total_tokens": sequence.prompt.tokens + sequence.produced,
        }
        last = self._build_event(token_ids=[], finish_reason="stop" if natural else "length")
        self._send({**last, "usage": usage})
        self._write(b"data: [DONE]\n\n", flush=True)
        if not self.muted and not self.call.closed:
            self.call.request.finish()
        self.end(RunOutcome.FINISHED)

    def cut(self) -> None:
        """Close the connection without the proper end."""
        self._write(b"", flush=True)
        self.call.abort()
        self.end(RunOutcome.CUT)

    def cancel(self) -> None:
        """Stop because the caller or the router wants no more."""
        self.call.abort()
        self.end(RunOutcome.CANCELLED)

    def end(self, outcome: RunOutcome) -> None:
        """Record how the run ended; only the first end counts."""
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
        if self.muted or self.call.closed:
            return
        self._buffer += data
        held = 0 if flush or not self._split_writes else self._draw_held_bytes()
        ready = len(self._buffer) - held
        if ready > 0:
            self.call.request.write(self._buffer[:ready])
            self._buffer = self._buffer[ready:]

    def _draw_held_bytes(self) -> int:
        return xxhash.xxh64_intdigest(self._buffer) % len(self._buffer)
