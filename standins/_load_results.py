"""The results that the load generator records for each request."""

from enum import Enum

from msgspec import Struct


class Verdict(Enum):
    """The final outcome of a request as its caller saw it.

    ``BROKEN`` is an answer without its end marker or a final error, or with a text that does not
    belong to the request. ``GAVE_UP`` is a request whose caller closed the connection.
    ``UNANSWERED`` is a request that had not ended when the load generator stopped waiting.
    """

    DELIVERED = "delivered"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    BROKEN = "broken"
    GAVE_UP = "gave_up"
    UNANSWERED = "unanswered"


class RequestResult(Struct, kw_only=True):
    """One request as its caller saw it; times are seconds since it was due.

    ``matches`` is whether all text received is a prefix of the request's expected answer.
    ``refusals`` and ``failures`` count the earlier answers after which the caller resent it.
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
    """All results of one run of a plan; ``duration_s`` is the time span of the planned requests."""

    duration_s: float
    results: list[RequestResult]
