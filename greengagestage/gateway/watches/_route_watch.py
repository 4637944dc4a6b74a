"""Watch of the operator's configuration in the store."""

from collections.abc import Callable
from random import Random
from typing import Any

import xxhash
from eliot import log_message
from returns.result import Success
from twisted.internet.defer import inlineCallbacks

from greengagestage.catalog import RouteTable
from greengagestage.evidence import CopyEvidence
from greengagestage.ids import ConfigurationVersion
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

from .._loops import RepeatingTask, add_jitter
from ..peers import ConfigurationReport
from ._store_clock import StoreClock, read_boot_time_s
from ._store_era import StoreEra
from ._store_retries import StoreRetries

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
"""Pause after an unreadable configuration and after the first failed call, with a jitter of 50%, so
that hosts do not all retry at once."""


class RouteWatch:
    """Adopts the newest configuration, and never an older version than the adopted one.

    The configuration is one row of the operators' table. The store counts revisions over its whole
    content: the table is known up to one revision, and the configuration's row has the revision at
    which it was last written.

    Revisions are the store's, and given out again in a new era. The version inside the document is
    the operator's, and keeps its order in all eras: what the store has lost, the operator writes
    again under the same version. Until then the store shows an older version, which is neither
    adopted nor taken as proof that the adopted one is the newest. The same holds at the beginning
    of an era whatever the store shows, since it may have lost a version that this host never saw,
    and at the start of a host until it knows how long the era has lasted.
    Only where the store shows the adopted version with another content, first in a new era, the
    operator has used its number again and the content is adopted.

    Args:
        on_table: Handles an adopted configuration.
        on_report: Handles a report of what the store shows, to be sent to the other hosts, and
            whether its revision was not reported before.
        get_rank: Returns this host's position among all hosts.
        first_start: Whether the whole system starts, so that the store has lost nothing before.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        rows: RowClient,
        era: StoreEra,
        random: Random,
        on_table: Callable[[RouteTable], None],
        on_report: Callable[[ConfigurationReport, bool], None],
        get_rank: Callable[[], int],
        first_start: bool = False,
    ) -> None:
        self._first_start = first_start
        self._rows = rows
        self._era = era
        self._random = random
        self._on_table = on_table
        self._on_report = on_report
        self._get_rank = get_rank
        self._retries = StoreRetries(first_s=RETRY_S, random=random)
        self._clock = StoreClock()
        self._task = RepeatingTask(reactor=reactor, name="configuration", step=self._step)
        self._table_revision: int | None = None  # None: the whole table has to be read
        self._adopted_version = -1
        self._adopted_digest = 0
        self._adopted_in_era = True  # False from a new era on, until the store shows the version
        self._known_version = -1  # newest version of this host and its peers
        self._row_version = -1  # version that the store shows; -1 for none in this era
        # Revisions of the configuration's row, or 0: of the last one that could be decoded, even if
        # its version was not newer; of the last reported one; of an unread one known from a peer.
        self._row_revision = 0
        self._reported_row_revision = 0
        self._pending_row_revision = 0
        self._observed_s: float | None = None  # when the store last showed the known row
        self._confirmed_s: float | None = None  # when the adopted version was last the newest
        self._read_s: float | None = None  # when this host itself last read the known row
        self._evidence = CopyEvidence()
        self._reachable = True
        self._history_lost = False  # the last watch was refused for lack of history
        era.add_listener(self._begin_era)

    def start(self) -> None:
        """Start watching."""
        if not self._first_start:
            self._evidence.await_rewrites(read_boot_time_s())
        self._task.start()

    def stop(self) -> None:
        """Stop watching."""
        self._task.stop()

    @property
    def age_s(self) -> float | None:
        """Seconds since the adopted version was known to be the newest; None if none was read."""
        return None if self._confirmed_s is None else read_boot_time_s() - self._confirmed_s

    @property
    def observed_age_s(self) -> float | None:
        """Seconds since the store is known to have been read, whatever it showed."""
        return None if self._observed_s is None else read_boot_time_s() - self._observed_s

    def receive_report(self, report: ConfigurationReport) -> None:
        """Handle a peer's report of what the store showed at a time on the store's clock.

        A newer revision than this host's triggers a read at once, and confirms nothing until then.
        """
        self._known_version = max(self._known_version, report.version)
        self._era.observe(report.era)
        if not self._era.is_current(report.era):
            return
        if report.revision > self._row_revision:
            self._pending_row_revision = max(self._pending_row_revision, report.revision)
            self._task.run_within(MAX_CHANGE_JITTER_S * self._random.random())
        elif report.revision == self._row_revision and self._observed_s is not None:
            seen_s = self._clock.convert_store_time(
                store_s=report.store_s, now_s=read_boot_time_s()
            )
            self._record_observation(seen_s or 0.0, confirms=report.confirms)

    def learn_era(self, known_s: float) -> None:
        """Record that the store's current era had begun at a boot time, in seconds."""
        self._evidence.record_era(known_s)
        if self._read_s is not None:
            self._record_observation(self._read_s, confirms=True)

    def _begin_era(self) -> None:
        """Forget what the store's revisions and clock meant, and read the whole table again."""
        self._clock = StoreClock()
        self._table_revision = None
        self._row_version = -1
        self._row_revision = self._reported_row_revision = self._pending_row_revision = 0
        self._adopted_in_era = False
        self._read_s = None
        self._evidence.await_rewrites(read_boot_time_s())
        self._task.run_within(MAX_CHANGE_JITTER_S * self._random.random())

    @inlineCallbacks
    def _step(self) -> Any:
        pause_s = self._compute_pause_s()
        if pause_s > 0:
            return pause_s
        sent_s = read_boot_time_s()
        # The first answer after an outage is not delayed: it may tell of a new era.
        waits = self._get_rank() < WATCHING_HOSTS and self._reachable
        wait_s = WATCH_WAIT_S if waits else 0.0
        watched_revision = self._table_revision
        if watched_revision is None:
            outcome = yield self._rows.read(OPERATOR_TABLE)
        else:
            outcome = yield self._rows.watch(OPERATOR_TABLE, after=watched_revision, wait_s=wait_s)
        match outcome:
            case RowsRead(era=era) if not self._era.is_current(era):
                return add_jitter(RETRY_S, self._random)
            case RowsRead() if watched_revision != self._table_revision:
                return 0.0  # a new era began meanwhile: these are only a part of its changes
            case RowsRead():
                self._set_reachable(True, "")
                self._retries.record_success()
                self._history_lost = self._history_lost and watched_revision is None
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
                lost_again, self._history_lost = self._history_lost, True
                return add_jitter(RETRY_S, self._random) if lost_again else 0.0
            case Unavailable(reason=reason):
                self._set_reachable(False, reason)
                self._evidence.record_failure(read_boot_time_s())
                return self._retries.record_failure(
                    rank=self._get_rank(), age_s=self.observed_age_s
                )

    def _compute_pause_s(self) -> float:
        """Return how long to rely on the reports of other hosts; 0 to read the store now."""
        rank = self._get_rank()
        if (
            self._observed_s is None
            or self._table_revision is None
            or self._pending_row_revision
            or rank < WATCHING_HOSTS
        ):
            return 0.0
        age_s = read_boot_time_s() - self._observed_s
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
        store_s = rows.store_clock_ms / 1_000
        seen_s = self._clock.record_answer_time(
            sent_s=sent_s, received_s=read_boot_time_s(), store_s=store_s
        )
        self._read_s = seen_s
        self._report(store_s, confirms=self._record_observation(seen_s, confirms=True))

    def _record_observation(self, seen_s: float, *, confirms: bool) -> bool:
        """Record when the store showed the known row; return whether that confirms its version.

        Args:
            confirms: Whether it does as far as the host knows that read the row.
        """
        self._observed_s = max(self._observed_s or 0.0, seen_s)
        is_newest = self._row_version >= self._known_version
        if not confirms or not is_newest or not self._evidence.is_complete(seen_s):
            return False
        self._confirmed_s = max(self._confirmed_s or 0.0, seen_s)
        return True

    def _report(self, store_s: float, *, confirms: bool) -> None:
        if not self._row_revision:
            return
        changed = self._row_revision != self._reported_row_revision
        self._reported_row_revision = self._row_revision
        self._on_report(
            ConfigurationReport(
                self._row_revision, store_s, self._era.number, self._known_version, confirms
            ),
            changed,
        )

    def _adopt(self, row: StoredRow) -> bool:
        """Adopt the row's version if it is newer; return whether the row could be decoded."""
        match decode_route_table(row.value):
            case Success(table):
                self._row_version = table.version
                digest = xxhash.xxh64_intdigest(row.value)
                if self._is_newer(table.version, digest):
                    self._adopted_version = table.version
                    self._adopted_digest = digest
                    self._known_version = max(self._known_version, table.version)
                    log_message(
                        message_type="configuration: adopted",
                        version=table.version,
                        revision=row.revision,
                        routes=len(table.routes),
                        priorities=table.count_priorities(),
                    )
                    self._on_table(table)
                if table.version == self._adopted_version:
                    self._adopted_in_era = True
                else:
                    self._log_older_version(table.version)
                return True
            case failure:
                log_message(
                    message_type="configuration: unreadable",
                    revision=row.revision,
                    fault=str(failure.failure()),
                )
                return False

    def _is_newer(self, version: ConfigurationVersion, digest: int) -> bool:
        """Whether a version is to be adopted; the adopted one only if its number was used again."""
        if version == self._adopted_version:
            return not self._adopted_in_era and digest != self._adopted_digest
        return version > self._adopted_version

    def _log_older_version(self, version: ConfigurationVersion) -> None:
        log_message(
            message_type="configuration: older version in the store",
            version=version,
            adopted=self._adopted_version,
        )

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            state = "regained" if reachable else "lost"
            log_message(message_type=f"store: {state}", reason=reason, age_s=self.age_s)
