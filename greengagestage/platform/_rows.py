"""A client for the platform's row store: reads, watches and transactions, without retries."""

import base64
import time
from collections.abc import Callable, Sequence
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
from msgspec import Struct, field
from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.decoding import DECODE_ERRORS
from greengagestage.http1 import Endpoint
from greengagestage.outcomes import Unavailable, Unknown

from ._store_calls import (
    CALL_TIMEOUT_S,
    CallOutcome,
    StoreAnswer,
    StoreCalls,
    classify_error_status,
)

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
REGISTRY_TABLE = "servers"
HOST_TABLE = "greengagestage-hosts"
VERSION_TABLE = "greengagestage-versions"

MAX_TRANSACTION_ROWS = 100
"""Maximum number of expected, written and removed rows in one transaction, in total."""

MAX_PAGE_ROWS = 500
"""Maximum number of rows that one read returns."""

JSON_HEADERS = [(b"Content-Type", b"application/json")]


class StoredRow(Struct, frozen=True, kw_only=True):
    """A row as returned by the store.

    Attributes:
        value_base64: The row's bytes in Base64.
        revision: Store-wide revision of the row's last change (``SchemaVersion`` on the platform);
            each transaction on any row increases it.
        removed: Whether that change removed the row.
    """

    key: str = field(name="Key")
    value_base64: str = field(name="Value", default="")
    revision: int = field(name="SchemaVersion", default=0)
    removed: bool = field(name="Tombstone", default=False)

    @property
    def value(self) -> bytes:
        """The row's bytes; empty if the Base64 text is invalid."""
        try:
            return base64.b64decode(self.value_base64, validate=True)
        except ValueError:
            return b""


class RowsRead(Struct, frozen=True, kw_only=True):
    """The result of a successful read, watch or transaction.

    A response of the store shows one point in time. ``RowClient.read`` joins the rows of several
    responses, one for each page; the other values are then those of the last page.

    Attributes:
        revision: The store's newest revision at the time of the response. A watch continues from
            it, and rows that a transaction wrote have this revision.
        store_clock_ms: The store's monotonic clock at that time.
        has_more: Whether rows were left out; the next page begins after the last key.
        era: The store's era; see ``StoreAnswer``. Revisions of different eras are unrelated.
    """

    rows: list[StoredRow] = field(name="Rows", default_factory=list)
    revision: int = field(name="SchemaVersion")
    store_clock_ms: float = field(name="NowMs", default=0.0)
    has_more: bool = field(name="HasMore", default=False)
    era: int | None = field(name="Store-Era", default=None)


class ClockReading(Struct, frozen=True, kw_only=True):
    """The store's clock in one answer, between two times of this host's boot-time clock.

    Attributes:
        store_s: The store's clock in seconds.
        era: The store's era; times of different eras cannot be compared.
    """

    sent_s: float
    received_s: float
    store_s: float
    era: int | None


class HistoryLost(Struct, frozen=True):
    """The store no longer keeps the requested changes; the table must be read again."""


class RowConflict(Struct, frozen=True, kw_only=True):
    """A transaction had no effect because rows did not have their expected revisions.

    Attributes:
        rows: The expected rows that exist, with their current contents.
        era: See ``RowsRead``.
    """

    rows: list[StoredRow] = field(name="Rows", default_factory=list)
    era: int | None = field(name="Store-Era", default=None)


class RowId(Struct, frozen=True, kw_only=True):
    """Identifies a row. ``part`` is the partition; all of the router's rows are in one."""

    table: str = field(name="Table")
    part: str = ""
    key: str = field(name="Key")


class RowExpectation(RowId, frozen=True, kw_only=True):
    """The revision that a row must have; 0 for a row that must not exist."""

    revision: int = field(name="SchemaVersion")


class RowPut(RowId, frozen=True, kw_only=True):
    """A row to write."""

    value_base64: str = field(name="Value")


class Transaction(Struct, frozen=True, kw_only=True):
    """Changes that are applied atomically if all expectations are met."""

    expected: Sequence[RowExpectation] = field(name="ExpectedRevision", default=())
    puts: Sequence[RowPut] = field(name="Puts", default=())
    removals: Sequence[RowId] = field(name="Remove", default=())


_T = TypeVar("_T", RowsRead, RowConflict)

ReadOutcome = RowsRead | HistoryLost | Unavailable
WriteOutcome = RowsRead | RowConflict | Unavailable | Unknown


