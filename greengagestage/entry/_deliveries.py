"""Delivery of upstream answers to callers; an incomplete answer never looks complete."""

import math
from collections.abc import Callable, Sequence

from greengagestage.claims import StoredAnswer
from greengagestage.refusals import Refusal
from greengagestage.upstream import CompletionChunk, ResponseHead

from ._calls import Call, CompletionTarget, ServiceTarget
from ._completions import (
    DONE,
    EVENT_STREAM,
    CollectedWriter,
    CompletionWriter,
    HeaderList,
    MergedChunk,
    StreamedWriter,
    encode_event,
)
from ._http import CallerRequest
from ._progress import CompletionProgress
from ._settings import DeliveryLimits
from ._stored import AnswerBuffer

MIN_STREAMED_BYTES = 65_536
"""Smaller answers are buffered also while memory is scarce: sent on, they would wait in the
transport's buffer."""

_NO_BODY_STATUSES = (204, 304)
_UNFORWARDED_HEADERS = frozenset(
    {b"x-request-id", b"x-attempt-id", b"x-not-started", b"x-leaving", b"connection", b"keep-alive"}
)
"""Headers of upstream answers that are not forwarded to callers."""


class CompletionDelivery:
    """Delivers a completion; its end is held back until the answer is known to be complete.

    Args:
        answer_buffer: Keeps the answer for the store, if it has to be stored.
        limit_bytes: Size up to which an answer may grow, without end for one that is streamed.
        hold: Counts the bytes that are kept until the answer is complete; None if none are.
    """

    def __init__(
        self,
        *,
        writer: CompletionWriter,
        answer_buffer: AnswerBuffer | None,
        limit_bytes: float = math.inf,
        hold: Callable[[int], object] | None = None,
    ) -> None:
        self._progress = CompletionProgress()
        self._hold = hold
        self._writer = writer
        self._answer_buffer = answer_buffer
        self._size = 0
        self._limit_bytes = limit_bytes
        self._tail: list[MergedChunk] = []

    @property
    def resumable(self) -> bool:
        """Whether another engine can continue after the delivered tokens."""
        return self._progress.resumable

    @property
    def is_too_large(self) -> bool:
        """Whether the answer exceeds the size limit of a collected answer."""
        return self._size > self._limit_bytes

    def list_token_ids(self) -> list[int]:
        """Return the ids of the delivered tokens, for another engine to continue from."""
        return self._progress.list_token_ids()

    def add(self, chunks: Sequence[CompletionChunk]) -> int:
        """Deliver chunks; return the number of tokens in them."""
        merged = self._merge(chunks)
        if merged:
            self._writer.send(merged)
        return _count_tokens(merged)

    def hold_tail(self, tail: Sequence[CompletionChunk]) -> int:
        """Hold the last chunks back until ``end``; return the number of tokens in them."""
        self._tail = self._merge(tail)
        return _count_tokens(self._tail)

    def end(self) -> None:
        """Send the last chunks and complete the answer."""
        self._writer.end(self._tail)

    def refuse(self, refusal: Refusal) -> None:
        """Tell the caller that the answer failed or is incomplete."""
        self._writer.refuse(refusal)

    def finish_stored_answer(self) -> StoredAnswer | None:
        """Complete the buffered answer and return it for the store, or None if it is too large.

        To be called once: each call appends the stream's end marker.
        """
        if self._answer_buffer is None:
            return None
        self._answer_buffer.add(encode_event(DONE))
        return self._answer_buffer.build_answer(status=200, content_type=EVENT_STREAM)

    def _merge(self, chunks: Sequence[CompletionChunk]) -> list[MergedChunk]:
        merged = []
        for chunk in chunks:
            payload = self._progress.merge(chunk)
            if payload is None:
                continue
            merged.append((payload, chunk))
            self._size += len(payload)
            if self._answer_buffer is not None:
                self._answer_buffer.add(encode_event(payload))
        if self._hold is not None:
            self._hold(self._size)
        return merged


def _count_tokens(merged: Sequence[MergedChunk]) -> int:
    return sum(len(chunk.token_ids) or bool(chunk.text) for _, chunk in merged)


