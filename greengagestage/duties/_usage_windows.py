"""Usage windows as a holder decides them from the counts of all hosts, without input or output.

Times are in Unix seconds.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from greengagestage.ids import HostId, WorkspaceId

from ._messages import UsageReport

FINAL_WAIT_S = 3.0
"""Time after the end of a window in which the final counts of all hosts are awaited."""

TAKEOVER_WAIT_S = 1.0
"""Time after a takeover in which the hosts report the kept windows to the new holder."""

LEAVING_MARGIN_S = 1.0
"""Final counts that arrive this long before the end of their window are those of a leaving host;
later ones may be due to a clock that is ahead."""

RETENTION_S = 60.0
"""Time after the end of a window for which its decision is kept."""

Process = tuple[HostId, int]
"""A host, and the start of its process in Unix milliseconds."""


@dataclass(slots=True, kw_only=True)
class _ProcessCounts:
    counts: dict[WorkspaceId, int] = field(default_factory=dict)
    final_parts: set[int] = field(default_factory=set)
    is_final: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """The counts of a window, to be written to the store and then reported.

    Attributes:
        hosts: Number of host processes that contributed.
        missing: Hosts whose final counts have not arrived.
    """

    window: int
    counts: Mapping[WorkspaceId, int]
    hosts: int
    missing: tuple[HostId, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Term:
    """When this host has begun to hold the duty, and the store its era.

    Attributes:
        acquired_s: Start of the lease's term.
        era_since_s: Since when this host knows the store's era. If the lease is older, its holder
            knows what it has decided before.
    """

    acquired_s: float
    era_since_s: float


class UsageWindows:
    """The counts that hosts have reported, and the windows that are decided and reported.

    Args:
        window_s: Length of a window.
        late_s: Time after the end of a window until which its report is accepted.

    Attributes:
        reported: Number of windows whose report was accepted.
        late: Number of those that were accepted too late.
        missed: Number of windows that this host could not report as their holder.
    """

    def __init__(self, *, window_s: float, late_s: float) -> None:
        self._window_s = window_s
        self._late_s = late_s
        self._received: dict[int, dict[Process, _ProcessCounts]] = {}
        self._left: set[Process] = set()
        self._decided: dict[int, Mapping[WorkspaceId, int]] = {}
        self._ended: set[int] = set()
        self._oldest_kept = 0
        self.reported = 0
        self.late = 0
        self.missed = 0

    @property
    def newest_decided(self) -> int:
        """The newest decided window; -1 if none is."""
        return max(self._decided, default=-1)

    def compute_settled(self, now_s: float) -> int:
        """Return the window up to which none remains to be reported; -1 if none is known."""
        known = self._received.keys() | self._decided.keys()
        open_windows = [window for window in self._list_open(now_s) if window in known]
        oldest_open = min(open_windows, default=int(now_s // self._window_s))
        return max((window for window in self._ended if window < oldest_open), default=-1)

    def learn_settled(self, settled: int, now_s: float) -> None:
        """Record that another holder has left no window up to this one to be reported."""
        self._ended.update(window for window in self._list_open(now_s) if window <= settled)

    def receive(self, process: Process, report: UsageReport, now_s: float) -> bool:
        """Merge cumulative counts of a host; return whether its final counts are complete."""
        window = self._received.setdefault(report.window, {})
        kept = window.setdefault(process, _ProcessCounts())
        for workspace, count in report.counts.items():
            kept.counts[workspace] = max(kept.counts.get(workspace, 0), count)
        if report.final:
            kept.final_parts.add(report.part)
            kept.is_final = len(kept.final_parts) >= report.parts
            if kept.is_final and now_s < self._end_s(report.window) - LEAVING_MARGIN_S:
                self._left.add(process)
        return kept.is_final

    def learn_decision(self, window: int, counts: Mapping[WorkspaceId, int]) -> None:
        """Record the decision that a row of the store contains; the first one known stays."""
        self._decided.setdefault(window, counts)

    def plan_decision(self, term: Term, now_s: float) -> Decision | None:
        """Return the next window to decide now; None if there is none."""
        for window in self._list_open(now_s):
            if window in self._decided or not self._received.get(window):
                continue
            if not self._knows_decisions(window, term):
                continue
            missing = self._list_missing(window)
            awaited_s = max(self._end_s(window) + FINAL_WAIT_S, term.acquired_s + TAKEOVER_WAIT_S)
            settled_s = max(self._end_s(window), term.acquired_s + TAKEOVER_WAIT_S)
            if now_s >= awaited_s or (now_s >= settled_s and not missing):
                return self._decide(window, missing)
        return None

    def find_unreported(self, now_s: float) -> tuple[int, Mapping[WorkspaceId, int]] | None:
        """Return the oldest window that is decided and to be reported, with its counts."""
        for window in self._list_open(now_s):
            if window in self._decided:
                return window, self._decided[window]
        return None

    def record_accepted(self, window: int, now_s: float) -> bool:
        """Record that a report was accepted; return whether in time."""
        in_time = now_s <= self._end_s(window) + self._late_s
        if window not in self._ended:
            self._ended.add(window)
            self.reported += 1
            self.late += not in_time
        return in_time

    def take_missed(self, term: Term, now_s: float) -> list[tuple[int, str]]:
        """Return the windows that have just become too late, with the reasons; then forget them.

        Only those with counts that were due in this host's term.
        """
        missed = []
        for window in sorted(set(self._received) | set(self._decided)):
            due_s = self._end_s(window) + self._late_s
            if window in self._ended or now_s <= due_s:
                continue
            self._ended.add(window)
            if due_s > term.acquired_s:
                self.missed += 1
                missed.append((window, self._explain_miss(window, term)))
        return missed

    def forget(self, now_s: float) -> list[int]:
        """Forget the windows that are older than their retention; return those decided."""
        oldest = int((now_s - RETENTION_S) // self._window_s)
        if oldest <= self._oldest_kept:
            return []
        self._oldest_kept = oldest
        removed = [window for window in self._decided if window < oldest]
        for window in removed:
            del self._decided[window]
        self._received = {w: kept for w, kept in self._received.items() if w >= oldest}
        self._ended = {window for window in self._ended if window >= oldest}
        processes = {process for kept in self._received.values() for process in kept}
        self._left &= processes
        return removed

    def list_hosts(self, now_s: float) -> set[HostId]:
        """Return the hosts that have reported lately and are not leaving."""
        current = int(now_s // self._window_s)
        processes = self._received.get(current, {}).keys() | self._received.get(current - 1, {})
        return {process[0] for process in processes - self._left}

    def _list_open(self, now_s: float) -> list[int]:
        """Return the windows that have ended and are neither reported nor too late."""
        oldest = int((now_s - self._late_s) // self._window_s)
        current = int(now_s // self._window_s)
        return [
            window
            for window in range(max(oldest, 0), current)
            if window not in self._ended and now_s <= self._end_s(window) + self._late_s
        ]

    def _knows_decisions(self, window: int, term: Term) -> bool:
        """Whether a decision of the window would be in the store or is known to this host."""
        return self._end_s(window) > term.era_since_s or term.acquired_s < term.era_since_s

    def _list_missing(self, window: int) -> tuple[HostId, ...]:
        """Return the hosts that were heard lately and whose final counts have not arrived."""
        counts = self._received[window]
        before = self._received.get(window - 1, {})
        awaited = (counts.keys() | before.keys()) - self._left
        return tuple(
            sorted(host for host, started in awaited if not self._is_final(window, (host, started)))
        )

    def _is_final(self, window: int, process: Process) -> bool:
        kept = self._received[window].get(process)
        return kept is not None and kept.is_final

    def _decide(self, window: int, missing: tuple[HostId, ...]) -> Decision:
        total: Counter[WorkspaceId] = Counter()
        received = self._received[window]
        for kept in received.values():
            total.update(kept.counts)
        counts = {workspace: total[workspace] for workspace in sorted(total)}
        return Decision(window=window, counts=counts, hosts=len(received), missing=missing)

    def _explain_miss(self, window: int, term: Term) -> str:
        if window in self._decided:
            return "no report was accepted in time"
        if not self._knows_decisions(window, term):
            return "the store may have lost the decision"
        return "not decided in time"

    def _end_s(self, window: int) -> float:
        return (window + 1) * self._window_s
