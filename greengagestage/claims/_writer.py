"""Sends conditional writes to the table in groups, within the write budget."""

from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.outcomes import Unavailable, Unknown
from greengagestage.services import Committed, Conflict, Delete, Put, TableClient

from ._budget import WriteBudget
from ._grouping import (
    NotWritten,
    QueuedWrite,
    Refused,
    Unconfirmed,
    WriteOutcome,
    WriteQueue,
    Written,
    count_groups,
    split_group,
)

MAX_GROUPS_IN_FLIGHT = 4
MAX_LINGER_S = 0.06
"""Longest wait for more writes to join a transaction; reached when the budget is spent."""
MAX_QUEUED_WRITES = 4096


class GroupWriter:
    """Groups writes of single rows into transactions.

    The delay before a group is sent grows with the used share of the budget, so a host with few
    writes adds no delay.
    """

    def __init__(self, *, reactor: Any, table: TableClient, budget: WriteBudget) -> None:
        self._reactor = reactor
        self._table = table
        self._budget = budget
        self._queue = WriteQueue()
        self._in_flight = 0
        self._timer: Any = None
        self.transactions = 0

    def has_room(self) -> bool:
        """Whether the budget covers the waiting writes and one more."""
        waiting = len(self._queue) + 1
        available = self._budget.count_available(self._reactor.seconds())
        return waiting <= MAX_QUEUED_WRITES and available >= count_groups(waiting)

    def write(self, operation: Put | Delete) -> Deferred[WriteOutcome]:
        """Write one row, even if the budget is spent.

        The result of a claim (its release, its answer, or that its run is unknown) is always
        sent. Before a new claim or a round of deletions, the caller checks ``has_room``.
        """
        done: Deferred[WriteOutcome] = Deferred()
        self._queue.add(QueuedWrite(operation=operation, done=done))
        self._schedule()
        return done

    def _schedule(self) -> None:
        if self._timer is None and len(self._queue) and self._in_flight < MAX_GROUPS_IN_FLIGHT:
            use = self._budget.compute_used_share(self._reactor.seconds())
            self._timer = self._reactor.callLater(use * MAX_LINGER_S, self._send_group)

    def _send_group(self) -> None:
        self._timer = None
        group = self._queue.take_group()
        if not group:
            return
        self._in_flight += 1
        self.transactions += 1
        self._budget.spend(self._reactor.seconds())
        self._transact(group).addBoth(self._finish_group)
        self._schedule()

    def _finish_group(self, result: Any) -> Any:
        self._in_flight -= 1
        self._schedule()
        return result

    @inlineCallbacks
    def _transact(self, group: list[QueuedWrite]) -> Any:
        outcome = yield self._table.transact([write.operation for write in group])
        match outcome:
            case Committed(rows=rows):
                for write, row in zip(group, rows, strict=True):
                    write.done.callback(Written(row=row))
            case Conflict():
                self._resolve_conflict(group, outcome)
            case Unavailable():
                for write in group:
                    write.done.callback(NotWritten())
            case Unknown():
                yield self._read_back(group)

    def _resolve_conflict(self, group: list[QueuedWrite], conflict: Conflict) -> None:
        split = split_group(group, conflict)
        if not split.refused:
            for write in group:
                write.done.callback(NotWritten())
            return
        self._queue.put_back(list(split.others))
        for write, row in split.refused:
            write.done.callback(Refused(row=row))

    @inlineCallbacks
    def _read_back(self, group: list[QueuedWrite]) -> Any:
        rows = yield self._table.read_keys([write.operation.key for write in group])
        for index, write in enumerate(group):
            row = None if isinstance(rows, Unavailable) else rows[index]
            write.done.callback(Unconfirmed(row=row))
