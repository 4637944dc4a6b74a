"""Answers of non-idempotent requests, stored so that a retry receives the same answer.

Completions are always stored as the events of their stream.
"""

from greengagestage.claims import StoredAnswer

from ._bodies import Endpoint
from ._completions import EVENT_STREAM, JSON, HeaderList, collect_events
from ._http import CallerRequest


class AnswerBuffer:
    """Buffers an answer up to a size limit."""

    def __init__(self, *, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._data: bytearray | None = bytearray()

    def add(self, data: bytes) -> None:
        """Append to the answer; past the limit, the whole answer is discarded."""
        if self._data is None:
            return
        self._data += data
        if len(self._data) > self._limit_bytes:
            self._data = None

    def build_answer(self, *, status: int, content_type: str) -> StoredAnswer | None:
        """Return the answer, or None if it exceeded the limit."""
        if self._data is None:
            return None
        return StoredAnswer(status=status, content_type=content_type, body=bytes(self._data))


def send_stored_answer(
    answer: StoredAnswer,
    *,
    caller: CallerRequest,
    headers: HeaderList,
    endpoint: Endpoint | None,
    stream: bool,
) -> None:
    """Send a stored answer to a retry, as one complete response.

    The stored body is sent byte for byte, also if it consists of a stream's events. The exception
    is a completion whose retry asks for no stream: its events are converted to a JSON body.

    Args:
        endpoint: The endpoint of a completion; None for a plain service.
        stream: Whether the retry asks for a stream.
    """
    if endpoint is not None and not stream and answer.content_type == EVENT_STREAM:
        caller.answer(answer.status, JSON, collect_events(endpoint, answer.body), headers)
        return
    caller.answer(answer.status, answer.content_type, answer.body, headers)
