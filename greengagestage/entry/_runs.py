"""The attempts of requests, as the shell sees them."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from greengagestage.ids import AttemptId, UpstreamName
from greengagestage.policy import (
    AttemptAccepted,
    AttemptFailed,
    AttemptFinished,
    AttemptProgressed,
    Event,
    FailureKind,
)
from greengagestage.upstream import (
    Address,
    AttemptFailure,
    CompletionChunk,
    Exchange,
    ResponseHead,
)

from ._deliveries import CompletionDelivery, ServiceDelivery

PROGRESS_INTERVAL_S = 0.1
"""How often the policy hears of an attempt's tokens after the first."""


class RunObserver(Protocol):
    """Learns when parts of an answer come."""

    def record_tokens(self, tokens: int) -> float:
        """Tokens came; return the time."""

    def record_failure(self, run: "Run", failure: AttemptFailure) -> None:
        """The attempt failed."""


class Run:
    """One attempt of a request. Once it is stopped, nothing of it is delivered any more."""

    def __init__(
        self,
        *,
        attempt_id: AttemptId,
        upstream: UpstreamName,
        address: Address,
        feed: Callable[[Event], None],
        observer: RunObserver,
        report_leaving: Callable[["Run"], None],
    ) -> None:
        self.attempt_id = attempt_id
        self.upstream = upstream
        self.address = address
        self.exchange: Exchange | None = None
        self.is_over = False
        self._feed = feed
        self._observer = observer
        self._report_leaving = report_leaving
        self._unreported_tokens = 0
        self._next_report_s = 0.0

    def stop(self) -> None:
        """Close the attempt's connection at once, unless its answer has ended."""
        if self.is_over:
            return
        self.is_over = True
        if self.exchange is not None:
            self.exchange.close()

    def pause(self) -> None:
        """Stop reading from the upstream."""
        if self.exchange is not None:
            self.exchange.pause()

    def resume(self) -> None:
        """Read on."""
        if self.exchange is not None:
            self.exchange.resume()

    def fail(self, failure: AttemptFailure) -> None:
        """End the attempt without a whole answer."""
        if self.is_over:
            return
        self.is_over = True
        if self.exchange is not None:
            if failure.kind is FailureKind.REFUSED:
                self.exchange.release()
            else:
                self.exchange.close()
        self._report_progress()
        self._observer.record_failure(self, failure)
        if failure.leaving:
            self._report_leaving(self)
        self._feed(
            AttemptFailed(
                attempt_id=self.attempt_id,
                kind=failure.kind,
                upstream_leaving=failure.leaving,
                resumable=self._resumable,
                retry_after_s=failure.retry_after_s,
            )
        )

    @property
    def _resumable(self) -> bool:
        raise NotImplementedError

    def _accept(self) -> None:
        self._feed(AttemptAccepted(attempt_id=self.attempt_id))

    def _count_tokens(self, tokens: int) -> None:
        """Count tokens; the policy hears of the first at once, and of later ones in groups."""
        if not tokens:
            return
        now_s = self._observer.record_tokens(tokens)
        self._unreported_tokens += tokens
        if now_s >= self._next_report_s:
            self._next_report_s = now_s + PROGRESS_INTERVAL_S
            self._report_progress()

    def _report_progress(self) -> None:
        tokens, self._unreported_tokens = self._unreported_tokens, 0
        if tokens:
            self._feed(AttemptProgressed(attempt_id=self.attempt_id, tokens=tokens))

    def _finish(self) -> None:
        self._report_progress()
        self.is_over = True
        if self.exchange is not None:
            self.exchange.release()
        self._feed(AttemptFinished(attempt_id=self.attempt_id))


class EngineRun(Run):
    """An attempt at a model engine."""

    def __init__(self, *, delivery: CompletionDelivery, **fields: Any) -> None:
        super().__init__(**fields)
        self.delivery = delivery

    @property
    def _resumable(self) -> bool:
        return self.delivery.resumable

    def accept(self) -> None:
        """The engine began its answer."""
        if not self.is_over:
            self._accept()

    def receive_chunks(self, chunks: Sequence[CompletionChunk]) -> None:
        """Pass chunks on to the caller."""
        if self.is_over:
            return
        self._count_tokens(self.delivery.add(chunks))
        if self.delivery.is_too_large:
            self.fail(AttemptFailure(kind=FailureKind.ERROR))

    def finish(self, tail: Sequence[CompletionChunk]) -> None:
        """The answer is whole; its last chunks wait for the policy's verdict."""
        if not self.is_over:
            self._count_tokens(self.delivery.hold_tail(tail))
            self._finish()


class ServiceRun(Run):
    """An attempt at a plain service."""

    def __init__(self, *, delivery: ServiceDelivery, **fields: Any) -> None:
        super().__init__(**fields)
        self.delivery = delivery
        self._first_byte_counted = False

    @property
    def _resumable(self) -> bool:
        return self.delivery.resumable

    def accept(self, head: ResponseHead) -> None:
        """The service began its answer."""
        if not self.is_over:
            self.delivery.begin(head)
            self._accept()

    def receive_body(self, data: bytes) -> None:
        """Pass a piece of the body on; the first one counts as the first token."""
        if self.is_over:
            return
        self.delivery.add(data)
        if not self._first_byte_counted:
            self._first_byte_counted = True
            self._count_tokens(1)

    def finish(self) -> None:
        """The answer is whole."""
        if not self.is_over:
            self._finish()
