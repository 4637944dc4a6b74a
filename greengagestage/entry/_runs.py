"""Attempts of requests: pass the upstream's answer to the delivery and report to the policy."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from greengagestage.ids import AttemptId, UpstreamName
from greengagestage.policy import (
    AttemptAccepted,
    AttemptContinued,
    AttemptFailed,
    AttemptFinished,
    AttemptProgressed,
    AttemptSilent,
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
"""Interval at which tokens after the first are reported to the policy."""


class RunObserver(Protocol):
    """Is notified of the progress and failure of an attempt."""

    def record_tokens(self, tokens: int) -> float:
        """Record that tokens arrived; return the current reactor time in seconds."""

    def record_failure(self, run: "Run", failure: AttemptFailure) -> None:
        """Record that the attempt failed."""


class Run:
    """The state of one attempt: the part between the upstream's response and the policy.

    An ``EngineAttempt`` or ``ServiceAttempt`` interprets the response of the same attempt and calls
    the subclass for it. After the run is over, data of its upstream is ignored.

    Attributes:
        exchange: The attempt's HTTP exchange; None until it is created.
        is_over: Whether the attempt has finished, failed or been stopped.
    """

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
        self._is_silent = False
        self._unreported_tokens = 0
        self._next_report_s = 0.0

    def stop(self) -> None:
        """Close the attempt's connection at once; does nothing if the attempt has ended."""
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
        """Continue reading from the upstream."""
        if self.exchange is not None:
            self.exchange.resume()

    def report_silence(self) -> None:
        """Report to the policy that the upstream sends nothing; the attempt continues."""
        if not self.is_over:
            self._is_silent = True
            self._report_progress()
            self._feed(AttemptSilent(attempt_id=self.attempt_id, resumable=self._resumable))

    def fail(self, failure: AttemptFailure) -> None:
        """End the attempt without a complete answer and report the failure to the policy."""
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

    def _end_silence(self) -> None:
        """Report that a silent upstream sends data, before any of it is delivered.

        The policy then cancels a later attempt of the request, which would deliver the same data.
        """
        if self._is_silent:
            self._is_silent = False
            self._feed(AttemptContinued(attempt_id=self.attempt_id))

    def _accept(self) -> None:
        self._feed(AttemptAccepted(attempt_id=self.attempt_id))

    def _count_tokens(self, tokens: int) -> None:
        """Count tokens; the first are reported to the policy at once, later ones in batches."""
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
    """An attempt on a model engine; receives the events of an ``EngineAttempt``."""

    def __init__(self, *, delivery: CompletionDelivery, **fields: Any) -> None:
        super().__init__(**fields)
        self.delivery = delivery

    @property
    def _resumable(self) -> bool:
        return self.delivery.resumable

    def accept(self) -> None:
        """Report that the engine has started its answer."""
        self._end_silence()
        if not self.is_over:
            self._accept()

    def receive_chunks(self, chunks: Sequence[CompletionChunk]) -> None:
        """Deliver chunks to the caller; fail the attempt if the answer becomes too large."""
        self._end_silence()
        if self.is_over:
            return
        self._count_tokens(self.delivery.add(chunks))
        if self.delivery.is_too_large:
            self.fail(AttemptFailure(kind=FailureKind.ERROR))

    def finish(self, tail: Sequence[CompletionChunk]) -> None:
        """Finish the attempt; the last chunks are held until the policy confirms the delivery."""
        self._end_silence()
        if not self.is_over:
            self._count_tokens(self.delivery.hold_tail(tail))
            self._finish()


class ServiceRun(Run):
    """An attempt on a plain service; receives the events of a ``ServiceAttempt``."""

    def __init__(self, *, delivery: ServiceDelivery, **fields: Any) -> None:
        super().__init__(**fields)
        self.delivery = delivery
        self._first_byte_counted = False

    @property
    def _resumable(self) -> bool:
        return self.delivery.resumable

    def accept(self, head: ResponseHead) -> None:
        """Start the delivery with the head of the service's answer."""
        self._end_silence()
        if not self.is_over:
            self.delivery.begin(head)
            self._accept()

    def receive_body(self, data: bytes) -> None:
        """Deliver a piece of the body; the first piece counts as one token."""
        self._end_silence()
        if self.is_over:
            return
        self.delivery.add(data)
        if not self._first_byte_counted:
            self._first_byte_counted = True
            self._count_tokens(1)

    def finish(self) -> None:
        """Finish the attempt; its answer is complete."""
        self._end_silence()
        if not self.is_over:
            self._finish()
