"""The state that the parts of the policy share."""

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

from ._actions import Action, Reject, ReleaseClaim
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
from ._verdicts import MayHaveRun, conclude
from ._views import PoolViews


class PolicyState:
    """Everything that the decisions read and change."""

    def __init__(self, *, host: HostId, seed: int, failure_domain: FailureDomain | None) -> None:
        self.host = host
        self.failure_domain = failure_domain
        self.now_s = 0.0
        self.stopping = False
        self.declaration: Declaration | None = None
        self.classes: dict[ClassName, ServiceClass] = {}
        self.workspaces: dict[WorkspaceId, Workspace] = {}
        self.records: dict[RequestId, RequestRecord] = {}
        self.attempts: dict[AttemptId, RequestRecord] = {}
        self.orphan_claims: dict[RequestId, AttemptId] = {}
        self.pools: dict[PoolName, PoolState] = {}
        self.dirty_pools: dict[PoolName, None] = {}
        self.actions: list[Action] = []
        self.upstreams = UpstreamTable()
        self.views = PoolViews(host=host, upstreams=self.upstreams)
        self.top_priority = 0
        self.crashes = CrashTracker()
        self.running: dict[int, int] = {}
        self.running_equals: dict[Fingerprint, dict[AttemptId, UpstreamName]] = {}
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
        """Put a declaration in force; open requests go on."""
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
        """Return the state of a pool."""
        pool = self.pools.get(name)
        if pool is None:
            pool = self.pools[name] = PoolState()
        return pool

    def emit(self, action: Action) -> None:
        """Add an action to the answer of the current event."""
        self.actions.append(action)

    def log_decision(self, record: RequestRecord, line: str) -> None:
        """Record a decision about a request."""
        self.journal.record(record.request_id, self.now_s, line)

    def enqueue(self, record: RequestRecord) -> None:
        """Queue a request and let its pool dispatch."""
        pool = self.get_pool(record.pool)
        record.move(RequestState.QUEUED)
        record.queued_s = self.now_s
        self.estimator.update_service_times(record, pool)
        pool.queue.push(record)
        self.dirty_pools[record.pool] = None

    def has_running_below(self, priority: int) -> bool:
        """Return whether any request of a lower class is running."""
        return any(count and below > priority for below, count in self.running.items())

    def is_suspect(self, record: RequestRecord) -> bool:
        """Return whether a request was present at a crash of an upstream."""
        return self.crashes.is_suspect(record.request.fingerprint, self.now_s)

    def may_run_beside_equals(self, record: RequestRecord, upstream: UpstreamName) -> bool:
        """Return whether equal requests of this host allow one more at an upstream.

        Equal requests run at one upstream at a time, a suspect's one by one, so that a request
        that crashes upstreams costs one of them however often it is sent at once.
        """
        equals = self.running_equals.get(record.request.fingerprint)
        if not equals:
            return True
        return not self.is_suspect(record) and all(name == upstream for name in equals.values())

    def start_attempt(self, record: RequestRecord, attempt: Attempt, entry: UpstreamEntry) -> None:
        """Take a slot for an attempt."""
        record.attempt = attempt
        self.get_pool(record.pool).impatient.discard(record)
        record.tried.append(entry.name)
        record.possibly_ran = True
        if not entry.in_flight:
            entry.last_response_s = self.now_s
        entry.in_flight[attempt.attempt_id] = record
        entry.suspects += attempt.suspect
        entry.prefixes.note_sent(record.request.prefix_hashes)
        self.attempts[attempt.attempt_id] = record
        attempt.priority = record.priority
        self.get_pool(record.pool).note_started(record)
        self.running[record.priority] = self.running.get(record.priority, 0) + 1
        equals = self.running_equals.setdefault(record.request.fingerprint, {})
        equals[attempt.attempt_id] = entry.name

    def release_attempt(self, record: RequestRecord) -> None:
        """Free the slot of a request's current attempt."""
        attempt = record.attempt
        if attempt is None:
            return
        record.attempt = None
        del self.attempts[attempt.attempt_id]
        pool = self.get_pool(record.pool)
        pool.note_ended(record, attempt)
        self.running[attempt.priority] -= 1
        self._forget_equal(record, attempt)
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

    def _forget_equal(self, record: RequestRecord, attempt: Attempt) -> None:
        equals = self.running_equals[record.request.fingerprint]
        del equals[attempt.attempt_id]
        if not equals:
            del self.running_equals[record.request.fingerprint]

    def reject(
        self, record: RequestRecord, code: ResultCode, retry_after_s: float | None = None
    ) -> None:
        """Give a request its final refusal, with the verdict that its history supports."""
        verdict = conclude(record, code)
        failed = isinstance(verdict, MayHaveRun)
        if record.state is RequestState.QUEUED:
            self.get_pool(record.pool).queue.remove(record)
        record.move(RequestState.FAILED if failed else RequestState.REFUSED)
        if record.claimed and not failed and record.claim_attempt_id is not None:
            self.emit(
                ReleaseClaim(request_id=record.request_id, attempt_id=record.claim_attempt_id)
            )
        if failed and not record.request.idempotent:
            retry_after_s = None
        self.log_decision(record, f"ended: {verdict.code.name}, come back after {retry_after_s}")
        self.emit(
            Reject(request_id=record.request_id, code=verdict.code, retry_after_s=retry_after_s)
        )
        self.forget(record)

    def forget(self, record: RequestRecord) -> None:
        """Drop a request that has its final answer."""
        self.release_attempt(record)
        self.limits.close(record)
        self.get_pool(record.pool).impatient.discard(record)
        self.records.pop(record.request_id, None)


def is_not_run(code: ResultCode) -> bool:
    """Return whether a code says that the request did not run."""
    return CODE_DETAILS[code].verdict is RunVerdict.NOT_RUN
