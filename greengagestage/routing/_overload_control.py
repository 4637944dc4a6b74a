"""What one host does about overload: which jobs wait, and which are refused."""

from collections.abc import Callable, Mapping

from greengagestage.ids import ServiceName
from greengagestage.results import ResultCode

from ._jobs import Job, Placement, Refused, Waiting
from ._overload import OverloadMeter, UrgencyTraffic, find_urgency_in_need, is_queue_full
from ._room import MAX_WAIT_TARGETS, TOTAL_DELAY_SHARE
from ._waiting_line import WaitingLines

OVERLOAD_RETRY_S = 2.0
"""Mean retry delay for callers while no engine can finish another answer in time. Each engine
finishes several answers in this time. The actual delay varies by up to half in both directions."""

URGENT_RECHECK_S = 0.1
"""Time until a job that leaves room to more urgent ones is placed again, on average."""

OVERDUE_TARGETS = 2.0
"""Waiting time after which a job is overdue, as a multiple of its target."""

PLAIN_SIZE_TOKENS = 1_000
"""Size at which requests without a prompt are counted: all alike, and not lost in rounding."""

Urgencies = Mapping[int, UrgencyTraffic]


class OverloadControl:
    """Counts the jobs of this host by urgency, and keeps back those for which there is no room.

    Args:
        draw: Returns random numbers from 0 up to 1.
    """

    def __init__(self, *, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._meters: dict[ServiceName, OverloadMeter] = {}
        self._lines = WaitingLines(
            in_time_targets=TOTAL_DELAY_SHARE, max_wait_targets=MAX_WAIT_TARGETS
        )

    def list_services(self) -> list[ServiceName]:
        """Return the services for which callers have sent requests."""
        return list(self._meters)

    def record_arrival(self, job: Job, now_s: float) -> None:
        """Count a caller's request."""
        size = PLAIN_SIZE_TOKENS if job.prompt is None else job.prompt.tokens
        self._get_meter(job.service).record_arrival(job.urgency, size, now_s)

    def record_rejection(self, service: ServiceName, urgency: int, now_s: float) -> None:
        """Count a job that found no room, here or at its upstream."""
        self._get_meter(service).record_rejection(urgency, now_s)

    def keep_in_line(self, job: Job, now_s: float) -> Waiting | None:
        """Let a job wait on while it is the turn of others; see ``WaitingLines``."""
        kept = self._lines.keep_in_line(job, now_s)
        if kept is not None:
            self._record_waiting(job, kept, now_s)
        return kept

    def record_placed(self, job: Job, placed: Placement | Refused | Waiting, now_s: float) -> None:
        """Count the result of placing a job."""
        self._lines.record_placed(job, placed, now_s)
        meter = self._get_meter(job.service)
        match placed:
            case Waiting():
                self._record_waiting(job, placed, now_s)
            case Placement():
                meter.forget_waiting(job.attempt_id)
                meter.record_placement(job.urgency, now_s)
            case Refused():
                meter.forget_waiting(job.attempt_id)

    def measure(
        self, service: ServiceName, sent_overdue: Mapping[int, int], now_s: float
    ) -> dict[int, UrgencyTraffic]:
        """Return this host's jobs for a service by urgency.

        Args:
            sent_overdue: Number of overdue jobs by urgency that wait at upstreams.
        """
        return self._get_meter(service).measure(sent_overdue, now_s)

    def refuse_if_queue_is_full(
        self, job: Job, urgencies: Urgencies, upstreams: int, now_s: float
    ) -> Refused | None:
        """Refuse a job that begins to wait here if as many wait as can be sent in time.

        A stream that has begun is not refused: its caller has part of the answer.

        Args:
            urgencies: Jobs of all hosts for the service by urgency.
            upstreams: Number of upstreams of the service.
        """
        is_waiting = self._get_meter(job.service).is_waiting(job.attempt_id)
        if is_waiting or job.began_at is not None:
            return None
        requests = urgencies.get(job.urgency, UrgencyTraffic())
        if not is_queue_full(requests, upstreams, MAX_WAIT_TARGETS * job.route.target_s):
            return None
        reason = f"{requests.waiting:.0f} requests of the same urgency wait"
        return self.reject(job, ResultCode.QUEUE_FULL, reason, now_s)

    def keep_back(self, job: Job, urgencies: Urgencies, now_s: float) -> Waiting | Refused | None:
        """Keep a job here while more urgent ones get no room; a stream that has begun goes on.

        Args:
            urgencies: Jobs of all hosts for the service by urgency.
        """
        if job.began_at is not None:
            return None
        urgent = find_urgency_in_need(urgencies, job.urgency)
        if urgent is None:
            return None
        reason = f"requests of urgency {urgent} are overdue"
        if may_wait(job, now_s):
            return Waiting(delay_s=URGENT_RECHECK_S * (0.5 + self._draw()), reason=reason)
        return self.reject(job, ResultCode.SHED, reason, now_s)

    def reject(self, job: Job, code: ResultCode, reason: str, now_s: float) -> Refused:
        """Refuse a job for lack of room, and count that."""
        self.record_rejection(job.service, job.urgency, now_s)
        retry_after_s = OVERLOAD_RETRY_S * (0.5 + self._draw())
        return Refused(code=code, retry_after_s=retry_after_s, reason=reason)

    def _record_waiting(self, job: Job, waiting: Waiting, now_s: float) -> None:
        self._get_meter(job.service).record_waiting(
            job.attempt_id,
            urgency=job.urgency,
            due_s=job.arrived_s + OVERDUE_TARGETS * job.route.target_s,
            now_s=now_s,
            delay_s=waiting.delay_s,
        )

    def _get_meter(self, service: ServiceName) -> OverloadMeter:
        return self._meters.setdefault(service, OverloadMeter())


def may_wait(job: Job, now_s: float) -> bool:
    """Whether a job may still wait on its host."""
    latest_s = job.arrived_s + MAX_WAIT_TARGETS * job.route.target_s
    return now_s < min(latest_s, job.deadline_s)
