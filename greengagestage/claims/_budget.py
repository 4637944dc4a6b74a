"""Rate limit for the transactions that this host sends to the table service."""

BURST_S = 3.0
MINIMUM_BURST_TRANSACTIONS = 10.0


class WriteBudget:
    """A token bucket of transactions.

    It may become negative, since the result of a claim is written even if the budget is spent.
    """

    def __init__(self, *, per_s: float, now_s: float) -> None:
        self._per_s = per_s
        self._updated_s = now_s
        self._tokens = self.capacity

    @property
    def per_s(self) -> float:
        """Transactions a second at which the bucket is refilled."""
        return self._per_s

    @property
    def capacity(self) -> float:
        """Transactions that may be sent at once from a full bucket."""
        return max(self._per_s * BURST_S, MINIMUM_BURST_TRANSACTIONS)

    def count_available(self, now_s: float) -> float:
        """Return the transactions that may be sent now.

        The number is negative after transactions that exceeded the budget.
        """
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        self._tokens = min(self.capacity, self._tokens + elapsed_s * self._per_s)
        return self._tokens

    def spend(self, now_s: float) -> None:
        """Take one transaction, whether or not one is available."""
        self._tokens = self.count_available(now_s) - 1.0

    def set_rate(self, per_s: float, now_s: float) -> None:
        """Change the rate from now on."""
        self.count_available(now_s)
        self._per_s = per_s
        self._tokens = min(self._tokens, self.capacity)

    def compute_used_share(self, now_s: float) -> float:
        """Return the used share of the capacity, from 0 (all available) to 1 (none)."""
        unused = self.count_available(now_s) / self.capacity
        return min(1.0, max(0.0, 1.0 - unused))
