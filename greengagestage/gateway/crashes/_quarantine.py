"""Keeps requests from being sent that have crashed upstreams, or are like those that did."""

from collections.abc import Callable, Collection

from eliot import log_message
from twisted.internet.defer import Deferred

from greengagestage.catalog import Prompt, RegisteredUpstream
from greengagestage.ids import AttemptId, Fingerprint, HostId
from greengagestage.routing import Job, LossTracker, SubjectKind, TrialRequest, Trials

from ._crash_watch import CrashWatch
from ._lost_answer import LostAnswer
from ._request_trials import RequestTrials


class Quarantine:
    """Judges requests by what they share with others: the whole request, or a part of the prompt.

    Args:
        losses: Lost answers by fingerprint, to which those of other hosts are added elsewhere.
        crash_watch: Finds the parts of prompts that crash upstreams.
        trials: Decides what is sent after a quarantine of parts of prompts.
        claim_trial: Records a trial of equal requests in the store; the result is whether it may be
            sent.
        list_hosts: Returns all known hosts; none before the list has been read.
        report_loss: Tells the other hosts of a lost answer; takes the fingerprint and an id.
        report_cleared: Records that losses of equal requests have been cleared.
    """

    def __init__(
        self,
        *,
        losses: LossTracker,
        crash_watch: CrashWatch,
        trials: Trials,
        claim_trial: Callable[[Fingerprint, AttemptId], Deferred[bool]],
        list_hosts: Callable[[], Collection[HostId]],
        report_loss: Callable[[Fingerprint, str], None],
        report_cleared: Callable[[Fingerprint], None],
    ) -> None:
        self._losses = losses
        self._crash_watch = crash_watch
        self._trials = trials
        self._request_trials = RequestTrials(
            losses=losses, claim=claim_trial, report_withdrawn=report_cleared
        )
        self._list_hosts = list_hosts
        self._report_loss = report_loss
        self._report_cleared = report_cleared

    def find_reason(
        self, fingerprint: Fingerprint, job: Job, sends: int, now_s: float
    ) -> str | None:
        """Return why a request must not be sent to any upstream; None if it may be sent.

        Args:
            sends: Number of attempts to send it that have not been proved not to have run.
        """
        parts = [] if job.prompt is None else [each.part for each in job.prompt.shared_parts]
        suspected = self._crash_watch.suspects.list_quarantined(parts, now_s)
        request = TrialRequest(attempt_id=job.attempt_id, sends=sends, deadline_s=job.deadline_s)
        refusing = self._trials.find_refusing(suspected, request, self._list_hosts(), now_s)
        if refusing is not None:
            return refusing.reason
        for subject in self._losses.list_quarantined(fingerprint, now_s):
            if not self._request_trials.may_send(fingerprint, subject, request, now_s):
                return subject.reason
        return None

    def find_wait_reason(
        self, fingerprint: Fingerprint, attempt_id: AttemptId, now_s: float
    ) -> str | None:
        """Return why a request must not be sent yet; None if it may be sent now."""
        if self._request_trials.is_awaited(attempt_id):
            return "the store has not recorded this trial yet"
        if self._crash_watch.lost_several(fingerprint, now_s):
            return "losses of equal requests are being judged"
        return None

    def withdraw_trial(self, fingerprint: Fingerprint, job: Job) -> None:
        """Record that a request, which may have been chosen as a trial, has provably not run."""
        request = TrialRequest(attempt_id=job.attempt_id, sends=0, deadline_s=job.deadline_s)
        self._trials.withdraw(request)
        self._request_trials.withdraw(fingerprint, request)

    def awaits_proof(self, fingerprint: Fingerprint) -> bool:
        """Whether equal requests have been lost that may have crashed their upstreams."""
        return self._crash_watch.awaits_proof(fingerprint)

    def record_head(
        self, upstream: RegisteredUpstream, sent_s: float, *, opened_s: float | None = None
    ) -> None:
        """Record that an upstream itself answers a request that this host sent at a time.

        Args:
            opened_s: As for ``CrashWatch.record_head``.
        """
        self._crash_watch.record_head(upstream, sent_s, opened_s=opened_s)

    def record_answer(self, job: Job) -> None:
        """Record that the answer to a request has produced an event."""
        self._trials.end(job.attempt_id, SubjectKind.PART)
        if job.prompt is not None:
            self._crash_watch.record_answer(job.prompt)

    def record_complete_answer(self, fingerprint: Fingerprint, job: Job, sent_s: float) -> None:
        """Record that the answer to a request is complete, which was sent at a time.

        The upstreams that were lost under equal requests before had another fault.
        """
        self.record_answer(job)
        self._crash_watch.forget_unproven(fingerprint, sent_s)
        if self._losses.clear(fingerprint, sent_s):
            self._report_cleared(fingerprint)

    def record_loss(self, lost: LostAnswer) -> None:
        """Record a lost answer; report it, or forget it, once it shows whether it was a crash.

        A trial counts as lost already, from before it was sent.
        """
        if self._losses.is_trial(lost.fingerprint, lost.attempt_id):
            self._examine(lost)
            return
        count = self._losses.record_loss(
            lost.fingerprint, lost.loss_id, lost.lost_s, confirmed=False
        )
        self._crash_watch.call_when_judged(
            lost,
            on_crashed=lambda: self._confirm_loss(lost),
            on_other=lambda cause: self._forget_loss(lost, cause),
        )
        if count > 1:
            log_message(
                message_type="request: upstreams lost under equal requests",
                request=lost.attempt_id,
                fingerprint=lost.fingerprint,
                losses=count,
            )
        self._examine(lost)

    def record_left_run(self, lost: LostAnswer, until_s: float) -> None:
        """Record that this host has closed the connection of a request before its answer was whole.

        Args:
            lost: The run, as if it had been lost now.
            until_s: Time until which the upstream may go on with it, and crash.
        """
        if self._losses.is_trial(lost.fingerprint, lost.attempt_id):
            return
        counted: list[LostAnswer] = []

        def count() -> None:
            counted.append(lost)
            self._confirm_loss(lost)

        def leave_out(cause: str) -> None:
            # Until then, it counts only if another host has found it to be a crash.
            if counted:
                self._forget_loss(lost, cause)

        self._crash_watch.watch_left(lost, until_s, on_crashed=count, on_other=leave_out)

    def record_forwarded_loss(self, lost: LostAnswer) -> None:
        """Record an answer that was lost while this host passed it to another one.

        Only the connections of this host show a crash. The other host counts the loss against
        equal requests.
        """
        self._crash_watch.remember(lost.observe())
        self._examine(lost)

    def _examine(self, lost: LostAnswer) -> None:
        """Look whether a lost answer says something about the parts of its prompt."""
        if lost.prompt is None:
            return
        reason = lost.left_out_because
        is_trial = self._trials.has_trial(lost.attempt_id, SubjectKind.PART)
        if reason is None or (is_trial and lost.forwarded_by is None):
            self._crash_watch.examine_loss(lost)
        else:
            if is_trial:
                self._crash_watch.await_proof(lost)
            log_message(
                message_type="upstream: loss left out",
                upstream=lost.upstream.instance,
                request=lost.attempt_id,
                send=lost.number,
                parts=[each.part for each in lost.prompt.shared_parts],
                reason=reason,
                via=lost.forwarded_by,
            )

    def log_send(
        self,
        request: AttemptId,
        send: int,
        fingerprint: Fingerprint,
        prompt: Prompt | None,
        now_s: float,
    ) -> None:
        """Log what is known against a request that is sent all the same."""
        losses = self._losses.count_losses(fingerprint)
        if losses is not None:
            log_message(
                message_type="request: sent after losses of equal ones",
                request=request,
                send=send,
                fingerprint=fingerprint,
                losses=losses[0],
                age_s=round(now_s - losses[1], 3),
            )
        if prompt is not None:
            self._crash_watch.log_evidence(prompt, request, send, now_s)

    def _confirm_loss(self, lost: LostAnswer) -> None:
        if not self._losses.is_cleared(lost.fingerprint, lost.loss_id):
            self._losses.record_loss(lost.fingerprint, lost.loss_id, lost.lost_s)
            self._report_loss(lost.fingerprint, lost.loss_id)

    def _forget_loss(self, lost: LostAnswer, cause: str) -> None:
        if self._losses.forget_loss(lost.fingerprint, lost.loss_id):
            self._report_cleared(lost.fingerprint)
        log_message(
            message_type="request: loss left out",
            request=lost.attempt_id,
            send=lost.number,
            upstream=lost.upstream.instance,
            fingerprint=lost.fingerprint,
            reason=cause,
        )
