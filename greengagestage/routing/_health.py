"""The health of one upstream, as seen from the results of this host's requests."""

MIN_EXCLUSION_S = 0.5
MAX_EXCLUSION_S = 4.0
"""Consecutive exclusions double from the first to the second duration. A crashed upstream returns
after a few seconds, and a lost connection alone does not mean a crash."""

LOSSES_TO_EXCLUDE = 2
"""Consecutive lost answers that exclude an upstream. Single answers get lost without a crash."""

FAILURE_WEIGHT = 0.15
"""Weight of the latest answer in the moving average of failures, which covers about ten answers."""

FULL_EXCLUSION_S = 0.15
"""Time for which an upstream at capacity gets no new requests: a few batch steps."""


class Health:
    """Tracks the failures of one upstream and excludes it for a while after some of them.

    An upstream at capacity is also excluded for a moment, which is no failure.

    Attributes:
        failure_share: Share of failed and lost answers among all answers, as a moving average from
            0 to 1. Failed connections and refusals at capacity are not counted.
    """

    def __init__(self) -> None:
        self.failure_share = 0.0
        self._losses = 0
        self._exclusions = 0
        self._excluded_until_s = 0.0

    def __repr__(self) -> str:
        return f"Health(failure_share={self.failure_share:.2f}, losses={self._losses})"

    def is_excluded(self, now_s: float) -> bool:
        """Whether the upstream is used only if no other one is available."""
        return now_s < self._excluded_until_s

    def record_answer(self, *, failed: bool) -> None:
        """Record an answer that was not lost, which also ends a series of losses.

        Args:
            failed: Whether it was an error, malformed or unproven. A response without proof of its
                upstream is recorded as soon as its head has arrived.
        """
        self._losses = 0
        self._exclusions = 0
        self.failure_share += FAILURE_WEIGHT * (float(failed) - self.failure_share)

    def record_lost_answer(self, now_s: float) -> None:
        """Record an answer that was lost or did not arrive in time."""
        self._losses += 1
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share)
        if self._losses >= LOSSES_TO_EXCLUDE:
            self._exclude(now_s)

    def record_connection_failure(self, now_s: float) -> None:
        """Record a failed attempt to connect, which excludes the upstream at once."""
        self._exclude(now_s)

    def end_exclusion(self) -> None:
        """Use the upstream again, since its failures had another cause."""
        self._exclusions = 0
        self._excluded_until_s = 0.0

    def record_full(self, now_s: float) -> None:
        """Record that the upstream refused a request, and exclude it for a moment.

        Every refusal before a run is taken to mean that the upstream is at capacity.
        """
        self._excluded_until_s = max(self._excluded_until_s, now_s + FULL_EXCLUSION_S)

    def _exclude(self, now_s: float) -> None:
        exclusion_s = min(MIN_EXCLUSION_S * 2**self._exclusions, MAX_EXCLUSION_S)
        self._exclusions += 1
        self._excluded_until_s = now_s + exclusion_s
