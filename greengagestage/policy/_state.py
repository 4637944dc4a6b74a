"""The state that the parts of the policy share."""

from greengagestage.configuration import Declaration, ServiceClass, Workspace
from greengagestage.ids import (
    AttemptId,
    ClassName,
    Fingerprint,
    HostId,
    PoolName,
    RequestId,
    WorkspaceId,
)
from greengagestage.results import ResultCode

from ._actions import Action, GiveUpClaim, Reject
from ._journal import Journal
from ._lifecycle import RequestState
from ._queues import PoolQueue
from ._randomness import Generator
from ._records import RequestRecord
from ._upstreams import UpstreamBook
from ._verdicts import MayHaveRun, conclude


class PolicyState:
    """Everything that the decisions read and change."""

    def __init__(self, *, host: HostId, seed: int) -> None:
        self.host = host
        self.now_s = 0.0
        self.stopping = False
        self.declaration: Declaration | None = None
        self.classes: dict[ClassName, ServiceClass] = {}
        self.workspaces: dict[WorkspaceId, Workspace] = {}
        self.records: dict[RequestId, RequestRecord] = {}
        self.attempts: dict[AttemptId, RequestRecord] = {}
        self.orphan_claims: dict[RequestId, AttemptId] = {}
        self.quarantined: dict[Fingerprint, None] = {}
        self.queues: dict[PoolName, PoolQueue] = {}
        self.upstreams = UpstreamBook()
        self.journal = Journal()
        self.jitter = Generator(seed=seed, name=f"jitter/{host}")
        self.actions: list[Action] = []
        self.dirty_pools: dict[PoolName, None] = {}

    def adopt(self, declaration: Declaration) -> None:
        """Put a declaration in force."""
        self.declaration = declaration
        self.classes = {each.name: each for each in declaration.classes}
        self.workspaces = {each.name: each for each in declaration.workspaces}
        self.upstreams.adopt(declaration)
        for fingerprint in declaration.quarantined:
            self.quarantined[Fingerprint(fingerprint)] = None

    def find_queue(self, pool: PoolName) -> PoolQueue:
        """Return the queue of a pool."""
        queue = self.queues.get(pool)
        if queue is None:
            queue = self.queues[pool] = PoolQueue()
        return queue

    def mark_dirty(self, pool: PoolName) -> None:
        """Note that a pool may be able to dispatch."""
        self.dirty_pools[pool] = None

    def emit(self, action: Action) -> None:
        """Add an action to the answer of the current event."""
        self.actions.append(action)

    def note(self, record: RequestRecord, line: str) -> None:
        """Record a decision about a request."""
        self.journal.record(record.request_id, self.now_s, line)

    def enqueue(self, record: RequestRecord) -> None:
        """Queue a request and let its pool dispatch."""
        record.move(RequestState.QUEUED)
        self.find_queue(record.pool).push(record)
        self.mark_dirty(record.pool)

    def release_attempt(self, record: RequestRecord) -> None:
        """Free the slot of a request's current attempt."""
        attempt = record.attempt
        if attempt is None:
            return
        record.attempt = None
        del self.attempts[attempt.attempt_id]
        entry = self.upstreams.find(attempt.upstream)
        if entry is not None:
            entry.in_flight.pop(attempt.attempt_id, None)
            for pool in self.upstreams.list_pools_of(entry):
                self.mark_dirty(pool)
        self.mark_dirty(record.pool)

    def reject(
        self, record: RequestRecord, code: ResultCode, retry_after_s: float | None = None
    ) -> None:
        """Give a request its final refusal, with the verdict that its history supports."""
        verdict = conclude(record, code)
        failed = isinstance(verdict, MayHaveRun)
        if record.state is RequestState.QUEUED:
            self.find_queue(record.pool).remove(record)
        record.move(RequestState.FAILED if failed else RequestState.REFUSED)
        if record.claimed and not failed and record.claim_attempt_id is not None:
            self.emit(GiveUpClaim(request_id=record.request_id, attempt_id=record.claim_attempt_id))
        self.note(record, f"refused: {verdict.code.name}")
        self.emit(
            Reject(request_id=record.request_id, code=verdict.code, retry_after_s=retry_after_s)
        )
        self.forget(record)

    def forget(self, record: RequestRecord) -> None:
        """Drop a request that has its final answer."""
        self.release_attempt(record)
        self.records.pop(record.request_id, None)
