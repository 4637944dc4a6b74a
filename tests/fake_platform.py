"""An in-memory table and object store for tests, which can apply and answer each call manually."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, succeed

from greengagestage.outcomes import Unavailable, Unknown
from greengagestage.platform import ObjectMissing, Stored
from greengagestage.services import (
    ABSENT,
    Committed,
    Conflict,
    Delete,
    Operation,
    Put,
    Row,
)


@dataclass(frozen=True, kw_only=True)
class ReadKey:
    """A read of one row, as an operation of a transaction."""

    key: str
    expect: int | None = None


@dataclass(eq=False)
class Call:
    """A client's call that the table has not answered yet."""

    client: "FakeTableClient"
    operations: tuple[Operation | ReadKey, ...]
    done: Deferred[Any] = field(default_factory=Deferred)
    outcome: Any = None


class FakeTable:
    """The rows and the unanswered calls of all clients.

    Attributes:
        late: Calls whose clients have stopped waiting; they can still be applied.
        automatic: Whether calls are applied and answered at once.
        writes: Number of submitted transactions that write.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.calls: list[Call] = []
        self.late: list[Call] = []
        self.automatic = True
        self.writes = 0
        self._revision = 0

    def get(self, key: str) -> Row:
        return self.rows.get(key, Row(key=key, revision=ABSENT))

    def apply(self, operations: Sequence[Operation | ReadKey]) -> Committed | Conflict:
        """Apply a transaction and return its outcome."""
        rows = tuple(self.get(operation.key) for operation in operations)
        failed = tuple(
            place
            for place, (operation, row) in enumerate(zip(operations, rows, strict=True))
            if getattr(operation, "expect", None) not in (None, row.revision)
        )
        if failed:
            return Conflict(failed=failed, rows=rows)
        for operation in operations:
            self._write(operation)
        return Committed(rows=tuple(self.get(operation.key) for operation in operations))

    def _write(self, operation: Operation | ReadKey) -> None:
        self._revision += 1
        if isinstance(operation, Put):
            value = msgspec.Raw(msgspec.json.encode(operation.value))
            self.rows[operation.key] = Row(key=operation.key, value=value, revision=self._revision)
        elif isinstance(operation, Delete):
            self.rows.pop(operation.key, None)

    def submit(self, call: Call) -> None:
        self.calls.append(call)
        self.writes += any(isinstance(x, Put | Delete) for x in call.operations)
        if self.automatic:
            self.serve(call)

    def serve(self, call: Call) -> None:
        """Apply a call and answer it."""
        self._answer(call, self.apply(call.operations))

    def lose_answer(self, call: Call) -> None:
        """Apply a call, and let its client see an unknown outcome."""
        self.apply(call.operations)
        self._answer(call, Unknown(reason="test"))

    def time_out(self, call: Call) -> None:
        """Let a call time out at its client; it can still be applied later."""
        self.late.append(call)
        self._answer(call, Unknown(reason="test"))

    def refuse(self, call: Call) -> None:
        """Answer that a call had no effect."""
        self._answer(call, Unavailable(reason="test"))

    def apply_late(self, call: Call) -> None:
        """Apply a call whose client has stopped waiting."""
        self.late.remove(call)
        self.apply(call.operations)

    def _answer(self, call: Call, outcome: Any) -> None:
        self.calls.remove(call)
        if call.client.alive:
            call.done.callback(outcome)


class FakeTableClient:
    """A fake ``TableClient``; when not alive, it sends no calls and receives no answers."""

    def __init__(self, table: FakeTable) -> None:
        self.table = table
        self.alive = True

    def transact(self, operations: Sequence[Operation | ReadKey]) -> Deferred[Any]:
        call = Call(client=self, operations=tuple(operations))
        if self.alive:
            self.table.submit(call)
        return call.done

    def read_keys(self, keys: Sequence[str]) -> Deferred[Any]:
        def unwrap_rows(outcome: Any) -> Any:
            rows = isinstance(outcome, Committed)
            return outcome.rows if rows else Unavailable(reason="test")

        return self.transact([ReadKey(key=key) for key in keys]).addCallback(unwrap_rows)

    def read_row(self, key: str) -> Deferred[Any]:
        def take_first(rows: Any) -> Any:
            return rows if isinstance(rows, Unavailable) else rows[0]

        return self.read_keys([key]).addCallback(take_first)

    def read_rows(self, prefix: str, limit: int) -> Deferred[Any]:
        keys = sorted(key for key in self.table.rows if key.startswith(prefix))
        return succeed(tuple(self.table.rows[key] for key in keys[:limit]))


class FakeObjects:
    """A fake ``ObjectClient``; while ``fault`` is set, it supplies all answers."""

    def __init__(self) -> None:
        self.data: dict[str, bytes] = {}
        self.fault: Callable[[], Any] | None = None

    def put(self, key: str, data: bytes, only_if_absent: bool = False) -> Deferred[Any]:
        if self.fault:
            return succeed(self.fault())
        self.data[key] = data
        return succeed(Stored())

    def get(self, key: str) -> Deferred[Any]:
        if self.fault:
            return succeed(self.fault())
        return succeed(self.data.get(key, ObjectMissing()))
