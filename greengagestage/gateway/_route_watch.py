"""Watching the operator's configuration in the store."""

from collections.abc import Callable
from random import Random
from typing import Any

from eliot import log_message
from returns.result import Success
from twisted.internet.defer import inlineCallbacks

from greengagestage.catalog import RouteTable
from greengagestage.outcomes import Unavailable
from greengagestage.platform import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    HistoryLost,
    RowClient,
    RowsRead,
    StoredRow,
    decode_route_table,
)

from ._loops import RepeatingTask, spread_pause
from ._store_clock import StoreClock, read_boot_time_s

WATCHERS = 2
"""Hosts that watch the configuration, the first by rank; they tell the others. With one, a change
right before its end would be noticed late."""

WATCH_S = 0.9
"""How long a watch waits for a change: with its time-out it ends within the two seconds in which
a change must be in force."""

RELAY_AGE_S = 1.2
RANK_DELAY_S = 0.03
MAX_RANK_DELAY_S = 0.3
"""A host that does not watch asks the store itself when the configuration was last confirmed this
long ago, and later by its rank, so that usually one of them asks and tells the others. A watch and
a lost datagram fit into the first time; all together stay below the two seconds."""

CHANGE_SPREAD_S = 0.05
"""Hosts that hear of a change read it within this time, not all at the same moment."""

EMPTY_ANSWER_PAUSE_S = 0.2
"""Pause after a watch that ended early without a change, so that it cannot spin."""

RETRY_S = 0.15
"""Pause after a failed call or a configuration that cannot be read, spread by half, so that hosts
do not come back at once."""


class RouteWatch:
    """Keeps the newest configuration, which never goes back to an older version."""

    def __init__(
        self,
        *,
        reactor: Any,
        rows: RowClient,
        random: Random,
        on_table: Callable[[RouteTable], None],
        on_confirmed: Callable[[int, float, bool], None],
        read_rank: Callable[[], int],
    ) -> None:
        self._rows = rows
        self._random = random
        self._on_table = on_table
        self._on_confirmed = on_confirmed
        self._read_rank = read_rank
        self._clock = StoreClock()
        self._task = RepeatingTask(reactor=reactor, name="configuration", step=self._step)
        self._revision: int | None = None
        self._adopted_version = -1
        self._adopted_revision = 0
        self._told_revision = 0
        self._heard_revision = 0
        self._confirmed_s: float | None = None
        self._reachable = True

    def start(self) -> None:
        """Begin watching."""
        self._task.start()

    def stop(self) -> None:
        """Stop watching."""
        self._task.stop()

    @property
    def age_s(self) -> float | None:
        """Time since the adopted version was certainly the newest one; None without any."""
        return None if self._confirmed_s is None else read_boot_time_s() - self._confirmed_s

    def hear_confirmed(self, revision: int, store_s: float) -> None:
        """Take in which configuration was the newest at a moment of the store's clock.

        A newer one than this host's is read at once, and until then nothing is confirmed.
        """
        if revision > self._adopted_revision:
            self._heard_revision = max(self._heard_revision, revision)
            self._task.hasten(CHANGE_SPREAD_S * self._random.random())
        elif revision == self._adopted_revision and self._confirmed_s is not None:
            confirmed_s = self._clock.bound_moment(store_s=store_s, now_s=read_boot_time_s())
            self._confirmed_s = max(self._confirmed_s, confirmed_s or 0.0)

    @inlineCallbacks
    def _step(self) -> Any:
        pause_s = self._compute_pause_s()
        if pause_s > 0:
            return pause_s
        sent_s = read_boot_time_s()
        wait_s = WATCH_S if self._read_rank() < WATCHERS else 0.0
        if self._revision is None:
            outcome = yield self._rows.read(OPERATOR_TABLE)
        else:
            outcome = yield self._rows.watch(OPERATOR_TABLE, after=self._revision, wait_s=wait_s)
        match outcome:
            case RowsRead():
                self._note_reachable(True, "")
                self._take(outcome, sent_s)
                if self._revision is None or self._heard_revision:
                    return spread_pause(RETRY_S, self._random)
                early = read_boot_time_s() - sent_s < min(wait_s, EMPTY_ANSWER_PAUSE_S)
                return EMPTY_ANSWER_PAUSE_S if early and not outcome.rows else 0.0
            case HistoryLost():
                log_message(message_type="configuration: history lost", revision=self._revision)
                self._revision = None
                return 0.0
            case Unavailable(reason=reason):
                self._note_reachable(False, reason)
                return spread_pause(RETRY_S, self._random)

    def _compute_pause_s(self) -> float:
        """Return how long this host relies on the others; 0 where it asks the store now."""
        age_s, rank = self.age_s, self._read_rank()
        if age_s is None or self._revision is None or self._heard_revision or rank < WATCHERS:
            return 0.0
        delay_s = min(rank * RANK_DELAY_S, MAX_RANK_DELAY_S)
        return max(RELAY_AGE_S + delay_s - age_s, 0.0)

    def _take(self, rows: RowsRead, sent_s: float) -> None:
        if rows.revision >= self._heard_revision:
            self._heard_revision = 0
        for row in rows.rows:
            if row.key == CONFIGURATION_KEY and not row.removed:
                if not self._adopt(row):
                    self._revision = None
                    return
                self._adopted_revision = row.revision
        self._revision = rows.revision
        self._confirm(rows.store_clock_ms / 1_000, sent_s)

    def _confirm(self, store_s: float, sent_s: float) -> None:
        self._confirmed_s = self._clock.bound_answer(
            sent_s=sent_s, received_s=read_boot_time_s(), store_s=store_s
        )
        if self._adopted_revision:
            changed = self._adopted_revision != self._told_revision
            self._told_revision = self._adopted_revision
            self._on_confirmed(self._adopted_revision, store_s, changed)

    def _adopt(self, row: StoredRow) -> bool:
        """Take over a newer version; return whether the row could be read."""
        match decode_route_table(row.value):
            case Success(table):
                if table.version > self._adopted_version:
                    self._adopted_version = table.version
                    log_message(
                        message_type="configuration: adopted",
                        version=table.version,
                        revision=row.revision,
                        routes=len(table.routes),
                        priorities=table.count_priorities(),
                    )
                    self._on_table(table)
                return True
            case failure:
                log_message(
                    message_type="configuration: unreadable",
                    revision=row.revision,
                    fault=str(failure.failure()),
                )
                return False

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            state = "regained" if reachable else "lost"
            log_message(message_type=f"store: {state}", reason=reason, age_s=self.age_s)
