"""Decides whether a request can be sent to another upstream."""

from greengagestage.ids import InstanceId
from greengagestage.routing import Job, Router

from ._attempt_faults import AttemptFault

MAX_SENDS = 4
"""Maximum number of attempts to send one request, including those that provably did not run it.
``Route.max_attempts`` limits only the attempts that may have run it."""

MAX_REFUSED_SUCCESSORS = 3
"""Number of refusals after which no further upstream is asked in addition to a silent one. They do
not count as sends, so that the request can still be sent elsewhere if the silent one is lost."""

MAX_UNFORWARDED = 8
"""Maximum number of attempts that other hosts did not forward. They do not count as sends: a host
that cannot forward says so at once."""

MIN_TIME_FOR_RETRY_S = 0.03
"""No retry is started with less time left than this: plain answers take about 20 ms."""


class SendLimits:
    """Counts the sends of one request and decides whether another one is safe and allowed.

    Attributes:
        tried: The upstreams that were chosen so far, except those that certainly got nothing.
        unreached: The upstreams to which this host could not connect.
        sends: Number of attempts to send the request.
        unproved_sends: Those of them that have not been proved not to have run.
        possible_runs: Number of attempts that may have run, or may be running, the request.
    """

    def __init__(self, *, job: Job, router: Router) -> None:
        self.tried: frozenset[InstanceId] = frozenset()
        self.unreached: frozenset[InstanceId] = frozenset()
        self.sends = 0
        self.unproved_sends = 0
        self.possible_runs = 0
        self._refused_successors = 0
        self._unforwarded = 0
        self._has_reserved_retry = False
        self._job = job
        self._router = router

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.possible_runs > 0

    @property
    def has_runs_left(self) -> bool:
        """Whether another upstream may run the request although one may have done so."""
        route = self._job.route
        return route.is_retryable and self.possible_runs < route.max_attempts

    def record_send(self, instance: InstanceId, now_s: float) -> None:
        """Count an attempt to send the request to an upstream, with the retry reserved for it."""
        self.sends += 1
        self.unproved_sends += 1
        self.tried |= {instance}
        if self._has_reserved_retry:
            self._has_reserved_retry = False
            self._router.retries.record_sent(self._job.service, now_s)

    def record_unsent(self, instance: InstanceId, fault: AttemptFault) -> None:
        """Record what a fault proves; an upstream that got nothing may get the request later."""
        self.unproved_sends -= fault.proves_not_run
        match fault:
            case AttemptFault.UNREACHABLE:
                self.tried -= {instance}
                self.unreached |= {instance}
            case AttemptFault.UNFORWARDED:
                self.tried -= {instance}
                self._unforwarded += 1

    def may_run_again(self, now_s: float) -> bool:
        """Whether a request that may have run, or may be running, can be sent again."""
        return self.has_runs_left and self._may_send(now_s)

    def may_have_successor(self, now_s: float) -> bool:
        """Whether the request may be sent to a second upstream while the first one is silent."""
        return self.may_run_again(now_s) and self._refused_successors < MAX_REFUSED_SUCCESSORS

    def record_refused_successor(self) -> None:
        """Count a second upstream that has provably not run the request."""
        self._refused_successors += 1

    def try_acquire_resend(self, fault: AttemptFault, now_s: float) -> bool:
        """Return whether a request can be sent again after a fault; reserve a retry if so.

        No retry is needed for a send after an attempt that sent nothing.
        """
        if not self._may_send(now_s):
            return False
        if fault.proves_not_sent:
            return not self.may_have_run or self._job.route.is_retryable
        if fault.proves_not_run:
            return self.try_reserve_retry(now_s)
        return self.has_runs_left and self.try_reserve_retry(now_s)

    def try_reserve_retry(self, now_s: float) -> bool:
        """Return whether the retry budget allows another send; reserve a retry if so."""
        if not self._has_reserved_retry:
            self._has_reserved_retry = self._router.try_reserve_retry(self._job.service, now_s)
        return self._has_reserved_retry

    def release_retry(self) -> None:
        """Give back a retry that was reserved and not sent."""
        if self._has_reserved_retry:
            self._has_reserved_retry = False
            self._router.retries.release(self._job.service)

    def _may_send(self, now_s: float) -> bool:
        has_time = self._job.deadline_s - now_s >= MIN_TIME_FOR_RETRY_S
        sends = self.sends - self._refused_successors - self._unforwarded
        return has_time and sends < MAX_SENDS and self._unforwarded <= MAX_UNFORWARDED
