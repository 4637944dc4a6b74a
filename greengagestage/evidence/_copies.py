"""What a copy of a table proves about rows that it does not contain."""

REWRITE_S = 2.3
"""Time after the return of the store in which its writers may not have repeated what expired or was
lost. They do so within about two seconds."""

MAX_GAP_S = 1.5
"""A longer time between two confirmations of a copy is a gap. It is longer than the usual time
between two reads, and shorter than the time for which a silent writer's entry stays."""


class CopyEvidence:
    """Tracks whether rows that exist may be missing from a host's copy of a table.

    The store shows all rows that were acknowledged, with two exceptions. After an outage, entries
    have expired whose writers could not renew them. In a new era, the newest writes are lost. The
    writers repeat both, and until then a missing row does not prove that its writer is gone. A host
    whose own copy has a gap cannot tell an outage of the store from a cut of its own.

    Times are in seconds of a clock that runs on while the host is suspended.
    """

    def __init__(self) -> None:
        self._watched_from_s: float | None = None
        self._confirmed_s: float | None = None
        self._complete_from_s = 0.0

    def await_rewrites(self, now_s: float) -> None:
        """Record that the store may have lost its newest writes, as in a new era."""
        self._complete_from_s = now_s + REWRITE_S

    def record_era(self, known_s: float) -> None:
        """Record that the current era had begun at a time in the past."""
        self._complete_from_s = min(self._complete_from_s, known_s + REWRITE_S)

    def record_failure(self, now_s: float) -> None:
        """Record that the store could not be reached, perhaps by its writers neither."""
        if not self.is_complete(now_s):
            self._complete_from_s = now_s + REWRITE_S

    def detect_gap(self, now_s: float) -> float | None:
        """Return the seconds since the last confirmation if changes may have been missed since.

        Called when the store, or a report of a read, shows the table again.
        """
        if self._confirmed_s is None or now_s - self._confirmed_s <= MAX_GAP_S:
            return None
        self._complete_from_s = max(self._complete_from_s, now_s + REWRITE_S)
        return now_s - self._confirmed_s

    def record_confirmation(self, now_s: float) -> None:
        """Record that the copy is known to be current."""
        if self._watched_from_s is None:
            self._watched_from_s = now_s + REWRITE_S
        self._confirmed_s = now_s

    def is_complete(self, shown_s: float) -> bool:
        """Whether each row that is in force was in the table if it was read at that time."""
        return shown_s >= self._complete_from_s

    def can_vouch(self, now_s: float) -> bool:
        """Whether other hosts may rely on this copy to tell a cut of their own from an outage."""
        watched_from_s = self._watched_from_s
        return self.is_complete(now_s) and watched_from_s is not None and now_s >= watched_from_s
