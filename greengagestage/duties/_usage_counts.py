"""Counts of the requests that begin at this host, and when they are reported to the holder.

No input or output. Times are in Unix seconds.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from greengagestage.ids import WorkspaceId

from ._messages import UsageReport, split_counts

KEPT_WINDOWS = 4
"""Windows that are kept for a new holder, besides the current one."""

REPORT_INTERVAL_S = 1.25
"""Time between two reports of counts that have changed."""

REPEAT_INTERVAL_S = 0.5
"""Time between two reports of final counts that the holder has not confirmed."""


@dataclass(slots=True, kw_only=True)
class _Window:
    counts: Counter[WorkspaceId] = field(default_factory=Counter)
    sent: int = -1
    sent_s: float = 0.0
    final_sent: bool = False
    settled: bool = False

    @property
    def total(self) -> int:
        return sum(self.counts.values())


class UsageCounts:
    """This host's counts by window.

    Args:
        window_s: Length of a window.
        now_s: Start of the counting; earlier windows are not reported.
    """

    def __init__(self, *, window_s: float, now_s: float) -> None:
        self._window_s = window_s
        self._newest = int(now_s // window_s)
        self._windows = {self._newest: _Window()}
        self._leaving = False

    def count(self, workspace: WorkspaceId, now_s: float) -> None:
        """Count a request that has begun."""
        self._advance(now_s)
        self._windows[self._newest].counts[workspace] += 1

    def get(self, window: int) -> Mapping[WorkspaceId, int] | None:
        """Return the counts of a window; None of one that is not kept."""
        kept = self._windows.get(window)
        return None if kept is None else kept.counts

    def list_windows(self) -> list[int]:
        """Return the kept windows, the oldest first."""
        return sorted(self._windows)

    def is_final(self, window: int, now_s: float) -> bool:
        """Whether no request can begin in a window any more."""
        return self._leaving or now_s >= (window + 1) * self._window_s

    def begin_leaving(self) -> None:
        """Record that no request begins at this host any more."""
        self._leaving = True
        for window in self._windows.values():
            window.final_sent = False

    def settle(self, windows: Iterable[int], now_s: float) -> None:
        """Stop reporting windows whose final counts the holder has, or does not need any more."""
        for window in windows:
            if window in self._windows and self.is_final(window, now_s):
                self._windows[window].settled = True

    def settle_until(self, window: int, now_s: float) -> None:
        """Stop reporting the windows up to one whose decision is known."""
        self.settle([kept for kept in self._windows if kept <= window], now_s)

    def begin_holder(self) -> None:
        """Report all kept windows again, to a new holder."""
        for window in self._windows.values():
            window.sent, window.final_sent, window.settled = -1, False, False

    def plan_reports(self, now_s: float) -> list[UsageReport]:
        """Return the reports to send now."""
        self._advance(now_s)
        return [
            report
            for window in sorted(self._windows)
            if self._is_due(window, now_s)
            for report in self._build_reports(window, now_s)
        ]

    def _is_due(self, window: int, now_s: float) -> bool:
        kept = self._windows[window]
        if self.is_final(window, now_s):
            elapsed_s = abs(now_s - kept.sent_s)
            return not kept.settled and (not kept.final_sent or elapsed_s >= REPEAT_INTERVAL_S)
        return kept.sent < 0 or (
            kept.sent != kept.total and abs(now_s - kept.sent_s) >= REPORT_INTERVAL_S
        )

    def _build_reports(self, window: int, now_s: float) -> list[UsageReport]:
        kept = self._windows[window]
        kept.sent, kept.sent_s = kept.total, now_s
        kept.final_sent = self.is_final(window, now_s)
        parts = list(split_counts(kept.counts))
        return [
            UsageReport(window, part, kept.final_sent, number, len(parts))
            for number, part in enumerate(parts)
        ]

    def _advance(self, now_s: float) -> None:
        """Begin the current window; a clock that was set back does not return to an older one."""
        current = int(now_s // self._window_s)
        while self._newest < current:
            self._newest = max(self._newest + 1, current - KEPT_WINDOWS)
            self._windows[self._newest] = _Window()
        for window in [kept for kept in self._windows if kept < self._newest - KEPT_WINDOWS]:
            del self._windows[window]
