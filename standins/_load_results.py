"""What the load generator records of each request."""

from enum import Enum

from msgspec import Struct


class Verdict(Enum):
    """What the caller was told in the end.

    ``BROKEN`` is an answer that ended without a proper end or a final error, or whose text is
    not the request's own; ``GAVE_UP`` was closed by its caller; ``UNANSWERED`` had no end when
    the load generator stopped waiting.
    """

    DELIVERED = "delivered"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    BROKEN = "broken"
    GAVE_UP = "gave_up"
    UNANSWERED = "unanswered"


class RequestResult(Struct, kw_only=True):
    """One request as its caller saw it; times are seconds since it was due.

    ``matches`` tells whether all text received is the start of the request's own answer.
    ``refusals`` and ``failures`` count the earlier answers after which the caller sent again.
    """

    index: int
    workspace: str
    service_class: str
    completion: bool
    at_s: float
    status: int = 0
    verdict: Verdict = Verdict.UNANSWERED
    code: int = 0
    retry_after_s: float | None = None
    request_id: str = ""
    first_token_s: float | None = None
    answer_s: float | None = None
    longest_gap_s: float = 0.0
    tokens: int = 0
    matches: bool = True
    refusals: int = 0
    failures: int = 0


class LoadResult(Struct, kw_only=True):
    """All results of one run of a plan; ``duration_s`` is the time over which they were due."""

    duration_s: float
    results: list[RequestResult]
