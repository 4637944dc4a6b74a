"""The client of the platform's rows: reads, watches and transactions, one attempt each."""

import base64
from collections.abc import Sequence
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
from msgspec import Struct, field
from twisted.internet.defer import Deferred, inlineCallbacks

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

MAX_TRANSACTION_ROWS = 100
"""Rows that one transaction may name, expected, written and removed ones together."""

PAGE_ROWS = 500
"""Rows that one read returns at most."""

JSON_HEADERS = [(b"Content-Type", b"application/json")]


class StoredRow(Struct, frozen=True, kw_only=True):
    """A row as the store returned it.

    Attributes:
        revision: Grows with each transaction on any row.
        removed: The row was removed at this revision.
    """

    key: str = field(name="Key")
    encoded: str = field(name="Value", default="")
    revision: int = field(name="SchemaVersion", default=0)
    removed: bool = field(name="Tombstone", default=False)

    @property
    def value(self) -> bytes:
        """The row's bytes; empty where they cannot be decoded."""
        try:
            return base64.b64decode(self.encoded, validate=True)
        except ValueError:
            return b""


class RowsRead(Struct, frozen=True, kw_only=True):
    """Rows as of one moment.

    Attributes:
        revision: The store's newest revision at that moment; a watch goes on from here, and the
            rows that a transaction wrote stand at it.
        store_ms: The store's steady clock at that moment.
        more: Rows were left out; read on after the last key.
    """

    rows: list[StoredRow] = field(name="Rows", default_factory=list)
    revision: int = field(name="SchemaVersion")
    store_clock_ms: float = field(name="NowMs", default=0.0)
    more: bool = field(name="HasMore", default=False)


class HistoryLost(Struct, frozen=True):
    """The watched changes are no longer kept; read the table anew."""


class RowConflict(Struct, frozen=True, kw_only=True):
    """A transaction had no effect, since rows did not stand at the expected revisions.

    Attributes:
        rows: The expected rows that exist, as they stand now.
    """

    rows: list[StoredRow] = field(name="Rows", default_factory=list)


class RowId(Struct, frozen=True, kw_only=True):
    """Names a row; all rows of the system lie in one part."""

    table: str = field(name="Table")
    part: str = ""
    key: str = field(name="Key")


class RowExpectation(RowId, frozen=True, kw_only=True):
    """The revision at which a row must stand, 0 for a row that must not exist."""

    revision: int = field(name="SchemaVersion")


class RowPut(RowId, frozen=True, kw_only=True):
    """A row to write."""

    encoded: str = field(name="Value")


class Transaction(Struct, frozen=True, kw_only=True):
    """Changes that take effect together, or not at all."""

    expected: Sequence[RowExpectation] = field(name="ExpectedRevision", default=())
    puts: Sequence[RowPut] = field(name="Puts", default=())
    removals: Sequence[RowId] = field(name="Remove", default=())


_T = TypeVar("_T")

ReadOutcome = RowsRead | HistoryLost | Unavailable
WriteOutcome = RowsRead | RowConflict | Unavailable | Unknown


class RowClient:
    """Calls to the platform's store. None is repeated by itself."""

    def __init__(
        self, *, reactor: Any, endpoint: Endpoint, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._calls = StoreCalls(reactor=reactor, endpoint=endpoint, timeout_s=timeout_s)

    @property
    def calls(self) -> int:
        """Calls sent so far."""
        return self._calls.sent

    @inlineCallbacks
    def _read(self, table: str, first_key: str, end_key: str | None, limit: int | None) -> Any:
        rows: list[StoredRow] = []
        while True:
            wanted = PAGE_ROWS if limit is None else min(limit - len(rows), PAGE_ROWS)
            page = yield self._read_page(table, first_key, end_key, wanted)
            if not isinstance(page, RowsRead):
                return page
            rows.extend(page.rows)
            if not page.more or not page.rows or len(rows) == limit:
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
        """Read a table's rows by key, in as many pages as it takes, up to ``end_key`` without it.

        The revision is that of the last page.
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
        if limit < PAGE_ROWS:
            query["Limit"] = str(limit)
        return self._get("/rows-get", query, wait_s=0.0)

    def watch(self, table: str, *, after: int, wait_s: float) -> Deferred[ReadOutcome]:
        """Read the changes after a revision, waiting for the first one."""
        query = {"Table": table, "AfterRevision": str(after), "WaitMs": str(int(wait_s * 1_000))}
        return self._get("/rows-feed", query, wait_s=wait_s)

    def put(self, table: str, key: str, value: bytes) -> Deferred[WriteOutcome]:
        """Write one row, whatever it held."""
        return self.transact(Transaction(puts=[build_put(table, key, value)]))

    def remove(self, table: str, keys: Sequence[str]) -> Deferred[WriteOutcome]:
        """Remove rows, whether they exist or not."""
        return self.transact(Transaction(removals=[RowId(table=table, key=key) for key in keys]))

    def transact(self, transaction: Transaction) -> Deferred[WriteOutcome]:
        """Carry out all changes, or none; up to ``TRANSACTION_ROWS`` rows may be named."""
        body = msgspec.json.encode(transaction)
        answered = self._calls.send(b"POST", "/rows-tx", body=body, headers=JSON_HEADERS)
        return answered.addCallback(_judge_write)

    def close(self) -> None:
        """Close the idle connections."""
        self._calls.close()

    def _get(self, path: str, query: dict[str, str], *, wait_s: float) -> Deferred[ReadOutcome]:
        answered = self._calls.send(b"GET", f"{path}?{urlencode(query)}", wait_s=wait_s)
        return answered.addCallback(_judge_read)


def build_put(table: str, key: str, value: bytes) -> RowPut:
    """Return the entry of a transaction that writes a row."""
    return RowPut(table=table, key=key, encoded=base64.b64encode(value).decode())


def _judge_read(answer: CallOutcome) -> ReadOutcome:
    match answer:
        case Unavailable() | Unknown():
            return Unavailable(reason=answer.reason)
        case StoreAnswer(status=200, body=body):
            read = _decode(body, RowsRead)
            return Unavailable(reason=read.reason) if isinstance(read, Unknown) else read
        case StoreAnswer(status=410):
            return HistoryLost()
        case StoreAnswer(status=status):
            return Unavailable(reason=f"status {status}")


def _judge_write(answer: CallOutcome) -> WriteOutcome:
    match answer:
        case Unavailable() | Unknown():
            return answer
        case StoreAnswer(status=200, body=body):
            return _decode(body, RowsRead)
        case StoreAnswer(status=412, body=body):
            return _decode(body, RowConflict)
        case StoreAnswer(status=status):
            return classify_error_status(status)


def _decode(body: bytes, shape: type[_T]) -> _T | Unknown:
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.DecodeError as error:
        return Unknown(reason=f"the answer cannot be decoded: {error}")
