"""What an upstream's response proves about the run of a request."""

from enum import Enum

from greengagestage.http1 import ResponseHead
from greengagestage.ids import AttemptId
from greengagestage.results import CODE_DETAILS, ResultCode, RunVerdict

from ._headers import ATTEMPT_ID, NOT_EXECUTED, SIGNATURE

MISDIRECTED = 421
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses by which a caller learns that its request has not run and never will."""


class ResponseKind(Enum):
    """What a response head says.

    ``UNPROVEN`` is a success without proof of who made it, or a status that promises the caller
    that nothing ran though the upstream does not say so.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    MISDIRECTED = "elsewhere"
    UNPROVEN = "unproven"


def is_answer_to(attempt_id: AttemptId, head: ResponseHead) -> bool:
    """Whether a response belongs to a request; extra ones name another."""
    named = head.get(ATTEMPT_ID)
    return named is None or named == attempt_id.encode()


def classify_response(head: ResponseHead) -> ResponseKind:
    """Return what a response says about the run."""
    if head.status == MISDIRECTED:
        return ResponseKind.MISDIRECTED
    if head.get(NOT_EXECUTED) is not None:
        return ResponseKind.NOT_RUN
    if 200 <= head.status < 300:
        proven = head.get(SIGNATURE) is not None and head.get(ATTEMPT_ID) is not None
        encoded = head.get(b"content-encoding") not in (None, b"identity")
        return ResponseKind.SUCCESS if proven and not encoded else ResponseKind.UNPROVEN
    return ResponseKind.UNPROVEN if head.status in NOT_RUN_STATUSES else ResponseKind.FAILURE


_OWN_STATUSES = {
    ResultCode.UNKNOWN_PATH: 404,
    ResultCode.MISSING_CREDENTIALS: 401,
    ResultCode.UNKNOWN_CREDENTIALS: 401,
    ResultCode.BAD_HEADER: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.DEADLINE_PASSED_RUNNING: 504,
    ResultCode.UPSTREAM_SILENT: 504,
}


def get_refusal_status(code: ResultCode) -> int:
    """Return the status by which callers learn a verdict of the system's own.

    503 promises that the request has not run; 502 and 504 promise nothing.
    """
    status = _OWN_STATUSES.get(code)
    if status is not None:
        return status
    return 503 if CODE_DETAILS[code].verdict is RunVerdict.NOT_RUN else 502


def format_retry_after(delay_s: float, time_left_s: float) -> bytes:
    """Return a ``Retry-After`` value; callers honour up to a third of the time they have left."""
    return b"%.3f" % max(min(delay_s, time_left_s / 3), 0.0)
