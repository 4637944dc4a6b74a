"""Attempts: exchanges read as a model engine's or a plain service's answer."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from twisted.web.http_headers import Headers

from greengagestage.policy import FailureKind

from ._completion_stream import CompletionChunk, CompletionStreamReader, MalformedStreamError
from ._exchange import ResponseHead

MAX_RETRY_AFTER_S = 3600.0
_FIRST_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailure:
    """Why an attempt has no whole answer.

    Attributes:
        leaving: The upstream's refusal said that it is leaving.
        retry_after_s: When the upstream said to come back, if it did.
    """

    kind: FailureKind
    leaving: bool = False
    retry_after_s: float | None = None


class EngineListener(Protocol):
    """Hears an engine's answer. Exactly one of the last two calls ends it."""

    def accept(self) -> None:
        """The engine began its answer."""

    def receive_chunks(self, chunks: Sequence[CompletionChunk]) -> None:
        """More of the answer came."""

    def finish(self, tail: Sequence[CompletionChunk]) -> None:
        """The answer ended properly; these chunks are its last."""

    def fail(self, failure: AttemptFailure) -> None:
        """The answer will not be whole."""


class ServiceListener(Protocol):
    """Hears a plain service's answer. Exactly one of the last two calls ends it."""

    def accept(self, head: ResponseHead) -> None:
        """The service began its answer."""

    def receive_body(self, data: bytes) -> None:
        """More of the body came."""

    def finish(self) -> None:
        """The body ended as its framing said."""

    def fail(self, failure: AttemptFailure) -> None:
        """The answer will not be whole."""


def read_refusal(head: ResponseHead) -> AttemptFailure | None:
    """Return the failure if the upstream says that it did not start the request."""
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
    """Reads an exchange as a streamed completion."""

    def __init__(self, *, listener: EngineListener) -> None:
        self._listener = listener
        self._reader = CompletionStreamReader()
        self._over = False

    def receive_head(self, head: ResponseHead) -> None:
        """Accept a stream; anything else is a failure."""
        refusal = read_refusal(head)
        if refusal is not None:
            self._fail(refusal)
        elif head.status != 200:
            self._fail(AttemptFailure(kind=FailureKind.ERROR))
        else:
            self._listener.accept()

    def receive_body(self, data: bytes) -> None:
        """Pass on the chunks that the piece completes."""
        if self._over:
            return
        try:
            chunks = self._reader.feed(data)
        except MalformedStreamError:
            self._fail(AttemptFailure(kind=FailureKind.ERROR))
            return
        if chunks:
            self._listener.receive_chunks(chunks)
        if self._reader.ended and not self._over:
            self._end()

    def end_body(self) -> None:
        """The response ended; without the stream's own end it is incomplete."""
        if not self._over:
            self._end()

    def fail(self, kind: FailureKind) -> None:
        """The exchange failed."""
        if not self._over:
            self._fail(AttemptFailure(kind=kind))

    def _end(self) -> None:
        if not self._reader.whole:
            self._fail(AttemptFailure(kind=FailureKind.INCOMPLETE))
            return
        self._over = True
        self._listener.finish(self._reader.tail)

    def _fail(self, failure: AttemptFailure) -> None:
        self._over = True
        self._listener.fail(failure)


class ServiceAttempt:
    """Reads an exchange as a plain service's answer; the service's 4xx are answers too."""

    def __init__(self, *, listener: ServiceListener) -> None:
        self._listener = listener
        self._started = False
        self._over = False

    def receive_head(self, head: ResponseHead) -> None:
        """Accept an answer; server errors are failures."""
        refusal = read_refusal(head)
        if refusal is not None:
            self._fail(refusal)
        elif head.status >= _FIRST_SERVER_ERROR:
            self._fail(AttemptFailure(kind=FailureKind.ERROR))
        else:
            self._started = True
            self._listener.accept(head)

    def receive_body(self, data: bytes) -> None:
        """Pass the piece on."""
        if not self._over:
            self._listener.receive_body(data)

    def end_body(self) -> None:
        """The answer is whole."""
        if not self._over:
            self._over = True
            self._listener.finish()

    def fail(self, kind: FailureKind) -> None:
        """The exchange failed; after the head, a lost connection means a cut body."""
        if self._over:
            return
        if self._started and kind is FailureKind.LOST:
            kind = FailureKind.INCOMPLETE
        self._fail(AttemptFailure(kind=kind))

    def _fail(self, failure: AttemptFailure) -> None:
        self._over = True
        self._listener.fail(failure)
