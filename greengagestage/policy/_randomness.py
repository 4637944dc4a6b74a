"""Numbers that look random and repeat exactly from a seed."""

import xxhash

UINT64_RANGE = float(2**64)


class Generator:
    """A sequence of numbers derived from a seed by hashing a counter."""

    def __init__(self, *, seed: int, name: str) -> None:
        self._seed = xxhash.xxh64_intdigest(name.encode(), seed=seed & (2**64 - 1))
        self._counter = 0

    def draw(self) -> float:
        """Return the next number, in [0, 1)."""
        self._counter += 1
        return xxhash.xxh64_intdigest(b"%d" % self._counter, seed=self._seed) / UINT64_RANGE
