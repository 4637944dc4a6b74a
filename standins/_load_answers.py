"""Reads answers as a caller does: complete bodies and streams of server-sent events."""

from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Struct
from twisted.internet import protocol as _protocol
from twisted.web.client import ResponseDone

from ._load_results import RequestResult, Verdict

_ERROR_EVENT_LINE = b"event: error"
_DATA_PREFIX = b"data:"
_DONE_MARKER = b"[DONE]"
_BaseProtocol: Any = _protocol.Protocol


class _Delta(Struct, frozen=True, kw_only=True):
    content: str | None = None


class _Choice(Struct, frozen=True, kw_only=True):
    delta: _Delta = _Delta()
    finish_reason: str | None = None


class _Usage(Struct, frozen=True, kw_only=True):
    completion_tokens: int


class _Chunk(Struct, frozen=True, kw_only=True):
    choices: tuple[_Choice, ...] = ()
    usage: _Usage | None = None


class _Error(Struct, frozen=True, kw_only=True):
    code: int
    run: str
    retry_after_s: float | None = None


class _ErrorBody(Struct, frozen=True, kw_only=True):
    error: _Error


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)
_ERROR_DECODER = msgspec.json.Decoder(_ErrorBody)


class AnswerReader(_BaseProtocol):  # type: ignore[misc]
    """Reads the body of one answer into its result.

    ``expected`` is the text of the whole answer, or None for a plain service.
    """

    def __init__(
        self,
        *,
        result: RequestResult,
        expected: str | None,
        measure_elapsed_s: Callable[[], float],
        on_end: Callable[[RequestResult], None],
    ) -> None:
        self._result = result
        self._expected = expected
        self._measure_elapsed_s = measure_elapsed_s
        self._on_end = on_end
        self._buffer = b""
        self._text = ""
        self._has_finish_reason = False
        self._has_end_marker = False
        self._last_token_s: float | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process received bytes of the body."""
        self._buffer += data
        if self._expected is None or self._result.status != 200:
            return
        *events, self._buffer = self._buffer.split(b"\n\n")
        for event in events:
            self._read_event(event)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Determine the verdict at the end of the body."""
        complete = reason is not None and reason.check(ResponseDone) is not None
        result = self._result
        result.answer_s = self._measure_elapsed_s()
        if result.verdict is Verdict.UNANSWERED:
            result.verdict = self._determine_verdict(complete=complete)
        self._on_end(result)

    def give_up(self) -> None:
        """Close the connection, since the caller has given up."""
        self._result.verdict = Verdict.GAVE_UP
        self.transport.loseConnection()

    def _determine_verdict(self, *, complete: bool) -> Verdict:
        if not complete:
            return Verdict.BROKEN
        if self._result.status >= 400:
            return self._read_error(self._buffer)
        if self._expected is None:
            return Verdict.DELIVERED
        is_whole = self._has_finish_reason and self._has_end_marker and self._text == self._expected
        return Verdict.DELIVERED if is_whole else Verdict.BROKEN

    def _read_event(self, event: bytes) -> None:
        lines = event.splitlines()
        data = b"\n".join(
            line[len(_DATA_PREFIX) :].strip() for line in lines if line.startswith(_DATA_PREFIX)
        )
        if _ERROR_EVENT_LINE in lines:
            self._result.verdict = self._read_error(data)
        elif data == _DONE_MARKER:
            self._has_end_marker = True
        elif data:
            self._read_chunk(data)

    def _read_chunk(self, data: bytes) -> None:
        chunk = _CHUNK_DECODER.decode(data)
        for choice in chunk.choices:
            if choice.finish_reason is not None:
                self._has_finish_reason = True
            if choice.delta.content:
                self._add_text(choice.delta.content)
        if chunk.usage is not None:
            self._result.tokens = chunk.usage.completion_tokens

    def _add_text(self, text: str) -> None:
        now_s = self._measure_elapsed_s()
        result = self._result
        if result.first_token_s is None:
            result.first_token_s = now_s
        if self._last_token_s is not None:
            result.longest_gap_s = max(result.longest_gap_s, now_s - self._last_token_s)
        self._last_token_s = now_s
        result.tokens += 1
        self._text += text
        if self._expected is not None and not self._expected.startswith(self._text):
            result.matches = False

    def _read_error(self, data: bytes) -> Verdict:
        try:
            error = _ERROR_DECODER.decode(data).error
            verdict = Verdict(error.run)
        except (msgspec.DecodeError, ValueError):
            return Verdict.BROKEN
        self._result.code = error.code
        self._result.retry_after_s = error.retry_after_s
        return verdict
