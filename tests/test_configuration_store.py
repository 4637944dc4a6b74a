"""Tests how versions are accepted and restored when the platform fails at any step."""

from collections.abc import Sequence
from enum import Enum
from typing import Any

import msgspec
import pytest
from msgspec import Raw
from twisted.internet.defer import Deferred, succeed

from greengagestage.agent import (
    Accepted,
    ConfigurationStore,
    HeadState,
    NotAccepted,
    Proposal,
    Undecided,
    VersionConflict,
)
from greengagestage.configuration import HEAD_KEY, VersionRow
from greengagestage.ids import CommandId, ConfigurationVersion, OperatorName
from greengagestage.outcomes import Unavailable, Unknown
from greengagestage.platform import ObjectMissing, Stored
from greengagestage.services import (
    ABSENT,
    Committed,
    Conflict,
    Put,
    Row,
)

from .builders import build_class, build_declaration


class Fault(Enum):
    NONE = "none"
    DOWN = "down"
    LOST_BEFORE = "lost before the write"
    LOST_AFTER = "lost after the write"
    LATE = "written after the answer was given up"


class Table:
    """An in-memory table. Each transaction is subject to the next fault of a list."""

    def __init__(self, faults: Sequence[Fault] = ()) -> None:
        self.rows: dict[str, Row] = {}
        self.faults = list(faults)
        self.late: list[Put] = []
        self.revision = 0

    def read_row(self, key: str) -> Deferred[Row]:
        return succeed(self.find(key))

    def find(self, key: str) -> Row:
        return self.rows.get(key, Row(key=key, revision=ABSENT))

    def transact(self, operations: list[Put]) -> Deferred[Any]:
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        late, self.late = self.late, []
        if late:
            self.write(late)
        match fault:
            case Fault.DOWN:
                return succeed(Unavailable(reason="down"))
            case Fault.LOST_BEFORE:
                return succeed(Unknown(reason="lost"))
            case Fault.LATE:
                self.late = operations
                return succeed(Unknown(reason="lost"))
            case Fault.LOST_AFTER:
                self.write(operations)
                return succeed(Unknown(reason="lost"))
            case Fault.NONE:
                return succeed(self.write(operations))

    def write(self, operations: list[Put]) -> Committed | Conflict:
        current = [self.find(operation.key) for operation in operations]
        failed = tuple(
            index
            for index, (operation, row) in enumerate(zip(operations, current, strict=True))
            if operation.expect is not None and operation.expect != row.revision
        )
        if failed:
            return Conflict(failed=failed, rows=tuple(current))
        for operation in operations:
            self.revision += 1
            value = Raw(msgspec.json.encode(operation.value))
            self.rows[operation.key] = Row(key=operation.key, revision=self.revision, value=value)
        return Committed(rows=tuple(self.find(operation.key) for operation in operations))


class Objects:
    """An in-memory object store. Each ``put`` returns the given outcome, if there is one."""

    def __init__(self, outcome: Any = None) -> None:
        self.objects: dict[str, bytes] = {}
        self.outcome = outcome

    def put(self, key: str, data: bytes) -> Deferred[Any]:
        self.objects[key] = data
        return succeed(self.outcome or Stored())

    def get(self, key: str) -> Deferred[Any]:
        return succeed(self.objects.get(key, ObjectMissing()))


def build_store(table: Table, objects: Objects | None = None) -> ConfigurationStore:
    return ConfigurationStore(
        table=table,  # type: ignore[arg-type]
        objects=objects or Objects(),  # type: ignore[arg-type]
        pause=lambda seconds: succeed(None),
        seconds=lambda: 0.0,
    )


def build_proposal(command_id: str = "c-1", limit: int = 5) -> Proposal:
    return Proposal(
        declaration=build_declaration(classes=(build_class(queue_limit=limit),)),
        operator=OperatorName("anna"),
        command_id=CommandId(command_id),
        command="set",
    )


def run(coroutine: Any) -> Any:
    results: list[Any] = []
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    return results[0]


def read_head(store: ConfigurationStore) -> HeadState:
    head = run(store.read_head())
    assert isinstance(head, HeadState)
    return head


