"""Builds claim stores of several hosts on an in-memory table."""

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.task import Clock

from greengagestage.claims import ClaimStore, StoredAnswer
from greengagestage.claims._rows import ClaimRow, claim_key, read_claim
from greengagestage.ids import (
    AttemptId,
    Fingerprint,
    HostId,
    IdempotencyKey,
    RequestId,
    WorkspaceId,
)
from greengagestage.policy import AcquireClaim, ClaimOutcome, ReleaseClaim

from .fake_platform import FakeObjects, FakeTable, FakeTableClient

WORKSPACE = WorkspaceId("gyor")
KEY = IdempotencyKey("order-1")
SMALL = StoredAnswer(status=201, content_type="text/plain", body=b"small")
LARGE = StoredAnswer(status=200, content_type="text/plain", body=b"x" * 5000)


def build_ask(attempt: str, key: str = KEY, body: str = "f1") -> AcquireClaim:
    """Return the request for a claim of a key in the workspace."""
    return AcquireClaim(
        request_id=RequestId(f"r-{attempt}"),
        attempt_id=AttemptId(attempt),
        workspace=WORKSPACE,
        idempotency_key=IdempotencyKey(key),
        fingerprint=Fingerprint(body),
    )


@dataclass
class ClaimHosts:
    """Claim stores of several hosts, one table, one clock."""

    clock: Clock = field(default_factory=Clock)
    table: FakeTable = field(default_factory=FakeTable)
    objects: FakeObjects = field(default_factory=FakeObjects)
    live: set[str] = field(default_factory=lambda: {"h1", "h2"})

    def build(self, host: str = "h1", **changes: Any) -> ClaimStore:
        """Return the store of a host."""
        fields = {"write_budget_per_s": 100.0, "workspaces": lambda: [WORKSPACE]}
        return ClaimStore(
            reactor=self.clock,
            table=FakeTableClient(self.table),
            objects=self.objects,
            host=HostId(host),
            is_live_host=self.live.__contains__,
            wall_clock=self.clock.seconds,
            **(fields | changes),
        )

    def ask(self, store: ClaimStore, attempt: str, **changes: str) -> list[ClaimOutcome]:
        """Claim; the outcome is appended to the returned list when it is known."""
        outcomes: list[ClaimOutcome] = []
        store.claim(build_ask(attempt, **changes)).addCallback(outcomes.append)
        self.pass_time(0.5)
        return outcomes

    def release(self, store: ClaimStore, attempt: str) -> None:
        """Release a claim and let the release be written."""
        store.release(
            ReleaseClaim(request_id=RequestId(f"r-{attempt}"), attempt_id=AttemptId(attempt))
        )
        self.pass_time()

    def pass_time(self, seconds: float = 1.0) -> None:
        """Advance the clock in small steps, so that timers fire in order."""
        for _ in range(20):
            self.clock.advance(seconds / 20)

    def read(self) -> ClaimRow | None:
        """Return the claim stored in the table."""
        return read_claim(self.table.get(claim_key(WORKSPACE, KEY)))