class ServiceDelivery:
    """Delivers a plain service's answer.

    Small answers are buffered until they are complete, so that a failed one can be retried or
    refused with an HTTP status. A larger one is streamed; if it fails, the caller's connection is
    reset.

    Args:
        may_stream_early: Whether small answers are streamed, too, while memory is scarce: those
            that are not stored.
    """

    def __init__(
        self,
        *,
        caller: CallerRequest,
        headers: HeaderList,
        buffer_bytes: int,
        may_stream_early: bool,
    ) -> None:
        self._caller = caller
        self._headers = headers
        self._buffer_bytes = buffer_bytes
        self._may_stream_early = may_stream_early
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._streaming = False

    @property
    def resumable(self) -> bool:
        """Whether nothing has been sent to the caller, so that another attempt may start over.

        An answer of a plain service is never continued after a part of it, unlike a completion.
        """
        return not self._streaming

    def list_token_ids(self) -> list[int]:
        """Return an empty list; an attempt on a plain service always starts over."""
        return []

    def begin(self, head: ResponseHead) -> None:
        """Start the answer of a new attempt and discard the body buffered so far."""
        self._head = head
        self._body.clear()
        self._caller.hold(0)

    def add(self, data: bytes) -> None:
        """Buffer a piece of the body, or send it if the answer is streamed."""
        if self._streaming:
            self._caller.send(data)
            return
        self._body += data
        has_room = self._caller.hold(len(self._body)) or not self._may_stream_early
        limit_bytes = math.inf if has_room else MIN_STREAMED_BYTES
        if len(self._body) > min(limit_bytes, self._buffer_bytes):
            self._caller.hold(0)
            self._streaming = True
            self._caller.begin_stream(self._status, self._build_headers())
            self._caller.send(bytes(self._body))
            self._body.clear()

    def end(self) -> None:
        """Complete the answer."""
        if self._streaming:
            self._caller.end()
            return
        headers = self._build_headers()
        if self._caller.method != b"HEAD" and self._status not in _NO_BODY_STATUSES:
            headers.append(("Content-Length", str(len(self._body))))
        self._caller.begin(self._status, headers)
        self._caller.send(bytes(self._body))
        self._caller.end()

    def refuse(self, refusal: Refusal) -> None:
        """Refuse with an HTTP status, or reset the connection if part of the answer was sent."""
        if self._streaming:
            self._caller.abort()
        else:
            self._caller.refuse(refusal, self._headers)

    def finish_stored_answer(self) -> StoredAnswer | None:
        """Return the complete answer for the store, or None if it was streamed; change nothing."""
        if self._streaming or self._head is None:
            return None
        return StoredAnswer(
            status=self._status,
            content_type=self._head.get("Content-Type") or "application/octet-stream",
            body=bytes(self._body),
        )

    @property
    def _status(self) -> int:
        return self._head.status if self._head is not None else 502

    def _build_headers(self) -> HeaderList:
        if self._head is None:
            return list(self._headers)
        upstream_headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in self._head.headers.getAllRawHeaders()
            for value in values
            if name.lower() not in _UNFORWARDED_HEADERS
        ]
        return [*upstream_headers, *self._headers]


Delivery = CompletionDelivery | ServiceDelivery


def build_delivery(
    call: Call, caller: CallerRequest, headers: HeaderList, limits: DeliveryLimits
) -> Delivery:
    """Build the delivery for a call."""
    idempotent = call.request.idempotent
    match call.target:
        case ServiceTarget():
            return ServiceDelivery(
                caller=caller,
                headers=headers,
                buffer_bytes=(
                    limits.service_buffer_bytes if idempotent else limits.kept_answer_bytes
                ),
                may_stream_early=idempotent,
            )
        case CompletionTarget(endpoint=endpoint, body=body):
            answer_buffer = (
                None if idempotent else AnswerBuffer(limit_bytes=limits.kept_answer_bytes)
            )
            if body.stream:
                return CompletionDelivery(
                    writer=StreamedWriter(caller=caller, headers=headers),
                    answer_buffer=answer_buffer,
                    hold=None if answer_buffer is None else caller.hold,
                )
            return CompletionDelivery(
                writer=CollectedWriter(caller=caller, headers=headers, endpoint=endpoint),
                answer_buffer=answer_buffer,
                limit_bytes=limits.collected_answer_bytes,
                hold=caller.hold,
            )