FAULTS: list[tuple[list[Fault], type, int]] = [
    ([], Accepted, 1),
    ([Fault.DOWN], NotAccepted, 0),
    ([Fault.LOST_AFTER], Accepted, 1),
    ([Fault.LOST_BEFORE], NotAccepted, 0),
    ([Fault.LATE], Accepted, 1),
    ([Fault.LOST_AFTER, Fault.LOST_BEFORE], Accepted, 1),
    ([Fault.LOST_AFTER, Fault.DOWN, Fault.DOWN], Accepted, 1),
    ([Fault.LOST_BEFORE, Fault.LOST_AFTER], NotAccepted, 0),
    ([Fault.LOST_BEFORE, Fault.LATE, Fault.DOWN], NotAccepted, 0),
    ([Fault.LOST_AFTER, *[Fault.DOWN] * 9], Undecided, 1),
    ([Fault.LOST_BEFORE, *[Fault.DOWN] * 9], Undecided, 0),
]


@pytest.mark.parametrize(("faults", "outcome", "version"), FAULTS)
def test_outcome_matches_the_stored_version(
    faults: list[Fault], outcome: type, version: int
) -> None:
    table = Table(faults)
    store = build_store(table)
    assert isinstance(run(store.accept(build_proposal(), read_head(store))), outcome)
    assert read_head(store).version == version


@pytest.mark.parametrize("faults", [case[0] for case in FAULTS])
def test_resent_command_creates_no_second_version(faults: list[Fault]) -> None:
    table = Table(faults)
    store = build_store(table)
    first = run(store.accept(build_proposal(), read_head(store)))
    table.faults.clear()
    second = run(store.accept(build_proposal(), read_head(store)))
    assert read_head(store).version <= 1
    if isinstance(first, Accepted):
        assert second == first


def test_abandoned_command_never_takes_effect_later() -> None:
    table = Table([Fault.LOST_BEFORE])
    store = build_store(table)
    assert isinstance(run(store.accept(build_proposal(), read_head(store))), NotAccepted)
    again = run(store.accept(build_proposal(), read_head(store)))
    assert isinstance(again, NotAccepted)
    assert read_head(store).version == 0


def test_second_operator_gets_a_conflict_that_names_both_versions() -> None:
    store = build_store(Table())
    base = read_head(store)
    run(store.accept(build_proposal("c-1", 5), base))
    second = run(store.accept(build_proposal("c-2", 6), base))
    assert second == VersionConflict(
        based_on=ConfigurationVersion(0), accepted=ConfigurationVersion(1)
    )


@pytest.mark.parametrize("outcome", [Unavailable(reason="down"), Unknown(reason="lost")])
def test_version_is_not_accepted_without_its_document(outcome: Any) -> None:
    store = build_store(Table(), Objects(outcome))
    assert isinstance(run(store.accept(build_proposal(), read_head(store))), NotAccepted)
    assert read_head(store).version == 0


def test_new_version_is_higher_than_the_one_in_force_on_this_host() -> None:
    store = build_store(Table())
    accepted = run(store.accept(build_proposal(), read_head(store), ConfigurationVersion(7)))
    assert isinstance(accepted, Accepted)
    assert accepted.head.version == 8


def test_history_and_head_are_written_together() -> None:
    table = Table()
    store = build_store(table)
    run(store.accept(build_proposal(), read_head(store)))
    rows = [
        table.find(key).decode(VersionRow) for key in (HEAD_KEY, "configuration/history/0000000001")
    ]
    assert rows[0] == rows[1]
    assert (rows[0].operator, rows[0].command) == ("anna", "set")


def test_lost_version_is_restored_but_never_replaces_a_newer_head() -> None:
    table = Table()
    store = build_store(table)
    empty = read_head(store)
    row = VersionRow(
        version=ConfigurationVersion(7),
        digest="d",
        command_id=CommandId("r"),
        operator=OperatorName(""),
        at=0.0,
    )
    assert run(store.restore(row, b"x", empty))
    assert read_head(store).version == 7
    run(store.accept(build_proposal(), read_head(store)))
    assert not run(store.restore(row, b"x", empty))
    assert read_head(store).version == 8
