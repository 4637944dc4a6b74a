"""Error answers to callers, and their encoding."""

import math
from dataclasses import dataclass

import msgspec
from msgspec import Struct

from greengagestage.results import CODE_DETAILS, ResultCode

ERROR_CONTENT_TYPE = "application/json"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The final result of a request whose answer was not delivered completely.

    Attributes:
        detail: Details of the failure, appended to the message of the code.
        retry_after_s: Seconds until a retry can succeed; None if a retry does not help.
    """

    code: ResultCode
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """HTTP status of the answer if no part of a body has been sent."""
        return CODE_DETAILS[self.code].http_status

    @property
    def retry_after_header(self) -> str | None:
        """The ``Retry-After`` value, rounded up to whole seconds."""
        return None if self.retry_after_s is None else str(math.ceil(self.retry_after_s))


class ErrorDetails(Struct, frozen=True, kw_only=True):
    """The error object that callers receive."""

    code: int
    name: str
    message: str
    run: str
    retry_after_s: float | None = None


class ErrorBody(Struct, frozen=True, kw_only=True):
    """The JSON body of an error answer."""

    error: ErrorDetails


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the refusal as a JSON body."""
    details = CODE_DETAILS[refusal.code]
    message = f"{details.message}: {refusal.detail}" if refusal.detail else details.message
    retry_after_s = None if refusal.retry_after_s is None else round(refusal.retry_after_s, 3)
    return msgspec.json.encode(
        ErrorBody(
            error=ErrorDetails(
                code=refusal.code.value,
                name=refusal.code.name,
                message=message,
                run=details.verdict.value,
                retry_after_s=retry_after_s,
            )
        )
    )


def encode_error_event(refusal: Refusal) -> bytes:
    """Return the refusal as the last server-sent event of a stream that has begun."""
    return b"event: error\ndata: " + encode_refusal(refusal) + b"\n\n"
