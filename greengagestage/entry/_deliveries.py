"""Deliveries: an upstream's answer on its way to a caller, whole or visibly not."""

import math
from collections.abc import Sequence

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

_NO_BODY_STATUSES = (204, 304)
_DROPPED_HEADERS = frozenset(
    {b"x-request-id", b"x-attempt-id", b"x-not-started", b"x-leaving", b"connection", b"keep-alive"}
)


class CompletionDelivery:
    """Delivers a completion; its end is held back until the answer is known to be whole."""

    def __init__(
        self,
        *,
        writer: CompletionWriter,
        answer_buffer: AnswerBuffer | None,
        limit_bytes: float = math.inf,
    ) -> None:
        self._progress = CompletionProgress()
        self._writer = writer
        self._answer_buffer = answer_buffer
        self._size = 0
        self._limit_bytes = limit_bytes
        self._tail: list[MergedChunk] = []

    @property
    def resumable(self) -> bool:
        """Another engine can go on from what has been delivered."""
        return self._progress.resumable

    @property
    def is_too_large(self) -> bool:
        """The answer outgrew the bound of its form."""
        return self._size > self._limit_bytes

    def list_token_ids(self) -> list[int]:
        """Return the delivered tokens, for another engine to go on from."""
        return self._progress.list_token_ids()

    def add(self, chunks: Sequence[CompletionChunk]) -> int:
        """Pass chunks on; return the number of tokens in them."""
        merged = self._merge(chunks)
        if merged:
            self._writer.send(merged)
        return _count_tokens(merged)

    def hold_tail(self, tail: Sequence[CompletionChunk]) -> int:
        """Keep the last chunks until ``end``; return the number of tokens in them."""
        self._tail = self._merge(tail)
        return _count_tokens(self._tail)

    def end(self) -> None:
        """Send the last chunks and end the answer properly."""
        self._writer.end(self._tail)

    def refuse(self, refusal: Refusal) -> None:
        """Tell the caller that there is no whole answer."""
        self._writer.refuse(refusal)

    def build_stored_answer(self) -> StoredAnswer | None:
        """Return the whole answer for the store, or None if it is too large to keep."""
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
        return merged


def _count_tokens(merged: Sequence[MergedChunk]) -> int:
    return sum(len(chunk.token_ids) or bool(chunk.text) for _, chunk in merged)


class ServiceDelivery:
    """Delivers a plain service's answer.

    Small answers are kept until they are whole, so that a failure can still be refused cleanly
    or retried. A larger one is passed through; if it breaks, the caller's connection is cut.
    """

    def __init__(
        self,
        *,
        caller: CallerRequest,
        headers: HeaderList,
        buffer_bytes: int,
    ) -> None:
        self._caller = caller
        self._headers = headers
        self._buffer_bytes = buffer_bytes
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._streaming = False

    @property
    def resumable(self) -> bool:
        """Nothing has reached the caller, so another attempt may start over."""
        return not self._streaming

    def list_token_ids(self) -> list[int]:
        """Return nothing: plain services start over."""
        return []

    def begin(self, head: ResponseHead) -> None:
        """Start over with a new attempt's head."""
        self._head = head
        self._body.clear()

    def add(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self._streaming:
            self._caller.send(data)
            return
        self._body += data
        if len(self._body) > self._buffer_bytes:
            self._streaming = True
            self._caller.begin_stream(self._status, self._build_headers())
            self._caller.send(bytes(self._body))
            self._body.clear()

    def end(self) -> None:
        """End the answer properly."""
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
        """Refuse cleanly, or cut the connection if part of the answer has been sent."""
        if self._streaming:
            self._caller.abort()
        else:
            self._caller.refuse(refusal, self._headers)

    def build_stored_answer(self) -> StoredAnswer | None:
        """Return the whole answer for the store."""
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
        own = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in self._head.headers.getAllRawHeaders()
            for value in values
            if name.lower() not in _DROPPED_HEADERS
        ]
        return [*own, *self._headers]


Delivery = CompletionDelivery | ServiceDelivery


def build_delivery(
    call: Call, caller: CallerRequest, headers: HeaderList, limits: DeliveryLimits
) -> Delivery:
    """Build the delivery that a call asks for."""
    idempotent = call.request.idempotent
    match call.target:
        case ServiceTarget():
            return ServiceDelivery(
                caller=caller,
                headers=headers,
                buffer_bytes=(
                    limits.service_buffer_bytes if idempotent else limits.kept_answer_bytes
                ),
            )
        case CompletionTarget(endpoint=endpoint, body=body):
            answer_buffer = (
                None if idempotent else AnswerBuffer(limit_bytes=limits.kept_answer_bytes)
            )
            if body.stream:
                streamed = StreamedWriter(caller=caller, headers=headers)
                return CompletionDelivery(writer=streamed, answer_buffer=answer_buffer)
            return CompletionDelivery(
                writer=CollectedWriter(caller=caller, headers=headers, endpoint=endpoint),
                answer_buffer=answer_buffer,
                limit_bytes=limits.collected_answer_bytes,
            )
