"""Keeps requests from being sent that have crashed upstreams, or are like those that did."""

from collections.abc import Callable

from eliot import log_message

from greengagestage.catalog import Prompt
from greengagestage.ids import Fingerprint
from greengagestage.routing import LossTracker

from ._crash_watch import CrashWatch, LostAnswer


class Quarantine:
    """Judges requests by what they share with others: the whole request, or a part of the prompt.

    Args:
        losses: Lost answers by fingerprint, to which those of other hosts are added elsewhere.
        crash_watch: Finds the parts of prompts that crash upstreams.
        report_loss: Tells the other hosts of a lost answer; takes the fingerprint and an id.
    """

    def __init__(
        self,
        *,
        losses: LossTracker,
        crash_watch: CrashWatch,
        report_loss: Callable[[Fingerprint, str], None],
    ) -> None:
        self._losses = losses
        self._crash_watch = crash_watch
        self._report_loss = report_loss

    def find_reason(
        self, fingerprint: Fingerprint, prompt: Prompt | None, now_s: float
    ) -> str | None:
        """Return why a request must not be sent to any upstream; None if it may be sent."""
        if self._losses.is_quarantined(fingerprint, now_s):
            return "equal requests crashed upstreams"
        parts = [] if prompt is None else [each.part for each in prompt.shared_parts]
        part = self._crash_watch.suspects.find_crashing_part(parts, now_s)
        return None if part is None else f"prompts with the part {part} crashed upstreams"

    def record_answer(self, prompt: Prompt | None) -> None:
        """Record that the answer to a request has produced an event or is complete."""
        if prompt is not None:
            self._crash_watch.record_answer(prompt)

    def record_loss(self, lost: LostAnswer) -> None:
        """Record a lost answer; report it later, unless others were lost with it elsewhere."""
        loss_id = f"{lost.attempt_id}.{lost.number}"
        count = self._losses.record_loss(lost.fingerprint, loss_id, lost.lost_s, confirmed=False)
        self._crash_watch.call_when_judged(
            lost,
            on_alone=lambda: self._confirm_loss(lost, loss_id),
            on_common=lambda: self._losses.forget_loss(lost.fingerprint, loss_id),
        )
        if count > 1:
            log_message(
                message_type="request: upstreams lost under equal requests",
                request=lost.attempt_id,
                fingerprint=lost.fingerprint,
                losses=count,
            )
        if lost.prompt is not None and lost.had_just_begun:
            self._crash_watch.examine_loss(lost, lost.prompt)

    def _confirm_loss(self, lost: LostAnswer, loss_id: str) -> None:
        self._losses.record_loss(lost.fingerprint, loss_id, lost.lost_s)
        self._report_loss(lost.fingerprint, loss_id)