class RowClient:
    """Reads and writes rows; never retries a call.

    Args:
        on_era: Handles the store's era in each response; see ``StoreCalls``.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        endpoint: Endpoint,
        timeout_s: float = CALL_TIMEOUT_S,
        on_era: Callable[[int], None] = lambda era: None,
    ) -> None:
        self._calls = StoreCalls(
            reactor=reactor, endpoint=endpoint, timeout_s=timeout_s, on_era=on_era
        )
        self._clock: ClockReading | None = None

    @property
    def clock(self) -> ClockReading | None:
        """The latest reading of the store's clock, by a read or a transaction; None before it."""
        return self._clock

    @property
    def calls(self) -> int:
        """Number of calls started so far, including those that could not be connected."""
        return self._calls.sent

    @inlineCallbacks
    def _read(self, table: str, first_key: str, end_key: str | None, limit: int | None) -> Any:
        rows: list[StoredRow] = []
        era: int | None = None
        while True:
            page_limit = MAX_PAGE_ROWS if limit is None else min(limit - len(rows), MAX_PAGE_ROWS)
            page = yield self._read_page(table, first_key, end_key, page_limit)
            if not isinstance(page, RowsRead):
                return page
            if rows and page.era != era:
                return Unavailable(reason="the store came back from a copy between two pages")
            era = page.era
            rows.extend(page.rows)
            if not page.has_more or not page.rows or len(rows) == limit:
                return msgspec.structs.replace(page, rows=rows)
            first_key = page.rows[-1].key + "\0"

    def read(
        self,
        table: str,
        *,
        first_key: str = "",
        end_key: str | None = None,
        limit: int | None = None,
    ) -> Deferred[ReadOutcome]:
        """Read a table's rows in key order, from ``first_key`` to before ``end_key``, page by page.

        The pages are read one after the other, each as of its own point in time. The result's
        revision is that of the last page.
        """
        return self._read(table, first_key, end_key, limit)

    def _read_page(
        self, table: str, first_key: str, end_key: str | None, limit: int
    ) -> Deferred[ReadOutcome]:
        query = {"Table": table, "part": ""}
        if first_key:
            query["From"] = first_key
        if end_key is not None:
            query["To"] = end_key
        if limit < MAX_PAGE_ROWS:
            query["Limit"] = str(limit)
        sent_s = _read_boot_time_s()

        def record_clock(outcome: ReadOutcome) -> ReadOutcome:
            self._record_clock(outcome, sent_s)
            return outcome

        return self._get("/rows-get", query, wait_s=0.0).addCallback(record_clock)

    def watch(self, table: str, *, after: int, wait_s: float) -> Deferred[ReadOutcome]:
        """Read the changes after a revision, waiting up to ``wait_s`` for the first one."""
        query = {"Table": table, "AfterRevision": str(after), "WaitMs": str(int(wait_s * 1_000))}
        return self._get("/rows-feed", query, wait_s=wait_s)

    def put(self, table: str, key: str, value: bytes) -> Deferred[WriteOutcome]:
        """Write one row unconditionally."""
        return self.transact(Transaction(puts=[build_put(table, key, value)]))

    def remove(self, table: str, keys: Sequence[str]) -> Deferred[WriteOutcome]:
        """Remove rows; rows that do not exist are ignored."""
        return self.transact(Transaction(removals=[RowId(table=table, key=key) for key in keys]))

    def transact(self, transaction: Transaction) -> Deferred[WriteOutcome]:
        """Apply all changes or none; at most ``MAX_TRANSACTION_ROWS`` rows may be involved."""
        body = msgspec.json.encode(transaction)
        sent_s = _read_boot_time_s()

        def interpret(answer: CallOutcome) -> WriteOutcome:
            outcome = _interpret_write(answer)
            self._record_clock(outcome, sent_s)
            return outcome

        answer = self._calls.send(b"POST", "/rows-tx", body=body, headers=JSON_HEADERS)
        return answer.addCallback(interpret)

    def close(self) -> None:
        """Close the idle connections."""
        self._calls.close()

    def _record_clock(self, outcome: ReadOutcome | WriteOutcome, sent_s: float) -> None:
        if isinstance(outcome, RowsRead) and outcome.store_clock_ms > 0:
            self._clock = ClockReading(
                sent_s=sent_s,
                received_s=_read_boot_time_s(),
                store_s=outcome.store_clock_ms / 1_000,
                era=outcome.era,
            )

    def _get(self, path: str, query: dict[str, str], *, wait_s: float) -> Deferred[ReadOutcome]:
        answer = self._calls.send(b"GET", f"{path}?{urlencode(query)}", wait_s=wait_s)
        return answer.addCallback(_interpret_read)


def build_put(table: str, key: str, value: bytes) -> RowPut:
    """Return the part of a transaction that writes a row."""
    return RowPut(table=table, key=key, value_base64=base64.b64encode(value).decode())


def _read_boot_time_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _interpret_read(answer: CallOutcome) -> ReadOutcome:
    match answer:
        case Unavailable() | Unknown():
            return Unavailable(reason=answer.reason)
        case StoreAnswer(status=200):
            read = _decode(answer, RowsRead)
            return Unavailable(reason=read.reason) if isinstance(read, Unknown) else read
        case StoreAnswer(status=410):
            return HistoryLost()
        case StoreAnswer(status=status):
            return Unavailable(reason=f"status {status}")


def _interpret_write(answer: CallOutcome) -> WriteOutcome:
    match answer:
        case Unavailable() | Unknown():
            return answer
        case StoreAnswer(status=200):
            return _decode(answer, RowsRead)
        case StoreAnswer(status=412):
            return _decode(answer, RowConflict)
        case StoreAnswer(status=status):
            return classify_error_status(status)


def _decode(answer: StoreAnswer, result_type: type[_T]) -> _T | Unknown:
    try:
        decoded = msgspec.json.decode(answer.body, type=result_type)
        return msgspec.structs.replace(decoded, era=answer.era)
    except DECODE_ERRORS as error:
        return Unknown(reason=f"the answer cannot be decoded: {error}")
