"""Requests as a server reads them, and the interface through which they are answered."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ._body_claim import BodyClaim
from ._callers import CallerListener
from ._types import HeaderList


class LimitExceeded(Enum):
    """Why a request was refused before it was read to its end.

    The value is the HTTP status of the refusal. ``MALFORMED`` stands for no limit but for invalid
    or ambiguous HTTP, such as several Host headers; ``MEMORY_FULL`` for a limit on what the process
    holds for all callers.
    """

    MALFORMED = 400
    TOO_SLOW = 408
    BODY_TOO_LARGE = 413
    HEAD_TOO_LARGE = 431
    MEMORY_FULL = 503

    @property
    def retry_after_s(self) -> float | None:
        """Time after which the request may be sent again; None if it would be refused again."""
        return 0.1 if self is LimitExceeded.MEMORY_FULL else None


@dataclass(frozen=True, slots=True, kw_only=True)
class IncomingRequest:
    """A complete request. Header names are in lower case.

    Attributes:
        received_s: Monotonic time at which its first byte arrived, also if it was read later.
        body_claim: To be held by whatever holds the body; None if that is not counted.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    received_s: float
    body_claim: BodyClaim | None = field(default=None, compare=False, repr=False)

    def get_all(self, name: bytes) -> list[bytes]:
        """Return all values of a header."""
        return [value for key, value in self.headers if key == name]

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``."""
        return next(iter(self.get_all(name)), None)


class Responder(Protocol):
    """Sends the response to one request.

    Attributes:
        listener: Forgotten at the end of the response. The connection's next request may have set
            its own by the time that the call which ends the response returns.
    """

    listener: CallerListener | None

    def answer(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete response."""

    def begin(self, status: int, headers: HeaderList) -> None:
        """Begin a response of unknown length."""

    def write(self, data: bytes) -> None:
        """Send the next bytes of the body."""

    def finish(self) -> None:
        """Complete the response."""

    def hold(self, count: int) -> bool:
        """Count the bytes of a response that are buffered elsewhere until it is complete.

        Returns whether there is room for them. The count is 0 again once a response is sent.
        """

    def abort(self) -> None:
        """Abort the connection, so that the response cannot look complete."""
