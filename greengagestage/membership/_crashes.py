"""Decides when a fingerprint has crashed upstreams too often."""

from collections.abc import Iterable

from greengagestage.ids import Fingerprint, UpstreamName

CRASHES_TO_QUARANTINE = 2
SAME_CRASH_S = 5.0
"""Reports about one upstream within this time are about the same crash."""


class CrashCounter:
    """Counts the crashes at which a fingerprint was present, over all hosts."""

    def __init__(self) -> None:
        self._crashes: dict[Fingerprint, dict[UpstreamName, list[float]]] = {}

    def record(self, fingerprint: Fingerprint, upstream: UpstreamName, now_s: float) -> int:
        """Note a crash and return the number of separate crashes of the fingerprint."""
        upstreams = self._crashes.setdefault(fingerprint, {})
        times = upstreams.setdefault(upstream, [])
        if not times or now_s - times[-1] > SAME_CRASH_S:
            times.append(now_s)
        return sum(len(times) for times in upstreams.values())

    def forget_others(self, kept: Iterable[Fingerprint]) -> None:
        """Forget all fingerprints but some."""
        for fingerprint in self._crashes.keys() - set(kept):
            del self._crashes[fingerprint]
