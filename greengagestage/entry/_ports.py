"""Interfaces of the policy, the claims store and the agent, as the entry process uses them."""

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
    """Decides about requests: the router's policy, or a baseline compared with it."""

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Handle an event and return the actions to execute, in order."""

    def inspect(self) -> PolicySnapshot:
        """Return a snapshot of the queued and running requests."""

    def explain(self, request_id: RequestId) -> tuple[str, ...]:
        """Return the decisions about a request, one line each, oldest first."""


class Claims(Protocol):
    """Grants the right to run non-idempotent requests and stores their answers."""

    @property
    def unsettled(self) -> int:
        """The number of changes that the store has not confirmed yet."""

    def start(self) -> None:
        """Start background work."""

    def stop(self) -> None:
        """Stop background work."""

    def claim(self, action: AcquireClaim) -> Deferred[ClaimOutcome]:
        """Claim the right to run a request."""

    def release(self, action: ReleaseClaim) -> None:
        """Release a claim whose request has certainly not run."""

    def record_answer(
        self,
        workspace: WorkspaceId,
        idempotency_key: IdempotencyKey,
        attempt_id: AttemptId,
        answer: StoredAnswer,
    ) -> Deferred[bool]:
        """Store the complete answer; the result is True only if it is certainly stored."""

    def mark_unknown(
        self, workspace: WorkspaceId, idempotency_key: IdempotencyKey, attempt_id: AttemptId
    ) -> Deferred[None]:
        """Record that the request may have run but has no answer."""

    def read_answer(
        self, workspace: WorkspaceId, idempotency_key: IdempotencyKey
    ) -> Deferred[StoredAnswer | None]:
        """Return the stored answer, or None if it cannot be read."""


class MessageSender(Protocol):
    """Sends messages to the agent."""

    def send(self, message: EntryMessage) -> None:
        """Send a message; it is lost if the agent is not connected."""


class Link(MessageSender, Protocol):
    """The connection to the agent of this host."""

    @property
    def silence_s(self) -> float:
        """Seconds since the agent's last message; infinite before the first."""

    def start(self) -> None:
        """Connect, and reconnect whenever the connection is lost."""

    def stop(self) -> None:
        """Close the connection."""
