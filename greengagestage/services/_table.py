"""A client of the router's own table in the platform's row store, which holds JSON values."""

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

ERA_SHIFT = 48
"""Position of the store's era in the revision of a row, above the store's own revision."""


class TableClient:
    """Runs transactions and reads on the router's own table, without automatic retries.

    A store that comes back from an older copy gives out its revisions again. Rows therefore have
    revisions that include the store's era, and a transaction that expects a revision of another
    era is answered here as a conflict, with the current rows.
    """

    def __init__(self, *, reactor: Any, base_url: str, timeout_s: float) -> None:
        endpoint = Endpoint.from_url(base_url)
        self._era = 0  # newest known era of the store; 0 where it does not state one
        self._rows = RowClient(
            reactor=reactor, endpoint=endpoint, timeout_s=timeout_s, on_era=self._observe_era
        )

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        self._rows.close()
        return succeed(None)

    def _observe_era(self, era: int) -> None:
        self._era = max(self._era, era)

    @inlineCallbacks
    def _transact(self, operations: Sequence[Operation]) -> Any:
        planned_in = {_read_era(operation) for operation in operations if operation.expect}
        if planned_in - {self._era}:
            return (yield self._build_era_conflict(operations))
        outcome = yield self._rows.transact(build_transaction(operations))
        match outcome:
            case RowsRead(revision=revision, era=era):
                if planned_in and era is not None and planned_in != {era}:
                    return Unknown(reason="the store came back from an older copy")
                written = _build_written_rows(operations, pack_revision(era, revision))
                return Committed(rows=tuple(written))
            case RowConflict(rows=rows, era=era):
                return interpret_conflict(operations, rows, era)
            case _:
                return outcome

    @inlineCallbacks
    def _build_era_conflict(self, operations: Sequence[Operation]) -> Any:
        """Return the conflict of a transaction planned in another era, which is not sent."""
        rows = yield self._read_atomically([operation.key for operation in operations])
        return rows if isinstance(rows, Unavailable) else _find_conflict(operations, rows)

    def transact(self, operations: Sequence[Operation]) -> Deferred[TransactOutcome]:
        """Apply all operations or none.

        A row may occur in one operation only. The store accepts ``MAX_TRANSACTION_ROWS`` entries:
        a ``Put`` or ``Delete`` with an expected revision takes two, any other operation one. So 50
        operations always fit.
        """
        return self._transact(operations)

    @inlineCallbacks
    def _read_rows(self, prefix: str, limit: int) -> Any:
        read = yield self._rows.read(
            PRODUCT_TABLE, first_key=prefix, end_key=_compute_end_key(prefix), limit=limit
        )
        if not isinstance(read, RowsRead):
            return _convert_failure(read)
        return tuple(_convert_row(row, read.era) for row in read.rows)

    def read_rows(self, prefix: str, limit: int) -> Deferred[tuple[Row, ...] | Unavailable]:
        """Read the rows whose keys begin with a prefix, in key order, at most ``limit`` of them."""
        return self._read_rows(prefix, limit)

    @inlineCallbacks
    def _read_keys(self, keys: Sequence[str]) -> Any:
        rows: list[Row] = []
        for start in range(0, len(keys), MAX_TRANSACTION_ROWS):
            batch = yield self._read_atomically(keys[start : start + MAX_TRANSACTION_ROWS])
            if isinstance(batch, Unavailable):
                return batch
            rows.extend(batch)
        return tuple(rows)

    def read_keys(self, keys: Sequence[str]) -> Deferred[tuple[Row, ...] | Unavailable]:
        """Read rows in batches of ``MAX_TRANSACTION_ROWS``.

        The rows of a batch show the same state of the table; different batches may not. An absent
        row has the revision ``ABSENT``.
        """
        return self._read_keys(keys)

    @inlineCallbacks
    def _read_row(self, key: str) -> Any:
        page = yield self._rows.read(PRODUCT_TABLE, first_key=key, end_key=key + "\0")
        if not isinstance(page, RowsRead):
            return _convert_failure(page)
        return _select_rows([key], page.rows, page.era)[0]

    def read_row(self, key: str) -> Deferred[Row | Unavailable]:
        """Read one row; an absent one has the revision ``ABSENT``."""
        return self._read_row(key)

    @inlineCallbacks
    def _read_atomically(self, keys: Sequence[str]) -> Any:
        """Read several rows in the same state of the table.

        The store has no request for this. A transaction that changes nothing and expects every row
        to be absent either succeeds, which proves that none exists, or fails with the rows that
        exist.
        """
        expected = [RowExpectation(table=PRODUCT_TABLE, key=key, revision=ABSENT) for key in keys]
        outcome = yield self._rows.transact(Transaction(expected=expected))
        match outcome:
            case RowsRead():
                return _select_rows(keys, [], None)
            case RowConflict(rows=rows, era=era):
                return _select_rows(keys, rows, era)
            case Unavailable() | Unknown():
                return Unavailable(reason=outcome.reason)


