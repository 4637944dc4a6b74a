"""Groups writes into transactions and defines the outcome of each write."""

from collections import deque
from dataclasses import dataclass
from typing import Any

from greengagestage.services import Conflict, Delete, Put, Row

MAX_GROUP_ROWS = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class Written:
    """The write took effect; ``row`` is the row after it."""

    row: Row


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The write certainly had no effect: the row has another revision."""

    row: Row


@dataclass(frozen=True, slots=True, kw_only=True)
class NotWritten:
    """The write certainly had no effect: the table was unavailable."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Unconfirmed:
    """The write may have taken effect, or may do so later.

    Attributes:
        row: The row read back afterwards, or None where it could not be read.
    """

    row: Row | None


WriteOutcome = Written | Refused | NotWritten | Unconfirmed


@dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class QueuedWrite:
    """A conditional write of one row and the Deferred that receives its outcome."""

    operation: Put | Delete
    done: Any


class WriteQueue:
    """Writes that wait for a transaction, oldest first."""

    def __init__(self) -> None:
        self._writes: deque[QueuedWrite] = deque()

    def __len__(self) -> int:
        return len(self._writes)

    def add(self, write: QueuedWrite) -> None:
        """Append a write."""
        self._writes.append(write)

    def put_back(self, writes: list[QueuedWrite]) -> None:
        """Return writes to the front of the queue."""
        self._writes.extendleft(reversed(writes))

    def take_group(self) -> list[QueuedWrite]:
        """Remove and return the oldest writes of different rows that fit one transaction."""
        group: dict[str, QueuedWrite] = {}
        left: list[QueuedWrite] = []
        while self._writes and len(group) < MAX_GROUP_ROWS:
            write = self._writes.popleft()
            if write.operation.key in group:
                left.append(write)
            else:
                group[write.operation.key] = write
        self.put_back(left)
        return list(group.values())


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupSplit:
    """A refused group, split into the writes that caused the refusal and the others."""

    refused: tuple[tuple[QueuedWrite, Row], ...]
    others: tuple[QueuedWrite, ...]


def split_group(group: list[QueuedWrite], conflict: Conflict) -> GroupSplit:
    """Split a refused group, so that one conflict does not refuse the other writes."""
    failed = set(conflict.failed) & set(range(min(len(group), len(conflict.rows))))
    return GroupSplit(
        refused=tuple((group[index], conflict.rows[index]) for index in sorted(failed)),
        others=tuple(write for index, write in enumerate(group) if index not in failed),
    )


def count_groups(writes: int) -> int:
    """Return the number of transactions needed for a number of writes."""
    return -(-writes // MAX_GROUP_ROWS)
