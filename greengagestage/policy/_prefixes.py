"""The prompt prefixes that an upstream has probably cached."""

from collections import OrderedDict
from collections.abc import Sequence

PREFIXES_LIMIT = 512


class SentPrefixes:
    """The prefixes that this host sent to one upstream most recently."""

    def __init__(self) -> None:
        self._prefixes: OrderedDict[int, None] = OrderedDict()

    def note_sent(self, prefix_hashes: Sequence[int]) -> None:
        """Record that a prompt with these prefixes was sent."""
        for prefix in prefix_hashes:
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > PREFIXES_LIMIT:
            self._prefixes.popitem(last=False)

    def clear(self) -> None:
        """Remove all prefixes, because the upstream may have lost its cache."""
        self._prefixes.clear()

    def estimate_hit(self, prefix_hashes: Sequence[int], reported: frozenset[int]) -> float:
        """Return the share of a prompt's prefixes that is probably cached, from 0 to 1."""
        for length in range(len(prefix_hashes), 0, -1):
            prefix = prefix_hashes[length - 1]
            if prefix in self._prefixes or prefix in reported:
                return length / len(prefix_hashes)
        return 0.0
