"""The product's own rows in the platform's store: JSON values under one table."""

from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from greengagestage.http1 import Endpoint
from greengagestage.outcomes import Unavailable, Unknown
from greengagestage.platform import (
    MAX_TRANSACTION_ROWS,
    RowClient,
    RowConflict,
    RowExpectation,
    RowId,
    RowsRead,
    StoredRow,
    Transaction,
    build_put,
)

from ._operations import ABSENT, Check, Delete, Operation, Put, Row
from ._outcomes import Committed, Conflict, TransactOutcome

PRODUCT_TABLE = "greengagestage"


class TableClient:
    """Transactions and reads on the product's table; none is ever repeated by itself."""

    def __init__(self, *, reactor: Any, base_url: str, timeout_s: float) -> None:
        endpoint = Endpoint.from_url(base_url)
        self._rows = RowClient(reactor=reactor, endpoint=endpoint, timeout_s=timeout_s)

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        self._rows.close()
        return succeed(None)

    @inlineCallbacks
    def _transact(self, operations: Sequence[Operation]) -> Any:
        outcome = yield self._rows.transact(build_transaction(operations))
        match outcome:
            case RowsRead(revision=revision):
                return Committed(rows=tuple(_list_written(operations, revision)))
            case RowConflict(rows=rows):
                return judge_conflict(operations, rows)
            case _:
                return outcome

    def transact(self, operations: Sequence[Operation]) -> Deferred[TransactOutcome]:
        """Carry out all operations or none; a row may be named once, and 50 rows in all."""
        return self._transact(operations)

    @inlineCallbacks
    def _read_rows(self, prefix: str, limit: int) -> Any:
        read = yield self._rows.read(
            PRODUCT_TABLE, first_key=prefix, end_key=_find_end(prefix), limit=limit
        )
        if not isinstance(read, RowsRead):
            return _describe_failure(read)
        return tuple(_read_row(row) for row in read.rows)

    def read_rows(self, prefix: str, limit: int) -> Deferred[tuple[Row, ...] | Unavailable]:
        """Read the first rows, by key, whose keys begin with a prefix."""
        return self._read_rows(prefix, limit)

    @inlineCallbacks
    def _read_keys(self, keys: Sequence[str]) -> Any:
        rows: list[Row] = []
        for start in range(0, len(keys), MAX_TRANSACTION_ROWS):
            part = yield self._read_at_once(keys[start : start + MAX_TRANSACTION_ROWS])
            if isinstance(part, Unavailable):
                return part
            rows.extend(part)
        return tuple(rows)

    def read_keys(self, keys: Sequence[str]) -> Deferred[tuple[Row, ...] | Unavailable]:
        """Read rows, each hundred of them at one moment.

        An absent row has the revision ``ABSENT``.
        """
        return self._read_keys(keys)

    @inlineCallbacks
    def _read_row(self, key: str) -> Any:
        page = yield self._rows.read(PRODUCT_TABLE, first_key=key, end_key=key + "\0")
        if not isinstance(page, RowsRead):
            return _describe_failure(page)
        return _pick_rows([key], page.rows)[0]

    def read_row(self, key: str) -> Deferred[Row | Unavailable]:
        """Read one row; an absent one has the revision ``ABSENT``."""
        return self._read_row(key)

    @inlineCallbacks
    def _read_at_once(self, keys: Sequence[str]) -> Any:
        """Read several rows at one moment.

        The store has no such read. A transaction that changes nothing and expects every row to be
        absent either proves that, or is answered with the rows that exist.
        """
        expected = [RowExpectation(table=PRODUCT_TABLE, key=key, revision=ABSENT) for key in keys]
        outcome = yield self._rows.transact(Transaction(expected=expected))
        match outcome:
            case RowsRead():
                return _pick_rows(keys, [])
            case RowConflict(rows=rows):
                return _pick_rows(keys, rows)
            case Unavailable() | Unknown():
                return Unavailable(reason=outcome.reason)


def build_transaction(operations: Sequence[Operation]) -> Transaction:
    """Return what the store is asked for."""
    expected, puts, removals = [], [], []
    for operation in operations:
        if operation.expect is not None:
            expected.append(
                RowExpectation(table=PRODUCT_TABLE, key=operation.key, revision=operation.expect)
            )
        match operation:
            case Put(key=key, value=value):
                puts.append(build_put(PRODUCT_TABLE, key, msgspec.json.encode(value)))
            case Delete(key=key):
                removals.append(RowId(table=PRODUCT_TABLE, key=key))
    return Transaction(expected=expected, puts=puts, removals=removals)


def judge_conflict(
    operations: Sequence[Operation], stored: Sequence[StoredRow]
) -> Conflict | Unknown:
    """Return which expectations failed; an answer that shows none proves nothing."""
    rows = _pick_rows([operation.key for operation in operations], stored)
    failed = tuple(
        place
        for place, (operation, row) in enumerate(zip(operations, rows, strict=True))
        if operation.expect not in (None, row.revision)
    )
    if not failed:
        return Unknown(reason="a conflict without a row that differs")
    return Conflict(failed=failed, rows=rows)


def _list_written(operations: Sequence[Operation], revision: int) -> Iterator[Row]:
    for operation in operations:
        match operation:
            case Put(key=key, value=value):
                encoded = msgspec.Raw(msgspec.json.encode(value))
                yield Row(key=key, revision=revision, value=encoded)
            case Delete(key=key):
                yield Row(key=key, revision=ABSENT)
            case Check(key=key, expect=expect):
                yield Row(key=key, revision=expect)


def _pick_rows(keys: Sequence[str], stored: Sequence[StoredRow]) -> tuple[Row, ...]:
    found = {row.key: row for row in stored if not row.removed}
    return tuple(
        _read_row(found[key]) if key in found else Row(key=key, revision=ABSENT) for key in keys
    )


def _read_row(stored: StoredRow) -> Row:
    return Row(key=stored.key, revision=stored.revision, value=msgspec.Raw(stored.value))


def _find_end(prefix: str) -> str | None:
    """Return the first key behind all keys with a prefix; None where there is no bound."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else None


def _describe_failure(outcome: Any) -> Unavailable:
    if isinstance(outcome, Unavailable):
        return outcome
    return Unavailable(reason=f"a read was answered with {type(outcome).__name__}")
