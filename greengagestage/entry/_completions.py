"""Encodes completions as callers request them: as an event stream or as one JSON body."""

from collections.abc import Iterable, Sequence
from typing import Any, Protocol

import msgspec

from greengagestage.refusals import Refusal, encode_error_event
from greengagestage.upstream import CompletionChunk, EventStreamParser, decode_chunk

from ._bodies import Endpoint
from ._http import CallerRequest

EVENT_STREAM = "text/event-stream; charset=utf-8"
JSON = "application/json"
DONE = b"[DONE]"

HeaderList = list[tuple[str, str]]
"""Names and values of headers of answers to callers, as text."""

MergedChunk = tuple[bytes, CompletionChunk]
"""The payload to forward to the caller, and the chunk that it was made from."""


class CompletionWriter(Protocol):
    """Writes a completion to its caller."""

    def send(self, chunks: Sequence[MergedChunk]) -> None:
        """Write the next chunks."""

    def end(self, tail: Sequence[MergedChunk]) -> None:
        """Write the last chunks and complete the answer."""

    def refuse(self, refusal: Refusal) -> None:
        """Tell the caller that the answer failed or is incomplete."""


class StreamedWriter:
    """Streams chunks as server-sent events as they arrive."""

    def __init__(self, *, caller: CallerRequest, headers: HeaderList) -> None:
        self._caller = caller
        self._headers = headers
        self._started = False

    def send(self, chunks: Sequence[MergedChunk]) -> None:
        """Send chunks in one write."""
        self._begin()
        self._caller.send(b"".join([encode_event(payload) for payload, _ in chunks]))

    def end(self, tail: Sequence[MergedChunk]) -> None:
        """Send the last chunks and the end marker."""
        self._begin()
        events = [encode_event(payload) for payload, _ in tail]
        self._caller.send(b"".join([*events, encode_event(DONE)]))
        self._caller.end()

    def _begin(self) -> None:
        if not self._started:
            self._started = True
            head = [("Content-Type", EVENT_STREAM), ("Cache-Control", "no-cache"), *self._headers]
            self._caller.begin_stream(200, head)

    def refuse(self, refusal: Refusal) -> None:
        """Refuse with an HTTP status, or with an error event if the stream has started."""
        if not self._started:
            self._caller.refuse(refusal, self._headers)
            return
        self._caller.close_after_answer()
        self._caller.send(encode_error_event(refusal))
        self._caller.end()


class CollectedWriter:
    """Collects all chunks and sends them as one JSON body."""

    def __init__(self, *, caller: CallerRequest, headers: HeaderList, endpoint: Endpoint) -> None:
        self._caller = caller
        self._headers = headers
        self._body = CompletionBodyBuilder(endpoint=endpoint)

    def send(self, chunks: Sequence[MergedChunk]) -> None:
        """Add chunks to the body; nothing is sent yet."""
        for _, chunk in chunks:
            self._body.add(chunk)

    def end(self, tail: Sequence[MergedChunk]) -> None:
        """Send the body."""
        self.send(tail)
        self._caller.answer(200, JSON, self._body.build(), self._headers)

    def refuse(self, refusal: Refusal) -> None:
        """Refuse with an HTTP status; nothing of the answer has been sent."""
        self._caller.refuse(refusal, self._headers)


class CompletionBodyBuilder:
    """Builds the JSON body of a completion from its chunks."""

    def __init__(self, *, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._texts: list[str] = []
        self._first: CompletionChunk | None = None
        self._finish_reason: str | None = None
        self._usage: dict[str, Any] | None = None

    def add(self, chunk: CompletionChunk) -> None:
        """Add the next chunk."""
        if self._first is None:
            self._first = chunk
        self._texts.append(chunk.text)
        self._finish_reason = chunk.finish_reason or self._finish_reason
        if chunk.usage is not None:
            self._usage = chunk.usage

    def build(self) -> bytes:
        """Return the body as JSON."""
        text = "".join(self._texts)
        choice: dict[str, Any] = {"index": 0}
        if self._endpoint is Endpoint.CHAT:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        choice["finish_reason"] = self._finish_reason
        return msgspec.json.encode(
            {
                "id": self._first.answer_id if self._first else "",
                "object": (
                    "chat.completion" if self._endpoint is Endpoint.CHAT else "text_completion"
                ),
                "created": self._first.created if self._first else 0,
                "model": self._first.model if self._first else "",
                "choices": [choice],
                "usage": self._usage,
            }
        )


def encode_event(payload: bytes) -> bytes:
    """Encode a payload as one server-sent event."""
    return b"data: " + payload + b"\n\n"


def collect_events(endpoint: Endpoint, events: bytes) -> bytes:
    """Convert the events of a complete stream into one JSON body."""
    builder = CompletionBodyBuilder(endpoint=endpoint)
    for chunk in _decode_events(events):
        builder.add(chunk)
    return builder.build()


def _decode_events(events: bytes) -> Iterable[CompletionChunk]:
    for event in EventStreamParser().feed(events):
        if event.data != DONE:
            yield decode_chunk(event.data)
