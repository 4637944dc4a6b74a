"""Classification of upstream responses and the statuses of the router's own refusals."""

import math
import re
from enum import Enum

from greengagestage.http1 import ResponseHead
from greengagestage.ids import AttemptId
from greengagestage.results import CODE_DETAILS, ResultCode, RunVerdict

from ._headers import (
    ATTEMPT_ID,
    BRITTLE,
    LEAVING,
    LIMIT,
    MAX_NUMBER_DIGITS,
    NOT_EXECUTED,
    RETRY_AFTER,
    SIGNATURE,
)

MISDIRECTED = 421
UNAVAILABLE = 503
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise a caller that its request has not run and never will."""


MAX_PAUSE_S = 3_600.0
"""Longer pauses are shortened to this. With a wrong value, callers would otherwise lose the
upstream until it restarts."""

_DECIMAL = re.compile(rb"[0-9]+(\.[0-9]*)?|\.[0-9]+")


class ResponseKind(Enum):
    """What a response head states about the execution of its request.

    ``UNPROVEN`` is a success that lacks the header with the upstream's signature or attempt id, a
    success with a content encoding, or a status that would promise the caller that nothing ran
    although the upstream does not state so. Only the presence of the two headers is checked here;
    ``is_answer_to`` compares the attempt id.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    MISDIRECTED = "elsewhere"
    UNPROVEN = "unproven"


def is_answer_to(attempt_id: AttemptId, head: ResponseHead) -> bool:
    """Whether a response belongs to a request; one that names another attempt does not."""
    answered_id = head.get(ATTEMPT_ID)
    return answered_id is None or answered_id == attempt_id.encode()


def names_request(head: ResponseHead) -> bool:
    """Whether a response names its request, so that it is the upstream's own."""
    return head.get(ATTEMPT_ID) is not None


def classify_response(head: ResponseHead) -> ResponseKind:
    """Return what a response states about the execution of its request.

    On a kept connection, a refusal that does not name its request may be one of an earlier request,
    which an upstream has written once more.
    """
    if head.status == MISDIRECTED or head.get(NOT_EXECUTED) is not None:
        if head.on_kept_connection and head.get(ATTEMPT_ID) is None:
            return ResponseKind.UNPROVEN
        is_misdirected = head.status == MISDIRECTED
        return ResponseKind.MISDIRECTED if is_misdirected else ResponseKind.NOT_RUN
    if 200 <= head.status < 300:
        proven = head.get(SIGNATURE) is not None and head.get(ATTEMPT_ID) is not None
        encoded = head.get(b"content-encoding") not in (None, b"identity")
        return ResponseKind.SUCCESS if proven and not encoded else ResponseKind.UNPROVEN
    return ResponseKind.UNPROVEN if head.status in NOT_RUN_STATUSES else ResponseKind.FAILURE


def states_leaving(head: ResponseHead) -> bool:
    """Whether a response states that the upstream which the request named is about to end.

    A misdirected request was answered by another upstream.
    """
    return head.get(LEAVING) == b"1" and head.status != MISDIRECTED


def names_limit(head: ResponseHead) -> bool:
    """Whether the upstream that the request named limits the rate of requests."""
    return head.get(LIMIT) is not None and head.status != MISDIRECTED


def names_no_limit(head: ResponseHead) -> bool:
    """Whether the upstream that the request named states that it limits no rate.

    Only an answer that names its request tells this: other bytes may come from elsewhere.
    """
    answers = head.get(ATTEMPT_ID) is not None and head.status != MISDIRECTED
    return answers and head.get(LIMIT) is None


def read_limit_per_s(head: ResponseHead) -> float | None:
    """Return the requests a second that an upstream takes from all hosts; None if unreadable."""
    text = (head.get(LIMIT) or b"").strip()
    if not _DECIMAL.fullmatch(text):
        return None
    limit = float(text)
    return limit if limit < math.inf else None


def read_allowance(head: ResponseHead) -> int | None:
    """Return how many requests a second a brittle upstream can turn away before it falls over.

    None if the upstream that the request named does not say so.
    """
    text = (head.get(BRITTLE) or b"").strip()
    if head.status == MISDIRECTED or not _DECIMAL.fullmatch(text):
        return None
    return int(float(text)) if len(text) <= MAX_NUMBER_DIGITS else None


def names_no_allowance(head: ResponseHead) -> bool:
    """Whether the upstream that the request named states that it is not brittle.

    Only an answer that names its request tells this: other bytes may come from elsewhere.
    """
    answers = head.get(ATTEMPT_ID) is not None and head.status != MISDIRECTED
    return answers and head.get(BRITTLE) is None


def is_rejection(head: ResponseHead) -> bool:
    """Whether an upstream has turned a request away for want of room."""
    return head.status == UNAVAILABLE and head.get(NOT_EXECUTED) is not None


def read_pause_s(head: ResponseHead) -> float | None:
    """Return the seconds for which an upstream wants no requests from this host; None for none.

    Only a 503 asks for a pause. Dates and values that are not positive numbers are ignored.
    """
    text = (head.get(RETRY_AFTER) or b"").strip()
    if head.status != UNAVAILABLE or not _DECIMAL.fullmatch(text):
        return None
    pause_s = float(text)
    return min(pause_s, MAX_PAUSE_S) if 0 < pause_s < math.inf else None


_REFUSAL_STATUSES = {
    ResultCode.UNKNOWN_PATH: 404,
    ResultCode.METHOD_NOT_ALLOWED: 405,
    ResultCode.MISSING_CREDENTIALS: 401,
    ResultCode.UNKNOWN_CREDENTIALS: 401,
    ResultCode.BAD_HEADER: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.DEADLINE_PASSED_RUNNING: 504,
    ResultCode.UPSTREAM_SILENT: 504,
}


def get_refusal_status(code: ResultCode) -> int:
    """Return the status of a refusal that the router itself produces.

    503 promises that the request has not run; 502 and 504 promise nothing.
    """
    status = _REFUSAL_STATUSES.get(code)
    if status is not None:
        return status
    return 503 if CODE_DETAILS[code].verdict is RunVerdict.NOT_RUN else 502


def format_retry_after(delay_s: float, time_left_s: float) -> bytes:
    """Return a ``Retry-After`` value in seconds.

    Callers honour at most a third of their remaining time, so the value is capped there.
    """
    return b"%.3f" % max(min(delay_s, time_left_s / 3), 0.0)
