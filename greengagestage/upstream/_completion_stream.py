"""Reading a model engine's streamed completion."""

from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import Struct

from ._event_stream import EventStreamParser, EventTooLargeError

_END_OF_STREAM = b"[DONE]"


class Delta(Struct, frozen=True):
    """The part of a chat message that a chunk adds."""

    role: str | None = None
    content: str | None = None


class Choice(Struct, frozen=True):
    """One alternative of a completion; the router asks for one only."""

    index: int = 0
    text: str | None = None
    delta: Delta | None = None
    token_ids: list[int] = []
    finish_reason: str | None = None


class ChunkFields(Struct, frozen=True):
    """The fields of a chunk that the router reads; others pass through unread."""

    id: str = ""
    model: str = ""
    created: int = 0
    choices: list[Choice] = []
    usage: dict[str, Any] | None = None
    error: Any = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CompletionChunk:
    """A chunk: its fields and the exact bytes of its JSON text."""

    fields: ChunkFields
    payload: bytes

    @property
    def text(self) -> str:
        """The text that the chunk adds to the answer."""
        if not self.fields.choices:
            return ""
        choice = self.fields.choices[0]
        if choice.delta is not None:
            return choice.delta.content or ""
        return choice.text or ""

    @property
    def token_ids(self) -> list[int]:
        """The output tokens that the chunk adds."""
        return self.fields.choices[0].token_ids if self.fields.choices else []

    @property
    def finish_reason(self) -> str | None:
        """Why the output ended, in the last chunk that carries text."""
        return self.fields.choices[0].finish_reason if self.fields.choices else None


class MalformedStreamError(ValueError):
    """The engine sent something that is not part of a completion stream."""


_DECODER = msgspec.json.Decoder(ChunkFields)


def decode_chunk(payload: bytes) -> CompletionChunk:
    """Read one chunk.

    Raises:
        MalformedStreamError: The payload is no chunk, or reports an error of the engine.
    """
    try:
        fields = _DECODER.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedStreamError(str(error)) from error
    if fields.error is not None:
        raise MalformedStreamError("the engine reported an error in its stream")
    return CompletionChunk(fields=fields, payload=payload)


class CompletionStreamReader:
    """Collects the chunks of one attempt and knows whether its stream ended properly.

    The chunk that carries ``finish_reason`` and those after it are kept in ``tail`` until the
    stream's end is seen: passed on earlier, they would make a cut answer look complete.
    """

    def __init__(self) -> None:
        self._parser = EventStreamParser()
        self.tail: list[CompletionChunk] = []
        self.ended = False

    @property
    def whole(self) -> bool:
        """The stream had a ``finish_reason`` and its end marker."""
        return self.ended and bool(self.tail)

    def feed(self, data: bytes) -> list[CompletionChunk]:
        """Take the next piece and return the chunks that can be passed on now.

        Raises:
            MalformedStreamError: The stream cannot be read any further.
        """
        chunks: list[CompletionChunk] = []
        try:
            events = self._parser.feed(data)
        except EventTooLargeError as error:
            raise MalformedStreamError(str(error)) from error
        for event in events:
            if self.ended:
                raise MalformedStreamError("an event follows the end marker")
            if event.name == b"error":
                raise MalformedStreamError("the engine sent an error event")
            if event.data == _END_OF_STREAM:
                self.ended = True
                continue
            chunk = decode_chunk(event.data)
            if self.tail or chunk.finish_reason is not None:
                self.tail.append(chunk)
            else:
                chunks.append(chunk)
        return chunks
