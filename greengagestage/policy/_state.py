"""The state shared by the parts of the policy."""

from greengagestage.configuration import Declaration, ServiceClass, Workspace
from greengagestage.ids import (
    AttemptId,
    ClassName,
    FailureDomain,
    Fingerprint,
    HostId,
    PoolName,
    RequestId,
    UpstreamName,
    WorkspaceId,
)
from greengagestage.results import CODE_DETAILS, ResultCode, RunVerdict

from ._actions import Action, CancelAttempt, CancelReason, Reject, ReleaseClaim
from ._crashes import CrashTracker
from ._departures import DepartureEstimator
from ._estimates import TimeEstimator
from ._journal import Journal
from ._lengths import LengthEstimator
from ._lifecycle import RequestState
from ._limits import WorkspaceLimits
from ._pools import PoolState
from ._randomness import Generator
from ._records import Attempt, RequestRecord
from ._retries import RetryBudget
from ._timers import Timers
from ._upstreams import UpstreamEntry, UpstreamTable
from ._verdicts import MayHaveRun, derive_verdict
from ._views import PoolViews


class PolicyState:
    """Everything that the policy's decisions read and change.

    Attributes:
        records_by_attempt: The requests that hold a slot, by the ids of their attempts.
        orphan_claims: Claims still being acquired whose requests have ended.
        dirty_pools: Pools whose queue or slots changed in this event, as an ordered set.
        actions: The actions of the current event so far.
        running_by_priority: Number of running requests, by priority of their class.
        running_by_fingerprint: The upstreams of all running attempts except held ones, by
            fingerprint and attempt.
    """

    def __init__(self, *, host: HostId, seed: int, failure_domain: FailureDomain | None) -> None:
        self.host = host
        self.failure_domain = failure_domain
        self.now_s = 0.0
        self.stopping = False
        self.declaration: Declaration | None = None
        self.classes: dict[ClassName, ServiceClass] = {}
        self.workspaces: dict[WorkspaceId, Workspace] = {}
        self.records: dict[RequestId, RequestRecord] = {}
        self.records_by_attempt: dict[AttemptId, RequestRecord] = {}
        self.orphan_claims: dict[RequestId, AttemptId] = {}
        self.pools: dict[PoolName, PoolState] = {}
        self.dirty_pools: dict[PoolName, None] = {}
        self.actions: list[Action] = []
        self.upstreams = UpstreamTable()
        self.views = PoolViews(host=host, upstreams=self.upstreams)
        self.top_priority = 0
        self.crashes = CrashTracker()
        self.running_by_priority: dict[int, int] = {}
        self.running_by_fingerprint: dict[Fingerprint, dict[AttemptId, UpstreamName]] = {}
        self.limits = WorkspaceLimits()
        self.retries = RetryBudget()
        self.lengths = LengthEstimator()
        self.departures = DepartureEstimator()
        self.timers = Timers()
        self.journal = Journal()
        self.estimator = TimeEstimator(
            lengths=self.lengths, jitter=Generator(seed=seed, name=f"jitter/{host}")
        )

    def adopt(self, declaration: Declaration) -> None:
        """Apply a new declaration; open requests continue."""
        self.declaration = declaration
        self.classes = {each.name: each for each in declaration.classes}
        self.workspaces = {each.name: each for each in declaration.workspaces}
        self.top_priority = min((each.priority for each in declaration.classes), default=0)
        self.upstreams.adopt(declaration)
        self.limits.remove_undeclared(self.workspaces)
        for record in self.records.values():
            name = record.service_class.name
            record.service_class = self.classes.get(name, record.service_class)
        for pool in self.pools.values():
            pool.queue.adopt(self.classes)
        for fingerprint in declaration.quarantined:
            self.crashes.quarantine(Fingerprint(fingerprint))

    def get_pool(self, name: PoolName) -> PoolState:
        """Return the state of a pool; create it on first use."""
        pool = self.pools.get(name)
        if pool is None:
            pool = self.pools[name] = PoolState()
        return pool

    def emit(self, action: Action) -> None:
        """Add an action to the result of the current event."""
        self.actions.append(action)

    def log_decision(self, record: RequestRecord, line: str) -> None:
        """Add a line to the decision journal of a request."""
        self.journal.record(record.request_id, self.now_s, line)

    def enqueue(self, record: RequestRecord) -> None:
        """Queue a request and mark its pool for dispatch."""
        pool = self.get_pool(record.pool)
        record.transition_to(RequestState.QUEUED)
        record.queued_s = self.now_s
        self.estimator.update_service_times(record, pool)
        pool.queue.push(record)
        self.dirty_pools[record.pool] = None

    def has_running_below(self, priority: int) -> bool:
        """Return whether any request of a class below this priority is running."""
        return any(count and below > priority for below, count in self.running_by_priority.items())

    def is_suspect(self, record: RequestRecord) -> bool:
        """Return whether a request's fingerprint recently ran at an upstream that crashed."""
        return self.crashes.refresh_suspect(record.request.fingerprint, self.now_s)

    def may_run_with_duplicates(self, record: RequestRecord, upstream: UpstreamName) -> bool:
        """Return whether the running duplicates of a request allow it to run at an upstream.

        Duplicates are requests of this host with the same fingerprint. They run at one upstream
        at a time, and those of a suspect run one after another, so that a request that crashes
        upstreams crashes only one of them however many copies of it are sent at once.
        """
        duplicates = self.running_by_fingerprint.get(record.request.fingerprint)
        if not duplicates:
            return True
        return not self.is_suspect(record) and all(name == upstream for name in duplicates.values())

    def start_attempt(self, record: RequestRecord, attempt: Attempt, entry: UpstreamEntry) -> None:
        """Record that an attempt occupies a slot of an upstream."""
        record.attempt = attempt
        self.get_pool(record.pool).preemptors.discard(record)
        record.tried.append(entry.name)
        record.possibly_ran = True
        if not entry.in_flight:
            entry.last_response_s = self.now_s
        entry.in_flight[attempt.attempt_id] = record
        entry.suspects += attempt.suspect
        entry.prefixes.note_sent(record.request.prefix_hashes)
        self.records_by_attempt[attempt.attempt_id] = record
        attempt.priority = record.priority
        self.get_pool(record.pool).note_started(record)
        self.running_by_priority[record.priority] = (
            self.running_by_priority.get(record.priority, 0) + 1
        )
        self._add_duplicate(record, attempt)

    def hold_attempt(self, record: RequestRecord, attempt: Attempt) -> None:
        """Keep the current attempt beside the next one; its duplicates may run elsewhere."""
        record.attempt, record.held = None, attempt
        self._remove_duplicate(record, attempt)

    def restore_attempt(self, record: RequestRecord, attempt: Attempt) -> None:
        """Make the held attempt the current one again."""
        record.attempt, record.held = attempt, None
        self._add_duplicate(record, attempt)

    def cancel_attempts(self, record: RequestRecord, reason: CancelReason) -> None:
        """Cancel all attempts of a request that is about to end."""
        for attempt in record.attempts:
            self.emit(CancelAttempt(attempt_id=attempt.attempt_id, reason=reason))

    def release_attempt(self, record: RequestRecord, attempt: Attempt) -> None:
        """Free the slot of an attempt."""
        if attempt is record.held:
            record.held = None
        else:
            record.attempt = None
            self._remove_duplicate(record, attempt)
        del self.records_by_attempt[attempt.attempt_id]
        pool = self.get_pool(record.pool)
        pool.note_ended(record, attempt)
        self.running_by_priority[attempt.priority] -= 1
        self.dirty_pools[record.pool] = None
        if attempt.reserved:
            slots = self.views.find(record.pool).slots
            pool.shares.adjust_charge(record, attempt, slots, self.now_s)
        entry = self.upstreams.find(attempt.upstream)
        if entry is None:
            return
        entry.in_flight.pop(attempt.attempt_id, None)
        entry.suspects -= attempt.suspect
        if attempt.probe:
            entry.health.abandon_probe()
        for name in self.upstreams.list_pools_of(entry):
            self.dirty_pools[name] = None

    def _add_duplicate(self, record: RequestRecord, attempt: Attempt) -> None:
        duplicates = self.running_by_fingerprint.setdefault(record.request.fingerprint, {})
        duplicates[attempt.attempt_id] = attempt.upstream

    def _remove_duplicate(self, record: RequestRecord, attempt: Attempt) -> None:
        duplicates = self.running_by_fingerprint[record.request.fingerprint]
        del duplicates[attempt.attempt_id]
        if not duplicates:
            del self.running_by_fingerprint[record.request.fingerprint]

    def reject(
        self, record: RequestRecord, code: ResultCode, retry_after_s: float | None = None
    ) -> None:
        """End a request without an answer, with the verdict that its attempts support."""
        verdict = derive_verdict(record, code)
        failed = isinstance(verdict, MayHaveRun)
        if record.state is RequestState.QUEUED:
            self.get_pool(record.pool).queue.remove(record)
        record.transition_to(RequestState.FAILED if failed else RequestState.REFUSED)
        if record.claimed and not failed and record.claim_attempt_id is not None:
            self.emit(
                ReleaseClaim(request_id=record.request_id, attempt_id=record.claim_attempt_id)
            )
        if failed and not record.request.idempotent:
            retry_after_s = None
        self.log_decision(record, f"ended: {verdict.code.name}, retry_after_s={retry_after_s}")
        self.emit(
            Reject(request_id=record.request_id, code=verdict.code, retry_after_s=retry_after_s)
        )
        self.forget(record)

    def forget(self, record: RequestRecord) -> None:
        """Drop the record of a request that has its final answer."""
        for attempt in record.attempts:
            self.release_attempt(record, attempt)
        self.limits.close(record)
        self.get_pool(record.pool).preemptors.discard(record)
        self.records.pop(record.request_id, None)


def is_not_run(code: ResultCode) -> bool:
    """Return whether a result code means that the request did not run."""
    return CODE_DETAILS[code].verdict is RunVerdict.NOT_RUN
