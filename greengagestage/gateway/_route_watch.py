"""Watch of the operator's configuration in the store."""

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

from ._loops import RepeatingTask, add_jitter
from ._store_clock import StoreClock, read_boot_time_s

WATCHING_HOSTS = 2
"""Number of hosts that watch the configuration, the first by rank; they report to the others. With
a single watching host, a change just before that host stops would be noticed late."""

WATCH_WAIT_S = 0.9
"""How long a watch waits for a change. Including its timeout it ends within the two seconds in
which a change must take effect."""

MAX_RELAYED_AGE_S = 1.2
RANK_DELAY_S = 0.03
MAX_RANK_DELAY_S = 0.3
"""A host that does not watch reads the store itself once the last confirmation is this old, plus a
delay that grows with its rank, so that usually one host reads and reports to the others. The age
leaves time for one watch and one lost datagram. The age and the largest delay stay below the two
seconds in which a change must take effect."""

MAX_CHANGE_JITTER_S = 0.05
"""Hosts that are told of a change read it after a random delay up to this, so that they do not all
read at once."""

EMPTY_ANSWER_PAUSE_S = 0.2
"""Pause after a watch that ended early without a change, to avoid a busy loop."""

RETRY_S = 0.15
"""Pause after a failed call or an unreadable configuration, with a jitter of 50%, so that hosts do
not all retry at once."""


class RouteWatch:
    """Adopts the newest configuration, and never an older version than the adopted one.

    The configuration is one row of the operators' table. The store counts revisions over its whole
    content: the table is known up to one revision, and the configuration's row has the revision at
    which it was last written.

    Args:
        on_table: Handles an adopted configuration.
        on_confirmed: Handles the revision of the newest configuration, the seconds of the store's
            clock at which it was the newest, and whether the revision was not reported before.
        get_rank: Returns this host's position among all hosts.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        rows: RowClient,
        random: Random,
        on_table: Callable[[RouteTable], None],
        on_confirmed: Callable[[int, float, bool], None],
        get_rank: Callable[[], int],
    ) -> None:
        self._rows = rows
        self._random = random
        self._on_table = on_table
        self._on_confirmed = on_confirmed
        self._get_rank = get_rank
        self._clock = StoreClock()
        self._task = RepeatingTask(reactor=reactor, name="configuration", step=self._step)
        self._table_revision: int | None = None  # None: the whole table has to be read
        self._adopted_version = -1
        # Revisions of the configuration's row, or 0: of the last one that could be decoded, even if
        # its version was not newer; of the last reported one; of an unread one known from a peer.
        self._row_revision = 0
        self._reported_row_revision = 0
        self._pending_row_revision = 0
        self._confirmed_s: float | None = None
        self._reachable = True

    def start(self) -> None:
        """Start watching."""
        self._task.start()

    def stop(self) -> None:
        """Stop watching."""
        self._task.stop()

    @property
    def age_s(self) -> float | None:
        """Seconds since the adopted version was known to be the newest; None if none was read."""
        return None if self._confirmed_s is None else read_boot_time_s() - self._confirmed_s

    def receive_confirmation(self, revision: int, store_s: float) -> None:
        """Handle a peer's report of the newest revision at a time on the store's clock.

        A newer revision than this host's triggers a read at once, and confirms nothing until then.
        """
        if revision > self._row_revision:
            self._pending_row_revision = max(self._pending_row_revision, revision)
            self._task.run_within(MAX_CHANGE_JITTER_S * self._random.random())
        elif revision == self._row_revision and self._confirmed_s is not None:
            confirmed_s = self._clock.convert_store_time(store_s=store_s, now_s=read_boot_time_s())
            self._confirmed_s = max(self._confirmed_s, confirmed_s or 0.0)

    @inlineCallbacks
    def _step(self) -> Any:
        pause_s = self._compute_pause_s()
        if pause_s > 0:
            return pause_s
        sent_s = read_boot_time_s()
        wait_s = WATCH_WAIT_S if self._get_rank() < WATCHING_HOSTS else 0.0
        if self._table_revision is None:
            outcome = yield self._rows.read(OPERATOR_TABLE)
        else:
            outcome = yield self._rows.watch(
                OPERATOR_TABLE, after=self._table_revision, wait_s=wait_s
            )
        match outcome:
            case RowsRead():
                self._set_reachable(True, "")
                self._process_read(outcome, sent_s)
                if self._table_revision is None or self._pending_row_revision:
                    return add_jitter(RETRY_S, self._random)
                early = read_boot_time_s() - sent_s < min(wait_s, EMPTY_ANSWER_PAUSE_S)
                return EMPTY_ANSWER_PAUSE_S if early and not outcome.rows else 0.0
            case HistoryLost():
                log_message(
                    message_type="configuration: history lost", revision=self._table_revision
                )
                self._table_revision = None
                return 0.0
            case Unavailable(reason=reason):
                self._set_reachable(False, reason)
                return add_jitter(RETRY_S, self._random)

    def _compute_pause_s(self) -> float:
        """Return how long to rely on the reports of other hosts; 0 to read the store now."""
        age_s, rank = self.age_s, self._get_rank()
        if (
            age_s is None
            or self._table_revision is None
            or self._pending_row_revision
            or rank < WATCHING_HOSTS
        ):
            return 0.0
        delay_s = min(rank * RANK_DELAY_S, MAX_RANK_DELAY_S)
        return max(MAX_RELAYED_AGE_S + delay_s - age_s, 0.0)

    def _process_read(self, rows: RowsRead, sent_s: float) -> None:
        if rows.revision >= self._pending_row_revision:
            self._pending_row_revision = 0
        for row in rows.rows:
            if row.key == CONFIGURATION_KEY and not row.removed:
                if not self._adopt(row):
                    self._table_revision = None
                    return
                self._row_revision = row.revision
        self._table_revision = rows.revision
        self._record_confirmation(rows.store_clock_ms / 1_000, sent_s)

    def _record_confirmation(self, store_s: float, sent_s: float) -> None:
        self._confirmed_s = self._clock.record_answer_time(
            sent_s=sent_s, received_s=read_boot_time_s(), store_s=store_s
        )
        if self._row_revision:
            changed = self._row_revision != self._reported_row_revision
            self._reported_row_revision = self._row_revision
            self._on_confirmed(self._row_revision, store_s, changed)

    def _adopt(self, row: StoredRow) -> bool:
        """Adopt the row's version if it is newer; return whether the row could be decoded."""
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

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            state = "regained" if reachable else "lost"
            log_message(message_type=f"store: {state}", reason=reason, age_s=self.age_s)
