"""Repeats a change of a claim's row until the table confirms its result."""

from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from greengagestage.outcomes import Unavailable
from greengagestage.services import Put, Row, TableClient

from ._changes import Change, Settled
from ._grouping import Refused, Unconfirmed, Written
from ._writer import GroupWriter

FIRST_DELAY_S = 0.2
MAX_DELAY_S = 10.0


class Settler:
    """Repeats a change of one row until the table confirms it.

    Each write is conditional on the revision that the change was planned from, so
    repeated and late writes cannot overwrite a newer row.
    """

    def __init__(self, *, reactor: Any, table: TableClient, writer: GroupWriter) -> None:
        self._reactor = reactor
        self._table = table
        self._writer = writer
        self._stopped = False
        self.pending = 0

    def stop(self) -> None:
        """End every retry loop at its next failure; rows that are not settled stay as they are."""
        self._stopped = True

    def settle(self, key: str, change: Change, row: Row | None = None) -> Deferred[bool]:
        """Carry out a change; the result is ``Settled.achieved``, or False if ``stop`` ended it.

        Args:
            row: The row if it is known; otherwise it is read first.
        """
        return self._settle(key, change, row)

    @inlineCallbacks
    def _settle(self, key: str, change: Change, row: Row | None) -> Any:
        self.pending += 1
        delay_s = FIRST_DELAY_S
        try:
            while True:
                step = yield self._step(key, change, row)
                if isinstance(step, Settled):
                    return step.achieved
                row = step
                if row is None:
                    if self._stopped:
                        return False
                    log_message(message_type="claims: change waits for the table", key=key)
                    yield deferLater(self._reactor, delay_s)
                    delay_s = min(delay_s * 2, MAX_DELAY_S)
        finally:
            self.pending -= 1

    @inlineCallbacks
    def _step(self, key: str, change: Change, row: Row | None) -> Any:
        """Try the change once.

        Return ``Settled``, the current row if the change must be planned again from it, or None
        if the row is not known.
        """
        if row is None:
            row = yield self._table.read_row(key)
        if isinstance(row, Unavailable):
            return None
        plan = change(row)
        if isinstance(plan, Settled):
            return plan
        return (yield self._write(plan))

    @inlineCallbacks
    def _write(self, operation: Put) -> Any:
        outcome = yield self._writer.write(operation)
        match outcome:
            case Written():
                return Settled(achieved=True)
            case Refused(row=row) | Unconfirmed(row=row):
                return row
            case _:
                return None
