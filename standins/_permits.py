"""Rate-limited permits to read from the weight store."""


class PermitRateLimiter:
    """A token bucket that issues permits."""

    def __init__(self, *, rate_per_s: float, burst: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._available = float(burst)
        self._updated_s: float | None = None
        self._granted = 0

    def acquire(self, now_s: float) -> str | None:
        """Return a permit, or None when the bucket is empty."""
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        self._available = min(self._burst, self._available + elapsed_s * self._rate_per_s)
        if self._available < 1:
            return None
        self._available -= 1
        self._granted += 1
        return f"permit-{self._granted}"

    def compute_wait_s(self) -> float:
        """Return the time until the next permit becomes available."""
        return max(0.0, (1 - self._available) / self._rate_per_s)
