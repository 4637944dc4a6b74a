"""In-memory rows and objects of the operators' store, which follow its published protocol."""

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
    """The status and the JSON body of an answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """A row, or the tombstone of a removed row."""

    table: str
    key: str
    value: bytes
    revision: int
    removed: bool = False

    def encode(self) -> dict[str, Any]:
        """Return the row with the field names of the protocol."""
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


class _RowEntry(Struct, frozen=True, kw_only=True):
    table: str = msgspec.field(name="Table")
    part: str = ""
    key: str = msgspec.field(name="Key")
    revision: int = msgspec.field(name="SchemaVersion", default=0)
    value: str = msgspec.field(name="Value", default="")


class _Transaction(Struct, frozen=True, kw_only=True):
    expected: tuple[_RowEntry, ...] = msgspec.field(name="ExpectedRevision", default=())
    puts: tuple[_RowEntry, ...] = msgspec.field(name="Puts", default=())
    removals: tuple[_RowEntry, ...] = msgspec.field(name="Remove", default=())

    @property
    def is_read_only(self) -> bool:
        return not self.puts and not self.removals


@dataclass(slots=True, kw_only=True)
class RowTables:
    """Tables whose rows share one revision counter, and objects.

    Attributes:
        era: Grows by one each time the tables come back from an older copy. Revisions that the
            copy does not have are given out again.
        now_ms: The store's clock, included in answers.
    """

    era: int = 1
    revision: int = 0
    now_ms: int = 0
    objects: dict[str, bytes] = field(default_factory=dict)
    _rows: SortedDict = field(default_factory=SortedDict)

    def copy(self) -> "RowTables":
        """Return a snapshot of the current state, for stale reads or to come back from."""
        return deepcopy(self)

    def restore(self, copy: "RowTables") -> None:
        """Begin a new era with the content of an older copy; what was written since is lost."""
        self.era += 1
        self.revision = copy.revision
        self.objects = dict(copy.objects)
        self._rows = copy._rows.copy()

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write one row in a separate transaction."""
        self.revision += 1
        self._write(table, key, value)

    def remove(self, table: str, key: str) -> None:
        """Remove one row in a separate transaction."""
        self.revision += 1
        self._mark_removed(table, key)

    def list_rows(self, table: str) -> list[StoredRow]:
        """Return the rows of a table in the order of their keys."""
        return [row for row in self._rows.values() if row.table == table and not row.removed]

    def list_changes(self, table: str, after: int) -> list[StoredRow]:
        """Return the rows and tombstones written after a revision, in the order of revisions."""
        rows = [r for r in self._rows.values() if r.table == table and r.revision > after]
        return sorted(rows, key=lambda row: row.revision)

    def read(self, arguments: Mapping[str, str]) -> StoreReply:
        """Answer a read of a range of keys with one page of rows."""
        first, end = arguments.get("From", ""), arguments.get("To")
        limit = min(int(arguments.get("Limit", PAGE_ROWS)), PAGE_ROWS)
        found = [
            row
            for row in self.list_rows(arguments["Table"])
            if row.key >= first and (end is None or row.key < end)
        ]
        return self.build_reply(found[:limit], more=len(found) > limit)

    def transact(self, body: bytes) -> StoreReply:
        """Apply a transaction atomically; answer 412 with current rows if a revision differs."""
        transaction = msgspec.json.decode(body, type=_Transaction)
        entries = (*transaction.expected, *transaction.puts, *transaction.removals)
        if len(entries) > MAX_TRANSACTION_ROWS:
            return StoreReply(status=400, body=b"{}")
        if any(self._read_revision(row) != row.revision for row in transaction.expected):
            found = (self._rows.get((row.table, row.key)) for row in transaction.expected)
            return self.build_reply(
                [r for r in found if r is not None and not r.removed], status=412
            )
        self.revision += 1
        for put in transaction.puts:
            self._write(put.table, put.key, base64.b64decode(put.value))
        for removal in transaction.removals:
            self._mark_removed(removal.table, removal.key)
        return self.build_reply([])

    def build_reply(
        self, rows: Iterable[StoredRow], *, more: bool = False, status: int = 200
    ) -> StoreReply:
        """Return an answer that contains the given rows."""
        body = {
            "Rows": [row.encode() for row in rows],
            "HasMore": more,
            "SchemaVersion": self.revision,
            "NowMs": self.now_ms,
        }
        return StoreReply(status=status, body=msgspec.json.encode(body))

    def _read_revision(self, entry: _RowEntry) -> int:
        row = self._rows.get((entry.table, entry.key))
        return 0 if row is None or row.removed else int(row.revision)

    def _write(self, table: str, key: str, value: bytes) -> None:
        self._rows[table, key] = StoredRow(
            table=table, key=key, value=value, revision=self.revision
        )

    def _mark_removed(self, table: str, key: str) -> None:
        row = self._rows.get((table, key))
        if row is not None and not row.removed:
            self._rows[table, key] = StoredRow(
                table=table, key=key, value=b"", revision=self.revision, removed=True
            )


def changes_rows(body: bytes) -> bool:
    """Return whether a transaction writes or removes anything."""
    return not msgspec.json.decode(body, type=_Transaction).is_read_only
