"""Permits to read from the weight store, limited in rate."""


class PermitRate:
    """A token bucket."""

    def __init__(self, *, per_s: float, burst: int) -> None:
        self._per_s = per_s
        self._burst = burst
        self._available = float(burst)
        self._updated_s: float | None = None
        self._granted = 0

    def take(self, now_s: float) -> str | None:
        """Return a permit, or None when the rate is used up."""
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        self._available = min(self._burst, self._available + elapsed_s * self._per_s)
        if self._available < 1:
            return None
        self._available -= 1
        self._granted += 1
        return f"permit-{self._granted}"

    def compute_wait_s(self) -> float:
        """Return the time until the next permit."""
        return max(0.0, (1 - self._available) / self._per_s)
