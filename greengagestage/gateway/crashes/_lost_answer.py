"""Answers that were lost, as far as they tell what crashes upstreams."""

from dataclasses import dataclass

from greengagestage.catalog import Prompt, RegisteredUpstream
from greengagestage.ids import AttemptId, Fingerprint, HostId
from greengagestage.routing import ObservedLoss


@dataclass(frozen=True, slots=True, kw_only=True)
class LostAnswer:
    """An answer whose connection ended before it was complete.

    Attributes:
        number: Number of the attempt; all attempts share the request's id.
        sent_s: Time at which the request was sent.
        lost_s: Time at which the answer was lost.
        forwarded_by: The host that forwarded the request; None if it was sent directly.
        begun: Whether the head of the answer had arrived.
        had_event: Whether an event of the answer had arrived, from this upstream or another.
        was_idle: Whether the request was sent on a connection that had been idle.
        was_left: Whether this host had closed the connection, so that the upstream may have gone on
            with the run. It ended at the time of the loss.
    """

    attempt_id: AttemptId
    number: int
    fingerprint: Fingerprint
    prompt: Prompt | None
    upstream: RegisteredUpstream
    sent_s: float
    lost_s: float
    forwarded_by: HostId | None
    begun: bool
    had_event: bool
    was_idle: bool = False
    was_left: bool = False

    @property
    def loss_id(self) -> str:
        """Identifies the loss on all hosts. Runs that were left count once for their upstream."""
        if self.was_left:
            instance, started_ms = self.upstream.incarnation
            return f"left {instance} {started_ms}"
        return f"{self.attempt_id}.{self.number}"

    @property
    def may_have_been_dropped(self) -> bool:
        """Whether the end of a connection does not show that the upstream has crashed under it."""
        return self.was_left or (self.was_idle and not self.begun)

    @property
    def left_out_because(self) -> str | None:
        """Why the loss says nothing about the parts of the prompt so far; None if it may."""
        if self.forwarded_by is not None:
            return "forwarded"
        if not self.begun:
            return "no head"
        return "events" if self.had_event else None

    def observe(self) -> ObservedLoss:
        """Return the loss as this host has seen it, of which others are told."""
        return ObservedLoss(
            fingerprint=self.fingerprint,
            address=self.upstream.address,
            port=self.upstream.port,
            sent_s=self.sent_s,
            lost_s=self.lost_s,
            seen_here=True,
        )
