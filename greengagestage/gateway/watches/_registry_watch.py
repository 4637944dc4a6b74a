"""Periodic reads of the registry of upstreams, shared between hosts."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from eliot import log_message
from returns.result import Success
from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from greengagestage.catalog import RegisteredUpstream
from greengagestage.evidence import REWRITE_S, CopyEvidence
from greengagestage.ids import Incarnation, InstanceId
from greengagestage.outcomes import Unavailable
from greengagestage.platform import REGISTRY_TABLE, RowClient, RowsRead, StoredRow, decode_upstream

from .._loops import RepeatingTask, add_jitter
from ..peers import RegistryReport
from ._confirmations import Confirmations
from ._registry_reports import build_registry_reports, hash_registry
from ._store_clock import read_boot_time_s
from ._store_era import StoreEra
from ._store_retries import StoreRetries

READ_INTERVAL_S = 0.75
RANK_DELAY_S = 0.08
RANK_JITTER_S = 0.02
"""A host reads the registry once its copy has not been confirmed for the interval plus a delay that
grows with its rank, so that usually the first host by rank reads and reports to the others. A read
and the report take less time than the delay of one rank without the jitter."""

RANKED_READERS = 3
UNRANKED_SPREAD_S = 0.16
"""Hosts beyond the first ranks wait for all of these, and then for a random time up to the spread:
should the first ones be lost, few of the others read before one of them has reported. The interval
and the largest delay stay below the two seconds after which a leaving upstream must receive no more
requests."""

MAX_CHANGE_JITTER_S = 0.05
"""Hosts that are told of a change without its entries read it after a random delay up to this, so
that they do not all read at once."""

RETRY_S = 0.2
"""Pause after the first failed call, with a jitter of 50%."""

MAX_REMEMBERED_GONE = 1_024
"""Maximum number of removed entries that are remembered; the oldest ones are forgotten."""


class RegistryWatch:
    """Keeps a current copy of the registered upstreams.

    The copy is confirmed by every read of the store, also by one whose result is dropped as older
    than the copy, and by reports of other hosts that fit the copy.

    An entry that is missing right after an outage or in a new era of the store is kept for a while:
    it may have expired because its upstream could not renew it, or the store may have lost it. The
    other way round, an older copy of the store may contain an entry that had been removed.

    Args:
        on_change: Handles all upstreams after a change.
        on_returned: Handles an upstream that was removed in one era and is listed in another, just
            before that change.
        on_report: Handles each report of a read, to be sent to the other hosts.
        on_gap: Called before the change when this host may have missed entries that came and went.
        get_rank: Returns this host's position among all hosts.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        rows: RowClient,
        era: StoreEra,
        random: Random,
        on_change: Callable[[Iterable[RegisteredUpstream]], None],
        on_returned: Callable[[RegisteredUpstream], None],
        on_report: Callable[[RegistryReport], None],
        get_rank: Callable[[], int],
        on_gap: Callable[[], None] = lambda: None,
    ) -> None:
        self._reactor = reactor
        self._rows = rows
        self._era = era
        self._random = random
        self._on_change = on_change
        self._on_returned = on_returned
        self._on_report = on_report
        self._get_rank = get_rank
        self._on_gap = on_gap
        self._evidence = CopyEvidence()
        self._retries = StoreRetries(first_s=RETRY_S, random=random)
        self._task = RepeatingTask(reactor=reactor, name="registry", step=self._step)
        self._known: dict[InstanceId, RegisteredUpstream] = {}
        self._listed: dict[InstanceId, RegisteredUpstream] | None = None  # without retained ones
        self._retention: Any = None
        self._unreadable: dict[str, bytes] = {}
        self._confirmations = Confirmations(reactor=reactor)
        self._is_failing = False
        self._confirmed_s: float | None = None  # monotonic time of the last confirmation
        self._pending_revision = 0
        self._revision = 0
        self._digest = hash_registry(())
        self._gone: dict[Incarnation, int | None] = {}  # era in which each one was removed
        era.add_listener(self._begin_era)

    def start(self) -> None:
        """Start the periodic reads."""
        self._task.start()

    def stop(self) -> None:
        """Stop the periodic reads."""
        self._task.stop()
        if self._retention is not None and self._retention.active():
            self._retention.cancel()

    @property
    def is_loaded(self) -> bool:
        """Whether the registry was read at least once, be it empty."""
        return self._confirmed_s is not None

    @property
    def revision(self) -> int | None:
        """The store's revision of the copy, 0 in a new era; None before the first read."""
        return self._revision if self.is_loaded else None

    @property
    def age_s(self) -> float | None:
        """Seconds since the copy was last confirmed; None before the first read."""
        return None if self._confirmed_s is None else self._reactor.seconds() - self._confirmed_s

    def confirm(self) -> Deferred[bool]:
        """Read the store now; the result is whether that shows all that was listed at this call.

        An old confirmation, or the report of a read that began before, does not show what has been
        listed since. The result is False at once while reads fail, and while entries may be missing
        that their upstreams have not written again.
        """
        if self._is_failing or not self._evidence.is_complete(read_boot_time_s()):
            return succeed(False)
        self._task.run_within(0.0)
        return self._confirmations.wait()

    def receive_report(self, report: RegistryReport) -> None:
        """Apply another host's report, or schedule a read if it does not fit this host's copy."""
        self._era.observe(report.era)
        if not self.is_loaded or not self._era.is_current(report.era):
            return
        if report.is_complete:
            self._drop_retained(report.digest)
        if report.digest == self._digest:
            self._handle_gap()
            self._record_confirmation()
            self._revision = max(self._revision, report.revision)
        elif not self._apply_report(report) and report.revision > self._revision:
            self._pending_revision = report.revision
            self._task.run_within(MAX_CHANGE_JITTER_S * self._random.random())

    def _begin_era(self) -> None:
        """Forget what the revisions meant, and keep the entries that the store may have lost."""
        self._revision = self._pending_revision = 0
        self._listed = None
        self._evidence.await_rewrites(read_boot_time_s())

    def _apply_report(self, report: RegistryReport) -> bool:
        """Apply changes that are based on this host's copy; return whether they were applied."""
        if report.before != self._digest or report.revision < self._revision:
            return False
        upstreams = {
            key: upstream for key, upstream in self._known.items() if key not in report.dropped
        }
        upstreams.update({upstream.instance: upstream for upstream in report.listed})
        if hash_registry(upstreams.values()) != report.digest:
            return False
        self._handle_gap()
        self._record_confirmation()
        self._revision = report.revision
        self._listed = None
        self._replace(upstreams)
        return True

    def _handle_gap(self) -> None:
        gap_s = self._evidence.detect_gap(read_boot_time_s())
        if gap_s is not None:
            log_message(message_type="registry: read after an outage", age_s=gap_s)
            self._on_gap()

    def _record_confirmation(self) -> None:
        self._confirmed_s = self._reactor.seconds()
        self._is_failing = False
        self._evidence.record_confirmation(read_boot_time_s())

    @inlineCallbacks
    def _step(self) -> Any:
        age_s = self.age_s
        is_due = age_s is None or age_s >= READ_INTERVAL_S
        if age_s is not None and not (is_due or self._pending_revision or self._confirmations):
            return READ_INTERVAL_S - age_s + self._compute_rank_delay_s()
        waiters = self._confirmations.take()
        is_applied = False
        try:
            read = yield self._rows.read(REGISTRY_TABLE)
            delay_s = self._apply_read(read)
            is_applied = isinstance(read, RowsRead) and self._era.is_current(read.era)
        finally:
            self._is_failing = not is_applied
            is_complete = is_applied and self._evidence.is_complete(read_boot_time_s())
            for waiter in waiters:
                waiter.callback(is_complete)
        return 0.0 if self._confirmations and not self._is_failing else delay_s

    def _apply_read(self, read: Any) -> float:
        """Apply the result of a read, and return the pause before the next one."""
        if not isinstance(read, RowsRead):
            return self._handle_read_failure(read)
        if not self._era.is_current(read.era):
            return add_jitter(RETRY_S, self._random)
        self._retries.record_success()
        self._process_read(read.rows, read.revision)
        if self._pending_revision:
            return add_jitter(RETRY_S, self._random)
        return READ_INTERVAL_S + self._compute_rank_delay_s()

    def _compute_rank_delay_s(self) -> float:
        rank = self._get_rank()
        spread_s = RANK_JITTER_S if rank < RANKED_READERS else UNRANKED_SPREAD_S
        return min(rank, RANKED_READERS) * RANK_DELAY_S + spread_s * self._random.random()

    def _handle_read_failure(self, outcome: Any) -> float:
        self._evidence.record_failure(read_boot_time_s())
        reason = outcome.reason if isinstance(outcome, Unavailable) else "unexpected answer"
        log_message(message_type="registry: not read", reason=reason, age_s=self.age_s)
        return self._retries.record_failure(rank=self._get_rank(), age_s=self.age_s)

    def _process_read(self, rows: list[StoredRow], revision: int) -> None:
        self._handle_gap()
        if revision < self._revision:
            self._confirm(revision)
            log_message(message_type="registry: old read dropped", revision=revision)
            return
        upstreams = self._decode(rows)
        self._listed = None
        if not self._evidence.is_complete(read_boot_time_s()):
            upstreams = self._retain_missing(upstreams, {row.key for row in rows})
        known = self._known
        self._replace(upstreams)
        self._revision = revision
        self._confirm(revision)
        is_complete = self._evidence.can_vouch(read_boot_time_s())
        for report in build_registry_reports(
            known, upstreams, revision, era=self._era.number, is_complete=is_complete
        ):
            self._on_report(report)

    def _retain_missing(
        self, listed: dict[InstanceId, RegisteredUpstream], present: set[str]
    ) -> dict[InstanceId, RegisteredUpstream]:
        """Add the known entries that may be missing only until their upstreams write them again.

        They are kept until then, or until another host shows that they are gone: what this host
        takes for an outage of the store was a cut of its own.

        Args:
            present: Keys of all entries that were read, also of unreadable ones.
        """
        retained = {key: each for key, each in self._known.items() if key not in present}
        if not retained:
            return listed
        self._listed = listed
        if self._retention is None or not self._retention.active():
            self._retention = self._reactor.callLater(REWRITE_S, self._end_retention)
        return {**retained, **listed}

    def _end_retention(self) -> None:
        """Read the registry now: the entries may have been written again since the last read."""
        if self._listed is not None:
            self.confirm()

    def _drop_retained(self, digest: int) -> None:
        """Drop the retained entries if a complete list with this digest lacks them as well."""
        if self._listed is not None and hash_registry(self._listed.values()) == digest:
            listed, self._listed = self._listed, None
            self._replace(listed)

    def _confirm(self, revision: int) -> None:
        """Record that all of a read has been applied, or that the copy is newer."""
        self._record_confirmation()
        if revision >= self._pending_revision:
            self._pending_revision = 0

    def _decode(self, rows: list[StoredRow]) -> dict[InstanceId, RegisteredUpstream]:
        upstreams, unreadable = {}, {}
        for row in rows:
            match decode_upstream(row.key, row.value):
                case Success(upstream):
                    upstreams[upstream.instance] = upstream
                case failure:
                    unreadable[row.key] = row.value
                    if self._unreadable.get(row.key) != row.value:
                        log_message(
                            message_type="registry: entry unreadable",
                            entry=row.key,
                            fault=failure.failure(),
                        )
        self._unreadable = unreadable
        return upstreams

    def _replace(self, upstreams: dict[InstanceId, RegisteredUpstream]) -> None:
        if upstreams == self._known:
            return
        for instance in self._known.keys() - upstreams.keys():
            log_message(message_type="registry: upstream gone", upstream=instance)
            self._remember_gone(self._known[instance])
        for instance, upstream in upstreams.items():
            known = self._known.get(instance)
            if known is None and self._returned_from_older_copy(upstream):
                log_message(message_type="registry: upstream returned", upstream=instance)
                self._on_returned(upstream)
            if known is None or known.availability is not upstream.availability:
                log_message(
                    message_type="registry: upstream listed",
                    upstream=instance,
                    service=upstream.service,
                    availability=upstream.availability.value,
                    software=upstream.software_version,
                    started_ms=upstream.started_ms,
                )
        self._known = upstreams
        self._digest = hash_registry(upstreams.values())
        self._on_change(upstreams.values())

    def _remember_gone(self, upstream: RegisteredUpstream) -> None:
        self._gone[upstream.incarnation] = self._era.number
        while len(self._gone) > MAX_REMEMBERED_GONE:
            self._gone.pop(next(iter(self._gone)))

    def _returned_from_older_copy(self, upstream: RegisteredUpstream) -> bool:
        """Whether an upstream that is listed now was removed in a former era of the store."""
        current = self._era.number
        return self._gone.pop(upstream.incarnation, current) != current
