"""The last requests of this host, and counts of their outcomes by minute."""

import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from greengagestage.ids import ClassName, RequestId, WorkspaceId
from greengagestage.results import CODE_DETAILS, ResultCode, RunVerdict
from greengagestage.wire import RequestRecord

REQUESTS_KEPT = 4096
MINUTES_KEPT = 60
SECONDS_PER_MINUTE = 60
MINUTE_KEYS_LIMIT = 20_000
IN_PROGRESS_CODE = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class MinuteKey:
    """The key of a count of outcomes. ``start_unix_s`` is the start of the minute in Unix time."""

    start_unix_s: int
    service_class: ClassName
    workspace: WorkspaceId


@dataclass(slots=True, kw_only=True)
class Outcomes:
    """Counts of ended requests."""

    ended: int = 0
    delivered: int = 0
    refused: int = 0
    may_have_run: int = 0
    within_target: int = 0
    tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoggedRequest:
    """A record and the monotonic time in seconds at which it arrived here."""

    record: RequestRecord
    received_at_s: float


class RequestLog:
    """Keeps a bounded number of requests and of minutes."""

    def __init__(self, *, unix_seconds: Callable[[], float] = time.time) -> None:
        self._unix_seconds = unix_seconds
        self._requests: OrderedDict[RequestId, LoggedRequest] = OrderedDict()
        self.minutes: OrderedDict[MinuteKey, Outcomes] = OrderedDict()

    def record(self, records: Iterable[RequestRecord]) -> None:
        """Add records of requests that ended or changed."""
        now_s = time.monotonic()
        for record in records:
            known = self._requests.pop(record.request_id, None)
            self._requests[record.request_id] = LoggedRequest(record=record, received_at_s=now_s)
            had_ended = known is not None and known.record.code != IN_PROGRESS_CODE
            if record.code != IN_PROGRESS_CODE and not had_ended:
                self._count(record)
        while len(self._requests) > REQUESTS_KEPT:
            self._requests.popitem(last=False)

    def find(self, request_id: RequestId) -> LoggedRequest | None:
        """Return a request, or None if it is not in the log."""
        return self._requests.get(request_id)

    def list_newest(self) -> list[LoggedRequest]:
        """Return the known requests, newest first."""
        return list(reversed(self._requests.values()))

    def _count(self, record: RequestRecord) -> None:
        minute = int(self._unix_seconds()) // SECONDS_PER_MINUTE * SECONDS_PER_MINUTE
        key = MinuteKey(
            start_unix_s=minute, service_class=record.service_class, workspace=record.workspace
        )
        outcomes = self.minutes.get(key)
        if outcomes is None:
            outcomes = self.minutes[key] = Outcomes()
            self._evict_old(minute)
        _add_outcome(outcomes, record)

    def _evict_old(self, minute: int) -> None:
        oldest = minute - MINUTES_KEPT * SECONDS_PER_MINUTE
        while (
            len(self.minutes) > MINUTE_KEYS_LIMIT or next(iter(self.minutes)).start_unix_s < oldest
        ):
            self.minutes.popitem(last=False)


def _add_outcome(outcomes: Outcomes, record: RequestRecord) -> None:
    outcomes.ended += 1
    outcomes.within_target += record.within_target
    outcomes.tokens += record.tokens
    match CODE_DETAILS[ResultCode(record.code)].verdict:
        case RunVerdict.DELIVERED:
            outcomes.delivered += 1
        case RunVerdict.NOT_RUN:
            outcomes.refused += 1
        case RunVerdict.MAY_HAVE_RUN:
            outcomes.may_have_run += 1
