"""Attempts: HTTP exchanges interpreted as responses of a model engine or a plain service."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from twisted.web.http_headers import Headers

from greengagestage.policy import FailureKind

from ._completion_stream import CompletionChunk, CompletionStreamReader, MalformedStreamError
from ._exchange import ResponseHead

MAX_RETRY_AFTER_S = 3600.0
"""A longer ``Retry-After`` is ignored, as if the upstream had sent none; it is not shortened."""

_FIRST_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailure:
    """Why an attempt did not produce a complete response.

    Attributes:
        leaving: The upstream refused the request because it is shutting down.
        retry_after_s: Delay that the upstream asked for before a retry, if any.
    """

    kind: FailureKind
    leaving: bool = False
    retry_after_s: float | None = None


class EngineListener(Protocol):
    """Receives an engine's response. Exactly one call of ``finish`` or ``fail`` ends it."""

    def accept(self) -> None:
        """Handle the start of the response."""

    def receive_chunks(self, chunks: Sequence[CompletionChunk]) -> None:
        """Handle the next chunks of the completion."""

    def finish(self, tail: Sequence[CompletionChunk]) -> None:
        """Handle the complete end of the response; ``tail`` holds its last chunks."""

    def report_silence(self) -> None:
        """Handle silence for as long as the limit."""

    def fail(self, failure: AttemptFailure) -> None:
        """Handle a response that cannot be completed."""


class ServiceListener(Protocol):
    """Receives a plain service's response. Exactly one call of ``finish`` or ``fail`` ends it."""

    def accept(self, head: ResponseHead) -> None:
        """Handle the start of the response."""

    def receive_body(self, data: bytes) -> None:
        """Handle the next bytes of the body."""

    def finish(self) -> None:
        """Handle the end of a body that is complete by its framing."""

    def report_silence(self) -> None:
        """Handle silence for as long as the limit."""

    def fail(self, failure: AttemptFailure) -> None:
        """Handle a response that cannot be completed."""


def read_refusal(head: ResponseHead) -> AttemptFailure | None:
    """Return the refusal if the upstream states that it did not start the request."""
    if (head.get("X-Not-Started") or "").lower() != "true":
        return None
    return AttemptFailure(
        kind=FailureKind.REFUSED,
        leaving=(head.get("X-Leaving") or "").lower() == "true",
        retry_after_s=_read_retry_after(head.headers),
    )


def _read_retry_after(headers: Headers) -> float | None:
    values = headers.getRawHeaders("Retry-After")
    try:
        delay_s = float(values[-1]) if values else None
    except ValueError:
        return None
    if delay_s is None or not 0 <= delay_s <= MAX_RETRY_AFTER_S:
        return None
    return delay_s


class EngineAttempt:
    """Interprets an exchange as a streamed completion."""

    def __init__(self, *, listener: EngineListener) -> None:
        self._listener = listener
        self._reader = CompletionStreamReader()
        self._ended = False

    def receive_head(self, head: ResponseHead) -> None:
        """Accept a response with status 200; any other status is a failure."""
        refusal = read_refusal(head)
        if refusal is not None:
            self._fail(refusal)
        elif head.status != 200:
            self._fail(AttemptFailure(kind=FailureKind.ERROR))
        else:
            self._listener.accept()

    def receive_body(self, data: bytes) -> None:
        """Forward the chunks that these bytes complete."""
        if self._ended:
            return
        try:
            chunks = self._reader.feed(data)
        except MalformedStreamError:
            self._fail(AttemptFailure(kind=FailureKind.ERROR))
            return
        if chunks:
            self._listener.receive_chunks(chunks)
        if self._reader.ended and not self._ended:
            self._end()

    def end_body(self) -> None:
        """Handle the end of the body; without the stream's end marker it is incomplete."""
        if not self._ended:
            self._end()

    def report_silence(self) -> None:
        """Report that the upstream sends nothing, unless the attempt has ended."""
        if not self._ended:
            self._listener.report_silence()

    def fail(self, kind: FailureKind) -> None:
        """Report a failed exchange, unless the attempt has ended."""
        if not self._ended:
            self._fail(AttemptFailure(kind=kind))

    def _end(self) -> None:
        if not self._reader.is_complete:
            self._fail(AttemptFailure(kind=FailureKind.INCOMPLETE))
            return
        self._ended = True
        self._listener.finish(self._reader.tail)

    def _fail(self, failure: AttemptFailure) -> None:
        self._ended = True
        self._listener.fail(failure)


class ServiceAttempt:
    """Interprets an exchange as a plain service's response; 4xx responses count as answers too."""

    def __init__(self, *, listener: ServiceListener) -> None:
        self._listener = listener
        self._accepted = False
        self._ended = False

    def receive_head(self, head: ResponseHead) -> None:
        """Accept a response; refusals and 5xx statuses are failures."""
        refusal = read_refusal(head)
        if refusal is not None:
            self._fail(refusal)
        elif head.status >= _FIRST_SERVER_ERROR:
            self._fail(AttemptFailure(kind=FailureKind.ERROR))
        else:
            self._accepted = True
            self._listener.accept(head)

    def receive_body(self, data: bytes) -> None:
        """Forward the bytes."""
        if not self._ended:
            self._listener.receive_body(data)

    def end_body(self) -> None:
        """Report a complete response."""
        if not self._ended:
            self._ended = True
            self._listener.finish()

    def report_silence(self) -> None:
        """Report that the upstream sends nothing, unless the attempt has ended."""
        if not self._ended:
            self._listener.report_silence()

    def fail(self, kind: FailureKind) -> None:
        """Report a failed exchange; a connection lost after the head means a truncated body."""
        if self._ended:
            return
        if self._accepted and kind is FailureKind.LOST:
            kind = FailureKind.INCOMPLETE
        self._fail(AttemptFailure(kind=kind))

    def _fail(self, failure: AttemptFailure) -> None:
        self._ended = True
        self._listener.fail(failure)
