"""Completions in the forms that callers ask for: a stream of events, or one JSON body."""

from collections.abc import Iterable
from typing import Any, Protocol

import msgspec

from greengagestage.upstream import CompletionChunk, EventStreamParser, decode_chunk

from ._bodies import Endpoint
from ._http import CallerRequest
from ._refusals import Refusal, encode_error_event

EVENT_STREAM = "text/event-stream; charset=utf-8"
JSON = "application/json"
DONE = b"[DONE]"

HeaderList = list[tuple[str, str]]


class CompletionForm(Protocol):
    """How a completion reaches its caller."""

    def add(self, payload: bytes, chunk: CompletionChunk) -> None:
        """Take a chunk of the answer."""

    def flush(self) -> None:
        """Send what can be sent already."""

    def end(self) -> None:
        """Send the rest; the answer is whole."""

    def refuse(self, refusal: Refusal) -> None:
        """Tell the caller that there is no whole answer."""


class StreamedForm:
    """Sends each chunk as an event when it comes."""

    def __init__(self, *, caller: CallerRequest, headers: HeaderList) -> None:
        self._caller = caller
        self._headers = headers
        self._pending: list[bytes] = []
        self._begun = False

    def add(self, payload: bytes, chunk: CompletionChunk) -> None:
        """Queue an event."""
        self._pending.append(encode_event(payload))

    def flush(self) -> None:
        """Send the queued events in one write."""
        if not self._begun:
            self._begun = True
            head = [("Content-Type", EVENT_STREAM), ("Cache-Control", "no-cache"), *self._headers]
            self._caller.begin_stream(200, head)
        data = b"".join(self._pending)
        self._pending.clear()
        self._caller.send(data)

    def end(self) -> None:
        """Send the end marker."""
        self._pending.append(encode_event(DONE))
        self.flush()
        self._caller.end()

    def refuse(self, refusal: Refusal) -> None:
        """Refuse with a status, or with an error event if the stream has begun."""
        if not self._begun:
            self._caller.refuse(refusal, self._headers)
            return
        self._caller.close_after_answer()
        self._caller.send(encode_error_event(refusal))
        self._caller.end()


class CollectedForm:
    """Collects the chunks and sends one JSON body."""

    def __init__(self, *, caller: CallerRequest, headers: HeaderList, endpoint: Endpoint) -> None:
        self._caller = caller
        self._headers = headers
        self._body = CompletionBodyBuilder(endpoint=endpoint)

    def add(self, payload: bytes, chunk: CompletionChunk) -> None:
        """Add a chunk to the body."""
        self._body.add(chunk)

    def flush(self) -> None:
        """Send nothing: the body goes as a whole."""

    def end(self) -> None:
        """Send the body."""
        self._caller.answer(200, JSON, self._body.build(), self._headers)

    def refuse(self, refusal: Refusal) -> None:
        """Refuse; nothing of the answer has been sent."""
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
        """Take the next chunk."""
        if self._first is None:
            self._first = chunk
        self._texts.append(chunk.text)
        self._finish_reason = chunk.finish_reason or self._finish_reason
        if chunk.fields.usage is not None:
            self._usage = chunk.fields.usage

    def build(self) -> bytes:
        """Return the body."""
        text = "".join(self._texts)
        choice: dict[str, Any] = {"index": 0}
        if self._endpoint is Endpoint.CHAT:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        choice["finish_reason"] = self._finish_reason
        return msgspec.json.encode(
            {
                "id": self._first.fields.id if self._first else "",
                "object": (
                    "chat.completion" if self._endpoint is Endpoint.CHAT else "text_completion"
                ),
                "created": self._first.fields.created if self._first else 0,
                "model": self._first.fields.model if self._first else "",
                "choices": [choice],
                "usage": self._usage,
            }
        )


def encode_event(payload: bytes) -> bytes:
    """Return a payload as one event."""
    return b"data: " + payload + b"\n\n"


def collect_events(endpoint: Endpoint, events: bytes) -> bytes:
    """Turn the events of a whole stream into one JSON body."""
    builder = CompletionBodyBuilder(endpoint=endpoint)
    for chunk in _decode_events(events):
        builder.add(chunk)
    return builder.build()


def _decode_events(events: bytes) -> Iterable[CompletionChunk]:
    for event in EventStreamParser().feed(events):
        if event.data != DONE:
            yield decode_chunk(event.data)
