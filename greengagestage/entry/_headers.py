"""Validation of the request headers that the router interprets."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success
from twisted.web.http_headers import Headers

from greengagestage.ids import IdempotencyKey
from greengagestage.refusals import Refusal
from greengagestage.results import ResultCode

MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
MAX_TIMEOUT_MS = 86_400_000
MAX_KEY_CHARACTERS = 512

SINGLE_HEADERS = (
    "Authorization",
    "X-Service-Class",
    "Idempotency-Key",
    "X-Idempotent",
    "X-Deadline-Ms",
    "Content-Type",
)
"""Headers that may occur at most once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerHeaders:
    """The validated control headers of one request.

    Attributes:
        key: The API key of the caller.
        timeout_ms: Value of ``X-Deadline-Ms``: how long the caller waits, counted from
            when the router reads the complete request.
    """

    key: str
    service_class: str | None = None
    idempotency_key: IdempotencyKey | None = None
    idempotent: bool = True
    timeout_ms: int | None = None


class _BadHeaderError(Exception):
    def __init__(self, code: ResultCode, detail: str) -> None:
        self.refusal = Refusal(code=code, detail=detail)


def read_headers(headers: Headers) -> Result[CallerHeaders, Refusal]:
    """Validate the control headers; the failure names the header at fault."""
    try:
        values = {name: _read_single(headers, name) for name in SINGLE_HEADERS}
        return Success(
            CallerHeaders(
                key=_read_key(values["Authorization"]),
                service_class=values["X-Service-Class"],
                idempotency_key=_read_idempotency_key(values["Idempotency-Key"]),
                idempotent=_read_idempotent(values["X-Idempotent"]),
                timeout_ms=_read_timeout(values["X-Deadline-Ms"]),
            )
        )
    except _BadHeaderError as error:
        return Failure(error.refusal)


def _read_single(headers: Headers, name: str) -> str | None:
    values = headers.getRawHeaders(name.encode())
    if values is None:
        return None
    if len(values) > 1:
        raise _BadHeaderError(ResultCode.DUPLICATE_HEADER, name)
    try:
        return values[0].decode("ascii")
    except UnicodeDecodeError:
        raise _BadHeaderError(ResultCode.BAD_HEADER, f"{name} is not ASCII") from None


def _read_key(value: str | None) -> str:
    if value is None:
        raise _BadHeaderError(ResultCode.MISSING_CREDENTIALS, "send Authorization: Bearer <key>")
    scheme, _, key = value.partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise _BadHeaderError(
            ResultCode.BAD_HEADER, "Authorization must have the form: Bearer <key>"
        )
    return key


def _read_idempotency_key(value: str | None) -> IdempotencyKey | None:
    if value is None:
        return None
    if not 0 < len(value) <= MAX_IDEMPOTENCY_KEY_CHARACTERS or not value.isprintable():
        limit = MAX_IDEMPOTENCY_KEY_CHARACTERS
        raise _BadHeaderError(
            ResultCode.BAD_HEADER, f"Idempotency-Key must have 1 to {limit} printable characters"
        )
    return IdempotencyKey(value)


def _read_idempotent(value: str | None) -> bool:
    match value:
        case None | "true":
            return True
        case "false":
            return False
        case _:
            raise _BadHeaderError(ResultCode.BAD_HEADER, "X-Idempotent must be true or false")


def _read_timeout(value: str | None) -> int | None:
    if value is None:
        return None
    if not value.isdecimal() or not 0 < int(value[:12]) <= MAX_TIMEOUT_MS or len(value) > 12:
        raise _BadHeaderError(
            ResultCode.BAD_HEADER,
            f"X-Deadline-Ms must be a whole number from 1 to {MAX_TIMEOUT_MS}",
        )
    return int(value)
