"""What the shell needs from the rest of the host."""

from typing import Protocol

from twisted.internet.defer import Deferred

from greengagestage.claims import StoredAnswer
from greengagestage.ids import AttemptId, IdempotencyKey, RequestId, WorkspaceId
from greengagestage.policy import (
    AcquireClaim,
    Action,
    ClaimOutcome,
    Event,
    PolicySnapshot,
    ReleaseClaim,
)
from greengagestage.wire import EntryMessage


class RoutingPolicy(Protocol):
    """What decides: the policy, or another one that is compared with it."""

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take an event in and return what the shell has to do, in order."""

    def inspect(self) -> PolicySnapshot:
        """Return what waits and runs now."""

    def explain(self, request_id: RequestId) -> tuple[str, ...]:
        """Return the decisions about a request, one line each, oldest first."""


class Claims(Protocol):
    """The right to run non-idempotent requests, and their kept answers."""

    @property
    def unsettled(self) -> int:
        """Changes that the store has not confirmed yet."""

    def start(self) -> None:
        """Begin the work in the background."""

    def stop(self) -> None:
        """End the work in the background."""

    def claim(self, ask: AcquireClaim) -> Deferred[ClaimOutcome]:
        """Claim the right to run."""

    def give_up(self, give_up: ReleaseClaim) -> None:
        """Give up a claim whose request was certainly not run."""

    def record_answer(
        self,
        workspace: WorkspaceId,
        idempotency_key: IdempotencyKey,
        attempt_id: AttemptId,
        answer: StoredAnswer,
    ) -> Deferred[bool]:
        """Keep the whole answer."""

    def mark_unknown(
        self, workspace: WorkspaceId, idempotency_key: IdempotencyKey, attempt_id: AttemptId
    ) -> Deferred[None]:
        """Record that the request may have run and has no answer."""

    def read_answer(
        self, workspace: WorkspaceId, idempotency_key: IdempotencyKey
    ) -> Deferred[StoredAnswer | None]:
        """Return the kept answer, if it can be read."""


class Outbox(Protocol):
    """Where messages for the agent go."""

    def send(self, message: EntryMessage) -> None:
        """Send a message; it is lost when the agent is not connected."""


class Link(Outbox, Protocol):
    """The connection to the agent of the host."""

    @property
    def silence_s(self) -> float:
        """Seconds since the agent's last message; infinite before the first."""

    def start(self) -> None:
        """Connect, and connect again whenever the connection breaks."""

    def stop(self) -> None:
        """Close the connection."""
