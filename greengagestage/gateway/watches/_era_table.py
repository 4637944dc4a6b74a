"""The store's record of when its current era was first known, for hosts that start.

A host that runs sees an era begin. A host that starts does not: the store may have come back from
an older copy just before, and may lack what is in force until its writers have repeated that.
"""

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
from eliot import log_message
from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from greengagestage.decoding import Integer, convert_json
from greengagestage.platform import (
    RowClient,
    RowConflict,
    RowExpectation,
    RowsRead,
    Transaction,
    build_put,
)

from .._loops import RepeatingTask, add_jitter
from ._store_clock import read_boot_time_s
from ._store_era import StoreEra

ERA_TABLE = "greengagestage-eras"
CURRENT_KEY = "current"

WRITE_SPREAD_S = 2.0
"""Time over which the hosts spread their reads in a new era; the first one writes the row."""

RETRY_S = 0.3
"""Pause after a failed call, with a jitter of 50%."""

IDLE_S = 60.0
"""Pause once the row is known; a new era ends it."""


class EraRow(Struct, frozen=True, kw_only=True):
    """The row.

    Attributes:
        era: The store's era in which the row was written. In another one it proves nothing.
        known_ms: A time on the store's clock at which the era had begun.
    """

    era: Integer
    known_ms: Integer


class EraTable:
    """Finds how long the current era has lasted at least, and records it for later hosts.

    Args:
        on_known: Handles a boot time in seconds at which the current era had begun.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        rows: RowClient,
        era: StoreEra,
        random: Random,
        on_known: Callable[[float], None],
    ) -> None:
        self._rows = rows
        self._era = era
        self._random = random
        self._on_known = on_known
        self._task = RepeatingTask(reactor=reactor, name="era", step=self._step)
        self._is_known = False
        era.add_listener(self._begin_era)

    def start(self) -> None:
        """Read the row, and write it where it is missing."""
        self._task.start()

    def stop(self) -> None:
        """Stop reading and writing."""
        self._task.stop()

    def _begin_era(self) -> None:
        self._is_known = False
        self._task.run_within(WRITE_SPREAD_S * self._random.random())

    @inlineCallbacks
    def _step(self) -> Any:
        if self._is_known:
            return IDLE_S
        read = yield self._rows.read(ERA_TABLE)
        if not isinstance(read, RowsRead) or not self._era.is_current(read.era):
            return add_jitter(RETRY_S, self._random)
        if read.era is None:
            self._is_known = True  # this store never comes back from an older copy
            self._on_known(0.0)
            return IDLE_S
        row = next((each for each in read.rows if each.key == CURRENT_KEY), None)
        known_ms = None if row is None else decode_known_ms(row.value, era=read.era)
        if known_ms is None:
            self._is_known = yield self._write(0 if row is None else row.revision, read)
        else:
            self._is_known = True
            age_s = (read.store_clock_ms - known_ms) / 1_000
            log_message(message_type="era: known", era=read.era, age_s=round(age_s, 1))
            self._on_known(read_boot_time_s() - age_s)
        return IDLE_S if self._is_known else add_jitter(RETRY_S, self._random)

    @inlineCallbacks
    def _write(self, revision: int, read: RowsRead) -> Any:
        """Record that the era had begun at the read; return whether a row is there."""
        value = msgspec.json.encode(EraRow(era=read.era or 0, known_ms=round(read.store_clock_ms)))
        outcome = yield self._rows.transact(
            Transaction(
                expected=[RowExpectation(table=ERA_TABLE, key=CURRENT_KEY, revision=revision)],
                puts=[build_put(ERA_TABLE, CURRENT_KEY, value)],
            )
        )
        is_written = isinstance(outcome, RowsRead | RowConflict)
        return is_written and self._era.is_current(outcome.era)


def decode_known_ms(value: bytes, *, era: int) -> int | None:
    """Return the time in a row; None if it is unreadable or of another era."""

    def read_time(row: EraRow) -> int | None:
        return row.known_ms if row.era == era else None

    return convert_json(value, EraRow, read_time).value_or(None)
