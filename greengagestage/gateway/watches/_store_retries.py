"""Pauses after failed calls to the store: short on hosts that probe for all, longer on others."""

from random import Random

from .._loops import add_jitter

PROBING_HOSTS = 2
"""Hosts that keep probing at the shortest pause, the first by rank. Their reports tell the other
hosts at once when the store is back, so that an outage costs few calls in a large fleet."""

CONFIRMED_AGE_S = 2.0
"""Up to this age a host's copy counts as confirmed by the reports of other hosts."""

LONGEST_CONFIRMED_S = 1.0
"""Longest pause of a host that the store turns away while others confirm its copy."""

LONGEST_UNCONFIRMED_S = 0.5
"""Longest pause of a host whose copy nobody confirms. It must stay well below the revocation bound,
after which the host refuses requests with keys."""


class StoreRetries:
    """Doubles the pause with each failure in a row, up to a limit; jitter changes it by up to 50%.

    Args:
        first_s: Pause after the first failure, in seconds.
    """

    def __init__(self, *, first_s: float, random: Random) -> None:
        self._first_s = first_s
        self._random = random
        self._failures = 0

    def record_success(self) -> None:
        """Begin again with the shortest pause."""
        self._failures = 0

    def record_failure(self, *, rank: int, age_s: float | None) -> float:
        """Count a failed call and return the pause before the next one, in seconds.

        Args:
            rank: This host's position among all hosts.
            age_s: Age of this host's copy; None before the first one.
        """
        pause_s = self._first_s * 2.0 ** min(self._failures, 10)
        self._failures += 1
        if rank < PROBING_HOSTS:
            return add_jitter(self._first_s, self._random)
        confirmed = age_s is not None and age_s <= CONFIRMED_AGE_S
        longest_s = LONGEST_CONFIRMED_S if confirmed else LONGEST_UNCONFIRMED_S
        return add_jitter(min(pause_s, longest_s), self._random)
