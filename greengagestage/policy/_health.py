"""Whether an upstream is in use: circuit breaking, ejection of stragglers, probing."""

from dataclasses import dataclass, field
from enum import Enum

from greengagestage.ids import WorkspaceId

from ._speeds import MovingAverage

FAILURES_TO_OPEN = 3
FIRST_BACKOFF_S = 1.0
BACKOFF_FACTOR = 2.0
BACKOFF_LIMIT_S = 60.0
EJECTION_S = 10.0
SAMPLES_NEEDED = 4
SLOW_FACTOR = 3.0
SLOW_PROBE_FACTOR = 2.0
SLOW_FIRST_TOKEN_MARGIN_S = 0.25
SLOW_INTER_TOKEN_MARGIN_S = 0.005
EJECTED_SHARE_LIMIT = 1.0 / 3.0


class HealthState(Enum):
    """How much work an upstream is trusted with."""

    IN_USE = "in_use"
    EJECTED = "out"
    PROBING = "probing"


class OutReason(Enum):
    """Why an upstream is out of use."""

    FAILURES = "failures"
    STRAGGLER = "straggler"


@dataclass(slots=True, kw_only=True, eq=False)
class Health:
    """The health of one upstream.

    Attributes:
        error_workspaces: Workspaces that had an error since the last success.
        out_until_s: Time from which a probe may be sent.
        backoff_s: How long the upstream stays out the next time.
        not_before_s: Time before which a busy upstream asked not to be used.
    """

    state: HealthState = HealthState.IN_USE
    reason: OutReason | None = None
    failures: int = 0
    error_workspaces: list[WorkspaceId] = field(default_factory=list)
    out_until_s: float = 0.0
    backoff_s: float = FIRST_BACKOFF_S
    busy_until_s: float = 0.0
    first_token_s: MovingAverage = field(default_factory=MovingAverage)
    inter_token_s: MovingAverage = field(default_factory=MovingAverage)

    def is_usable(self, now_s: float, idempotent: bool) -> bool:
        """Return whether a request may be sent, as work or as a probe."""
        if now_s < self.busy_until_s:
            return False
        if self.state is HealthState.IN_USE:
            return True
        return self.state is HealthState.EJECTED and now_s >= self.out_until_s and idempotent

    def start_probe(self) -> None:
        """Note that one request decides whether the upstream is used again."""
        self.state = HealthState.PROBING

    def abandon_probe(self) -> None:
        """Note that the probe ended without saying anything."""
        if self.state is HealthState.PROBING:
            self.state = HealthState.EJECTED

    def note_success(self, probe: bool) -> None:
        """Note that an attempt went well."""
        self.failures = 0
        self.error_workspaces.clear()
        if probe and self.state is HealthState.PROBING:
            self.state = HealthState.IN_USE
            self.reason = None
            self.backoff_s = FIRST_BACKOFF_S
            self.first_token_s.reset()
            self.inter_token_s.reset()

    def is_new_error(self, workspace: WorkspaceId) -> bool:
        """Return whether an error says something new: the requests of one workspace may be bad."""
        if workspace in self.error_workspaces:
            return False
        self.error_workspaces.append(workspace)
        return True

    def note_failure(self, now_s: float, *, probe: bool, certain: bool) -> bool:
        """Note that an attempt failed; return whether the upstream went out of use."""
        self.failures += 1
        failed_probe = probe and self.state is HealthState.PROBING
        enough = self.state is HealthState.IN_USE and (certain or self.failures >= FAILURES_TO_OPEN)
        if failed_probe or enough:
            self.take_out(now_s, OutReason.FAILURES, self.backoff_s)
            return True
        return False

    def take_out(self, now_s: float, reason: OutReason, for_s: float) -> None:
        """Stop using the upstream for a time; the next time lasts longer."""
        self.state = HealthState.EJECTED
        self.reason = reason
        self.out_until_s = now_s + for_s
        self.backoff_s = min(BACKOFF_LIMIT_S, max(self.backoff_s, for_s) * BACKOFF_FACTOR)


def is_straggler(health: Health, peers: list[Health]) -> bool:
    """Return whether an upstream is far slower than the median of its peers."""
    first = _find_median([p.first_token_s for p in peers])
    inter = _find_median([p.inter_token_s for p in peers])
    return _is_slow(health.first_token_s, first, SLOW_FIRST_TOKEN_MARGIN_S) or _is_slow(
        health.inter_token_s, inter, SLOW_INTER_TOKEN_MARGIN_S
    )


def is_slow_probe(interval_s: float, peers: list[Health]) -> bool:
    """Return whether a probe's time between tokens is far above the median of the peers."""
    median = _find_median([p.inter_token_s for p in peers])
    if median is None:
        return False
    return interval_s > max(SLOW_PROBE_FACTOR * median, median + SLOW_INTER_TOKEN_MARGIN_S)


def may_eject(out: int, total: int) -> bool:
    """Return whether one more upstream of a pool may be ejected."""
    return out + 1 <= total * EJECTED_SHARE_LIMIT


def _is_slow(average: MovingAverage, median: float | None, margin_s: float) -> bool:
    if median is None or average.samples < SAMPLES_NEEDED:
        return False
    return average.value > max(SLOW_FACTOR * median, median + margin_s)


def _find_median(averages: list[MovingAverage]) -> float | None:
    values = sorted(a.value for a in averages if a.samples >= SAMPLES_NEEDED)
    return values[len(values) // 2] if values else None
