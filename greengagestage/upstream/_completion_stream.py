"""Parsing of a model engine's streamed completion."""

from typing import Any

import msgspec
from msgspec import Struct

from ._event_stream import EventStreamParser, EventTooLargeError

_END_MARKER = b"[DONE]"


class Delta(Struct, frozen=True):
    """The part of a chat message that one chunk adds."""

    role: str | None = None
    content: str | None = None


class Choice(Struct, frozen=True):
    """One alternative of a completion; the router requests only one."""

    index: int = 0
    text: str | None = None
    delta: Delta | None = None
    token_ids: list[int] = []
    finish_reason: str | None = None


class _ChunkFields(Struct, frozen=True):
    """The fields of a chunk that the router reads; other fields are forwarded unread."""

    id: str = ""
    model: str = ""
    created: int = 0
    choices: list[Choice] = []
    usage: dict[str, Any] | None = None
    error: Any = None


class CompletionChunk(Struct, frozen=True, kw_only=True):
    """One decoded chunk of a completion and its JSON text as received.

    Attributes:
        payload: The chunk's JSON text, byte for byte.
        token_ids: The output tokens of ``text``.
        finish_reason: Why the output ended; set in the last chunk that carries text.
        opens: The chunk has a choice but no text, tokens, finish reason or usage; engines send
            such a chunk to start a message.
    """

    payload: bytes
    answer_id: str
    model: str
    created: int
    text: str
    token_ids: list[int]
    finish_reason: str | None
    usage: dict[str, Any] | None
    opens: bool


class MalformedStreamError(ValueError):
    """The engine sent data that is not a valid completion stream, or reported an error in it."""


_DECODER = msgspec.json.Decoder(_ChunkFields)
_NO_CHOICE = Choice()


def decode_chunk(payload: bytes) -> CompletionChunk:
    """Decode one chunk.

    Raises:
        MalformedStreamError: The payload is not a valid chunk, or reports an engine error.
    """
    try:
        fields = _DECODER.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedStreamError(str(error)) from error
    if fields.error is not None:
        raise MalformedStreamError("the engine reported an error in its stream")
    choice = fields.choices[0] if fields.choices else _NO_CHOICE
    text = choice.text if choice.delta is None else choice.delta.content
    return CompletionChunk(
        payload=payload,
        answer_id=fields.id,
        model=fields.model,
        created=fields.created,
        text=text or "",
        token_ids=choice.token_ids,
        finish_reason=choice.finish_reason,
        usage=fields.usage,
        opens=bool(
            fields.choices
            and not (text or choice.token_ids or choice.finish_reason or fields.usage)
        ),
    )


class CompletionStreamReader:
    """Decodes the chunks of one attempt and tracks whether its stream is complete.

    The chunk that carries ``finish_reason`` and those after it are held back in ``tail`` until
    the end marker arrives: forwarded earlier, they would make a truncated response look complete.
    """

    def __init__(self) -> None:
        self._parser = EventStreamParser()
        self.tail: list[CompletionChunk] = []
        self.ended = False

    @property
    def is_complete(self) -> bool:
        """Whether both a ``finish_reason`` and the end marker were received."""
        return self.ended and bool(self.tail)

    def feed(self, data: bytes) -> list[CompletionChunk]:
        """Parse the next bytes and return the chunks that can be forwarded now.

        Raises:
            MalformedStreamError: The stream is invalid and cannot be parsed any further.
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
            if event.data == _END_MARKER:
                self.ended = True
                continue
            chunk = decode_chunk(event.data)
            if self.tail or chunk.finish_reason is not None:
                self.tail.append(chunk)
            else:
                chunks.append(chunk)
        return chunks