def build_transaction(operations: Sequence[Operation]) -> Transaction:
    """Return the store's request for a list of operations."""
    expected, puts, removals = [], [], []
    for operation in operations:
        if operation.expect is not None:
            expected.append(
                RowExpectation(
                    table=PRODUCT_TABLE,
                    key=operation.key,
                    revision=operation.expect % (1 << ERA_SHIFT),
                )
            )
        match operation:
            case Put(key=key, value=value):
                puts.append(build_put(PRODUCT_TABLE, key, msgspec.json.encode(value)))
            case Delete(key=key):
                removals.append(RowId(table=PRODUCT_TABLE, key=key))
    return Transaction(expected=expected, puts=puts, removals=removals)


def interpret_conflict(
    operations: Sequence[Operation], stored: Sequence[StoredRow], era: int | None = None
) -> Conflict | Unknown:
    """Return which expected revisions did not match.

    The outcome is ``Unknown`` if every row of the answer has its expected revision.
    """
    rows = _select_rows([operation.key for operation in operations], stored, era)
    return _find_conflict(operations, rows)


def pack_revision(era: int | None, revision: int) -> int:
    """Return a row's revision with the store's era; ``ABSENT`` stays the same in all eras."""
    return revision if revision == ABSENT else ((era or 0) << ERA_SHIFT) + revision


def _read_era(operation: Operation) -> int:
    return (operation.expect or 0) >> ERA_SHIFT


def _find_conflict(operations: Sequence[Operation], rows: tuple[Row, ...]) -> Conflict | Unknown:
    failed = tuple(
        index
        for index, (operation, row) in enumerate(zip(operations, rows, strict=True))
        if operation.expect not in (None, row.revision)
    )
    if not failed:
        return Unknown(
            reason="the store reported a conflict, but every row has its expected revision"
        )
    return Conflict(failed=failed, rows=rows)


def _build_written_rows(operations: Sequence[Operation], revision: int) -> Iterator[Row]:
    for operation in operations:
        match operation:
            case Put(key=key, value=value):
                encoded = msgspec.Raw(msgspec.json.encode(value))
                yield Row(key=key, revision=revision, value=encoded)
            case Delete(key=key):
                yield Row(key=key, revision=ABSENT)
            case Check(key=key, expect=expect):
                yield Row(key=key, revision=expect)


def _select_rows(
    keys: Sequence[str], stored: Sequence[StoredRow], era: int | None
) -> tuple[Row, ...]:
    found = {row.key: row for row in stored if not row.removed}
    return tuple(
        _convert_row(found[key], era) if key in found else Row(key=key, revision=ABSENT)
        for key in keys
    )


def _convert_row(stored: StoredRow, era: int | None) -> Row:
    revision = pack_revision(era, stored.revision)
    return Row(key=stored.key, revision=revision, value=msgspec.Raw(stored.value))


def _compute_end_key(prefix: str) -> str | None:
    """Return the exclusive end of the range of keys with a prefix; None for an empty prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else None


def _convert_failure(outcome: Any) -> Unavailable:
    if isinstance(outcome, Unavailable):
        return outcome
    return Unavailable(reason=f"unexpected outcome of a read: {type(outcome).__name__}")
