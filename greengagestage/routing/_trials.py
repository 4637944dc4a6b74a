"""How long what crashes upstreams is kept from them, and which request may try it afterwards.

A quarantine begins with the latest crash; its duration doubles with each crash beyond those that it
takes. Then the hosts send one request at a time, as a trial: its answer clears the subject, and its
crash begins the next quarantine.

Parts of prompts that were quarantined are remembered for a multiple of that time. A host knows of
no trial at another one until its outcome is told. They take turns instead, in an order that they
all compute from the time of the latest crash, each long enough for a crash to be judged and told.
Equal requests are remembered until one is answered, and each of their trials is recorded before it
is sent.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

import xxhash

from greengagestage.ids import AttemptId, HostId

FIRST_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3_600.0
"""Both are multiples of ``TURN_S``, so that a quarantine ends with a turn."""

RETENTION_FACTOR = 8
MAX_RETENTION_S = 2 * MAX_QUARANTINE_S
"""What was quarantined is remembered for this multiple of its quarantine, up to a limit."""

TURN_S = 4.0
TRIAL_START_S = 2.0
"""Duration of a turn, and of its part in which a trial may begin. In the rest, the answer to the
trial begins, the crash is judged (0.1 s) and the other hosts are told."""

TRIAL_LIMIT_S = FIRST_QUARANTINE_S
"""Time after which a host may begin another trial if the last one has decided nothing."""


def compute_quarantine_s(further_crashes: int) -> float:
    """Return the duration of a quarantine, from the latest crash.

    Args:
        further_crashes: Number of crashes beyond those that the quarantine takes.
    """
    duration_s: float = min(FIRST_QUARANTINE_S * 2**further_crashes, MAX_QUARANTINE_S)
    return duration_s


def compute_retention_s(further_crashes: int) -> float:
    """Return for how long what was quarantined is remembered, from the latest crash."""
    return min(RETENTION_FACTOR * compute_quarantine_s(further_crashes), MAX_RETENTION_S)


class SubjectKind(Enum):
    """What crashes upstreams.

    Attributes:
        PART: A part of prompts, which the first event of an answer clears.
        REQUEST: Equal requests, which a complete answer clears: an upstream may crash before that.
    """

    PART = "part"
    REQUEST = "request"


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantinedSubject:
    """Equal requests, or a part of prompts, that crash upstreams.

    Attributes:
        key: Identifies it among all subjects.
        reason: Why requests with it are not sent, for their refusal.
        crashed_s: Time of the latest crash.
        ends_s: Time from which trials may be sent.
    """

    kind: SubjectKind
    key: str
    reason: str
    crashed_s: float
    ends_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialRequest:
    """A request that would be sent as a trial.

    Attributes:
        sends: Number of attempts to send it that have not been proved not to have run. A trial is
            sent again only if it is.
    """

    attempt_id: AttemptId
    sends: int
    deadline_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Trial:
    kind: SubjectKind
    request: TrialRequest
    expires_s: float

    def is_of(self, attempt_id: AttemptId, kind: SubjectKind) -> bool:
        return self.request.attempt_id == attempt_id and self.kind is kind


class Trials:
    """Decides which requests one host sends as trials."""

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._trials: dict[str, _Trial] = {}

    def find_refusing(
        self,
        subjects: Collection[QuarantinedSubject],
        request: TrialRequest,
        hosts: Collection[HostId],
        now_s: float,
    ) -> QuarantinedSubject | None:
        """Return the subject for which a request must not be sent; None if it may be sent.

        A request that may be sent is the trial of all its subjects. One that waits for a slot asks
        again, and is sent only in a turn of this host.

        Args:
            subjects: What the request has in common with those that crashed upstreams.
            hosts: All known hosts; empty if they are not known yet.
        """
        if not subjects:
            return None
        for key in [key for key, trial in self._trials.items() if trial.expires_s <= now_s]:
            del self._trials[key]
        for subject in subjects:
            trial = self._trials.get(subject.key)
            if now_s < subject.ends_s or (trial is not None and trial.request != request):
                return subject
        # Parts that crash upstreams together have the same turns.
        latest = max(subjects, key=lambda subject: subject.crashed_s)
        if not self._has_turn(latest, hosts, now_s):
            # A trial that has waited for a slot past its turn, so that others may have begun.
            self.withdraw(request)
            return latest
        expires_s = max(now_s + TRIAL_LIMIT_S, request.deadline_s)
        for subject in subjects:
            trial = _Trial(kind=subject.kind, request=request, expires_s=expires_s)
            self._trials.setdefault(subject.key, trial)
        return None

    def end(self, attempt_id: AttemptId, kind: SubjectKind) -> bool:
        """Record that a request is answered; return whether it was the trial of such a subject."""
        ended = [key for key, trial in self._trials.items() if trial.is_of(attempt_id, kind)]
        for key in ended:
            del self._trials[key]
        return bool(ended)

    def has_trial(self, attempt_id: AttemptId, kind: SubjectKind) -> bool:
        """Whether a request may have been sent as a trial and is not answered."""
        return any(trial.is_of(attempt_id, kind) for trial in self._trials.values())

    def withdraw(self, request: TrialRequest) -> None:
        """Forget a trial that has provably not run and is not sent any more."""
        if self._trials:
            self._trials = {
                key: trial for key, trial in self._trials.items() if trial.request != request
            }

    def _has_turn(
        self, subject: QuarantinedSubject, hosts: Collection[HostId], now_s: float
    ) -> bool:
        turn, elapsed_s = divmod(now_s - subject.crashed_s, TURN_S)
        return elapsed_s < TRIAL_START_S and _choose_host(int(turn), hosts) == self._host


def _choose_host(turn: int, hosts: Iterable[HostId]) -> HostId | None:
    """Return whose turn it is; most hosts agree also if they know different ones."""
    return min(
        hosts,
        key=lambda host: (xxhash.xxh64_intdigest(f"{turn} {host}".encode()), host),
        default=None,
    )
