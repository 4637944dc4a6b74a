"""The rows and objects of the operators' store, in memory, as its published protocol says."""

import base64
from collections.abc import Iterable, Mapping
from copy import deepcopy
from dataclasses import dataclass, field
from typing import Any

import msgspec
from msgspec import Struct
from sortedcontainers import SortedDict

PAGE_ROWS = 500
MAX_TRANSACTION_ROWS = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreReply:
    """Status and JSON body of an answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """A row, or the mark of one that was removed."""

    table: str
    key: str
    value: bytes
    revision: int
    removed: bool = False

    def encode(self) -> dict[str, Any]:
        """Return the row as the protocol spells it."""
        row: dict[str, Any] = {
            "Table": self.table,
            "part": "",
            "Key": self.key,
            "Value": base64.b64encode(self.value).decode(),
            "SchemaVersion": self.revision,
        }
        if self.removed:
            row["Tombstone"] = True
        return row


class _NamedRow(Struct, frozen=True, kw_only=True):
    table: str = msgspec.field(name="Table")
    part: str = ""
    key: str = msgspec.field(name="Key")
    revision: int = msgspec.field(name="SchemaVersion", default=0)
    value: str = msgspec.field(name="Value", default="")


class _Transaction(Struct, frozen=True, kw_only=True):
    expected: tuple[_NamedRow, ...] = msgspec.field(name="ExpectedRevision", default=())
    puts: tuple[_NamedRow, ...] = msgspec.field(name="Puts", default=())
    removals: tuple[_NamedRow, ...] = msgspec.field(name="Remove", default=())

    @property
    def is_read(self) -> bool:
        return not self.puts and not self.removals


@dataclass(slots=True, kw_only=True)
class RowTables:
    """Tables whose rows share one counter of revisions, and objects.

    Attributes:
        now_ms: The store's clock, shown in answers.
    """

    revision: int = 0
    now_ms: int = 0
    objects: dict[str, bytes] = field(default_factory=dict)
    _rows: SortedDict = field(default_factory=SortedDict)

    def copy(self) -> "RowTables":
        """Return the state as it is now, for stale reads."""
        return deepcopy(self)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write one row in a transaction of its own."""
        self.revision += 1
        self._write(table, key, value)

    def remove(self, table: str, key: str) -> None:
        """Remove one row in a transaction of its own."""
        self.revision += 1
        self._drop(table, key)

    def list_rows(self, table: str) -> list[StoredRow]:
        """Return a table's rows by key."""
        return [row for row in self._rows.values() if row.table == table and not row.removed]

    def list_changes(self, table: str, after: int) -> list[StoredRow]:
        """Return the rows that changed after a revision, in that order."""
        rows = [r for r in self._rows.values() if r.table == table and r.revision > after]
        return sorted(rows, key=lambda row: row.revision)

    def read(self, arguments: Mapping[str, str]) -> StoreReply:
        """Answer a read of a range of keys."""
        first, end = arguments.get("From", ""), arguments.get("To")
        limit = min(int(arguments.get("Limit", PAGE_ROWS)), PAGE_ROWS)
        found = [
            row
            for row in self.list_rows(arguments["Table"])
            if row.key >= first and (end is None or row.key < end)
        ]
        return self.show(found[:limit], more=len(found) > limit)

    def transact(self, body: bytes) -> StoreReply:
        """Carry out all entries of a transaction, or none."""
        transaction = msgspec.json.decode(body, type=_Transaction)
        named = (*transaction.expected, *transaction.puts, *transaction.removals)
        if len(named) > MAX_TRANSACTION_ROWS:
            return StoreReply(status=400, body=b"{}")
        if any(self._read_revision(row) != row.revision for row in transaction.expected):
            found = (self._rows.get((row.table, row.key)) for row in transaction.expected)
            return self.show([r for r in found if r is not None and not r.removed], status=412)
        self.revision += 1
        for put in transaction.puts:
            self._write(put.table, put.key, base64.b64decode(put.value))
        for removal in transaction.removals:
            self._drop(removal.table, removal.key)
        return self.show([])

    def show(
        self, rows: Iterable[StoredRow], *, more: bool = False, status: int = 200
    ) -> StoreReply:
        """Return an answer with some rows."""
        body = {
            "Rows": [row.encode() for row in rows],
            "HasMore": more,
            "SchemaVersion": self.revision,
            "NowMs": self.now_ms,
        }
        return StoreReply(status=status, body=msgspec.json.encode(body))

    def _read_revision(self, named: _NamedRow) -> int:
        row = self._rows.get((named.table, named.key))
        return 0 if row is None or row.removed else int(row.revision)

    def _write(self, table: str, key: str, value: bytes) -> None:
        self._rows[table, key] = StoredRow(
            table=table, key=key, value=value, revision=self.revision
        )

    def _drop(self, table: str, key: str) -> None:
        row = self._rows.get((table, key))
        if row is not None and not row.removed:
            self._rows[table, key] = StoredRow(
                table=table, key=key, value=b"", revision=self.revision, removed=True
            )


def changes_rows(body: bytes) -> bool:
    """Return whether a transaction writes or removes anything."""
    return not msgspec.json.decode(body, type=_Transaction).is_read
