"""How late the soak's own process was, which plays the callers, the links and the upstreams."""

from dataclasses import dataclass, field
from typing import Any

WATCH_INTERVAL_S = 0.05
MIN_LAG_S = 0.01


@dataclass(slots=True)
class Lag:
    """Spans in which the reactor called late, in order: when each call was due, and was made."""

    spans_s: list[tuple[float, float]] = field(default_factory=list)

    def find_sum_s(self, began_s: float, ended_s: float) -> float:
        """Return for how long in a span the process did not get to its sockets."""
        return sum(
            max(min(called_s, ended_s) - max(due_s, began_s), 0.0)
            for due_s, called_s in self.spans_s
        )

    def watch(self, reactor: Any) -> None:
        """Record from now on how late the reactor calls."""
        due_s = reactor.seconds() + WATCH_INTERVAL_S

        def record() -> None:
            now_s = reactor.seconds()
            if now_s > due_s + MIN_LAG_S:
                self.spans_s.append((due_s, now_s))
            self.watch(reactor)

        reactor.callLater(WATCH_INTERVAL_S, record)
