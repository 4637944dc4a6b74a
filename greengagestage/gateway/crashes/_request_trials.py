"""Sends a request that was quarantined again once the store has recorded that it is tried."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from greengagestage.ids import AttemptId, Fingerprint
from greengagestage.routing import LossTracker, QuarantinedSubject, TrialRequest
from greengagestage.telemetry import log_unexpected_failure

RETRY_S = 1.0
"""Time after which a host asks the store again for a trial that it could not record."""


class _ClaimState(Enum):
    PENDING = "pending"
    GRANTED = "granted"
    REFUSED = "refused"


@dataclass(slots=True, kw_only=True)
class _Claim:
    """A host's claim that a request is the one that all hosts send as a trial.

    Attributes:
        ended_s: Time after which the claim is forgotten, unless it is pending.
        is_withdrawn: Whether the request has ended without having been sent.
    """

    request: TrialRequest
    ended_s: float
    state: _ClaimState = _ClaimState.PENDING
    is_withdrawn: bool = False

    @property
    def is_open(self) -> bool:
        """Whether the request may be sent, or may be soon."""
        return self.state is not _ClaimState.REFUSED and not self.is_withdrawn

    def keeps_others_back(self, now_s: float) -> bool:
        """Whether no other claim may begin; one that is granted is known as a loss."""
        match self.state:
            case _ClaimState.PENDING:
                return True
            case _ClaimState.REFUSED:
                return now_s < self.ended_s
            case _ClaimState.GRANTED:
                return False


class RequestTrials:
    """Decides which of equal requests this host sends as a trial.

    A trial counts as a loss in the store before it is sent, by a write that only one host can make.
    So the number of trials is limited also where hosts cannot reach each other, or vanish.

    Args:
        losses: The losses of equal requests, which tell when a trial may be sent.
        claim: Records a trial in the store; the result is whether it may be sent.
        report_withdrawn: Records that a trial has not run.
    """

    def __init__(
        self,
        *,
        losses: LossTracker,
        claim: Callable[[Fingerprint, AttemptId], Deferred[bool]],
        report_withdrawn: Callable[[Fingerprint], None],
    ) -> None:
        self._losses = losses
        self._claim = claim
        self._report_withdrawn = report_withdrawn
        self._claims: dict[Fingerprint, _Claim] = {}

    def may_send(
        self,
        fingerprint: Fingerprint,
        subject: QuarantinedSubject,
        request: TrialRequest,
        now_s: float,
    ) -> bool:
        """Return whether a request may be sent, perhaps only once ``is_awaited`` is false.

        Args:
            subject: Why equal requests are quarantined, or have been.
        """
        known = self._claims.get(fingerprint)
        if known is not None and known.request == request:
            return known.is_open
        if now_s < subject.ends_s or (known is not None and known.keeps_others_back(now_s)):
            return False
        return self._begin_claim(fingerprint, request, now_s).is_open

    def is_awaited(self, attempt_id: AttemptId) -> bool:
        """Whether a request is a trial that the store has not recorded yet."""
        return any(
            claim.state is _ClaimState.PENDING and claim.request.attempt_id == attempt_id
            for claim in self._claims.values()
        )

    def withdraw(self, fingerprint: Fingerprint, request: TrialRequest) -> None:
        """Record that a request, which may be a trial, has provably not run and has ended."""
        claim = self._claims.get(fingerprint)
        if claim is None or claim.request != request:
            return
        claim.is_withdrawn = True
        if claim.state is _ClaimState.GRANTED:
            self._take_back(fingerprint, request)

    def _begin_claim(self, fingerprint: Fingerprint, request: TrialRequest, now_s: float) -> _Claim:
        self._forget_ended(now_s)
        claim = _Claim(request=request, ended_s=max(now_s, request.deadline_s))
        self._claims[fingerprint] = claim

        def settle(is_granted: bool) -> None:
            claim.state = _ClaimState.GRANTED if is_granted else _ClaimState.REFUSED
            if not is_granted:
                claim.ended_s = now_s + RETRY_S
            elif claim.is_withdrawn:
                self._take_back(fingerprint, request)

        self._claim(fingerprint, request.attempt_id).addErrback(_refuse).addCallback(settle)
        return claim

    def _take_back(self, fingerprint: Fingerprint, request: TrialRequest) -> None:
        del self._claims[fingerprint]
        self._losses.withdraw_trial(fingerprint, request.attempt_id)
        self._report_withdrawn(fingerprint)

    def _forget_ended(self, now_s: float) -> None:
        self._claims = {
            fingerprint: claim
            for fingerprint, claim in self._claims.items()
            if claim.state is _ClaimState.PENDING or now_s < claim.ended_s
        }


def _refuse(failure: Failure) -> bool:
    """Refuse a trial that could not be recorded because of an unexpected exception."""
    log_unexpected_failure("request: trial not recorded", failure)
    return False
