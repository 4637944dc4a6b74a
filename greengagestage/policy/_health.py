"""Health of an upstream: circuit breaking, ejection of slow upstreams, and probing."""

from dataclasses import dataclass, field
from enum import Enum

from greengagestage.ids import WorkspaceId

from ._latencies import MovingAverage

FAILURES_TO_EJECT = 3
INITIAL_BACKOFF_S = 1.0
BACKOFF_FACTOR = 2.0
MAXIMUM_BACKOFF_S = 60.0
STRAGGLER_EJECTION_S = 10.0
MINIMUM_SAMPLES = 4
SLOW_FACTOR = 3.0
SLOW_PROBE_FACTOR = 2.0
SLOW_FIRST_TOKEN_MARGIN_S = 0.25
SLOW_INTER_TOKEN_MARGIN_S = 0.005
EJECTED_FRACTION_LIMIT = 1.0 / 3.0


class HealthState(Enum):
    """Whether an upstream receives requests."""

    IN_USE = "in_use"
    EJECTED = "out"
    PROBING = "probing"


class EjectionReason(Enum):
    """Why an upstream was ejected."""

    FAILURES = "failures"
    STRAGGLER = "straggler"


@dataclass(slots=True, kw_only=True, eq=False)
class Health:
    """The health and the latency averages of one upstream.

    Attributes:
        failures: Failed attempts since the last success.
        error_workspaces: Workspaces whose requests had an error since the last success.
        ejected_until_s: Time from which a probe may be sent to an ejected upstream.
        backoff_s: Duration of the next ejection for failures or a slow probe. A straggler that is
            in use is ejected for ``STRAGGLER_EJECTION_S``.
        busy_until_s: Time before which a busy upstream asked not to receive requests.
        first_token_s: Average duration from a dispatch to the first token.
        inter_token_s: Average duration between tokens.
    """

    state: HealthState = HealthState.IN_USE
    reason: EjectionReason | None = None
    failures: int = 0
    error_workspaces: list[WorkspaceId] = field(default_factory=list)
    ejected_until_s: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    busy_until_s: float = 0.0
    first_token_s: MovingAverage = field(default_factory=MovingAverage)
    inter_token_s: MovingAverage = field(default_factory=MovingAverage)

    def is_usable(self, now_s: float, idempotent: bool) -> bool:
        """Return whether a request may be sent to the upstream, regularly or as a probe."""
        if now_s < self.busy_until_s:
            return False
        if self.state is HealthState.IN_USE:
            return True
        return self.state is HealthState.EJECTED and now_s >= self.ejected_until_s and idempotent

    def start_probe(self) -> None:
        """Enter the probing state: the result of one request decides the upstream's state."""
        self.state = HealthState.PROBING

    def abandon_probe(self) -> None:
        """Return to the ejected state after a probe that ended without a result."""
        if self.state is HealthState.PROBING:
            self.state = HealthState.EJECTED

    def note_success(self, probe: bool) -> None:
        """Record a successful attempt. A successful probe ends the ejection."""
        self.failures = 0
        self.error_workspaces.clear()
        if probe and self.state is HealthState.PROBING:
            self.state = HealthState.IN_USE
            self.reason = None
            self.backoff_s = INITIAL_BACKOFF_S
            self.first_token_s.reset()
            self.inter_token_s.reset()

    def note_error(self, workspace: WorkspaceId) -> bool:
        """Record an error and return whether it is the workspace's first since the last success.

        Further errors of the same workspace are not counted, because its requests may be invalid.
        """
        if workspace in self.error_workspaces:
            return False
        self.error_workspaces.append(workspace)
        return True

    def note_failure(self, now_s: float, *, probe: bool, conclusive: bool) -> bool:
        """Record a failed attempt and return whether the upstream was ejected.

        A conclusive failure ejects an upstream at once, without waiting for ``FAILURES_TO_EJECT``.
        """
        self.failures += 1
        failed_probe = probe and self.state is HealthState.PROBING
        failing = self.state is HealthState.IN_USE and (
            conclusive or self.failures >= FAILURES_TO_EJECT
        )
        if failed_probe or failing:
            self.eject(now_s, EjectionReason.FAILURES, self.backoff_s)
            return True
        return False

    def eject(self, now_s: float, reason: EjectionReason, duration_s: float) -> None:
        """Eject the upstream for a duration in seconds and lengthen the next backoff."""
        self.state = HealthState.EJECTED
        self.reason = reason
        self.ejected_until_s = now_s + duration_s
        self.backoff_s = min(MAXIMUM_BACKOFF_S, max(self.backoff_s, duration_s) * BACKOFF_FACTOR)


def is_straggler(health: Health, others: list[Health]) -> bool:
    """Return whether an upstream is much slower than the median of the pool's others."""
    first = _find_median([other.first_token_s for other in others])
    inter = _find_median([other.inter_token_s for other in others])
    return _is_slow(health.first_token_s, first, SLOW_FIRST_TOKEN_MARGIN_S) or _is_slow(
        health.inter_token_s, inter, SLOW_INTER_TOKEN_MARGIN_S
    )


def is_slow_probe(inter_token_s: float, others: list[Health]) -> bool:
    """Return whether a probe's time between tokens is far above the median of the others."""
    median = _find_median([other.inter_token_s for other in others])
    if median is None:
        return False
    return inter_token_s > max(SLOW_PROBE_FACTOR * median, median + SLOW_INTER_TOKEN_MARGIN_S)


def may_eject(ejected: int, total: int) -> bool:
    """Return whether one more upstream of a pool may be ejected as a straggler."""
    return ejected + 1 <= total * EJECTED_FRACTION_LIMIT


def _is_slow(average: MovingAverage, median: float | None, margin_s: float) -> bool:
    if median is None or average.samples < MINIMUM_SAMPLES:
        return False
    return average.value > max(SLOW_FACTOR * median, median + margin_s)


def _find_median(averages: list[MovingAverage]) -> float | None:
    values = sorted(a.value for a in averages if a.samples >= MINIMUM_SAMPLES)
    return values[len(values) // 2] if values else None
