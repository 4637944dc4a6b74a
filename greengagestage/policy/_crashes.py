"""Requests that were present when upstreams crashed."""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from greengagestage.ids import Fingerprint, UpstreamName

SAME_CRASH_S = 10.0
REPORTS_SETTLE_S = 0.25
TURN_S = 2.0
SUSPICION_S = 900.0
SUSPECTS_LIMIT = 8192
QUARANTINE_LIMIT = 65536
CRASHES_TO_QUARANTINE = 2


@dataclass(slots=True, kw_only=True, eq=False)
class Crash:
    """The loss of one upstream and the fingerprints that were present."""

    upstream: UpstreamName
    at_s: float
    fingerprints: list[Fingerprint] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class Suspicion:
    """The crashes at which a fingerprint was present."""

    crashes: list[Crash] = field(default_factory=list)


@dataclass(frozen=True, slots=True, kw_only=True)
class Isolation:
    """Where and when a suspect runs, so that the suspects of one crash run apart.

    Every host computes the same from the same crash reports, which takes them a moment to get.

    Attributes:
        rank: Place of the suspect among those of its last crash.
        excluded: The upstream that crashed.
    """

    rank: int
    excluded_upstream: UpstreamName
    crashed_s: float

    def compute_start_time(self, upstreams: int, entry_hosts: int, arrived_s: float) -> float:
        """Return the time from which the suspect may run.

        A request that arrived after the crash may be sent again by a caller who has just had
        its final answer elsewhere, so it waits for the reports of that answer too.
        """
        if entry_hosts <= 1:
            return self.crashed_s
        turn = self.rank // max(upstreams, 1)
        return max(self.crashed_s + turn * TURN_S, arrived_s) + REPORTS_SETTLE_S


class CrashTracker:
    """Suspects and quarantined fingerprints of the whole fleet, as far as this host knows."""

    def __init__(self) -> None:
        self._suspicions: OrderedDict[Fingerprint, Suspicion] = OrderedDict()
        self._crashes: dict[UpstreamName, Crash] = {}
        self._quarantined: OrderedDict[Fingerprint, None] = OrderedDict()

    @property
    def suspects(self) -> int:
        """The number of suspects."""
        return len(self._suspicions)

    @property
    def quarantined(self) -> int:
        """The number of quarantined fingerprints."""
        return len(self._quarantined)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether a fingerprint must never run."""
        return fingerprint in self._quarantined

    def is_suspect(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Return whether a fingerprint was present at a crash not long ago."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return False
        if now_s - suspicion.crashes[-1].at_s > SUSPICION_S:
            del self._suspicions[fingerprint]
            return False
        return True

    def compute_isolation(self, fingerprint: Fingerprint) -> Isolation | None:
        """Return how a suspect runs apart from the other suspects of its last crash."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return None
        crash = suspicion.crashes[-1]
        present = sorted(crash.fingerprints, key=_hash)
        return Isolation(
            rank=present.index(fingerprint), excluded_upstream=crash.upstream, crashed_s=crash.at_s
        )

    def note_crash(self, fingerprint: Fingerprint, upstream: UpstreamName, now_s: float) -> bool:
        """Record a fingerprint's presence; return whether it was at enough crashes."""
        self.is_suspect(fingerprint, now_s)
        suspicion = self._suspicions.setdefault(fingerprint, Suspicion())
        crash = self._find_crash(upstream, now_s)
        if crash not in suspicion.crashes:
            suspicion.crashes.append(crash)
            crash.fingerprints.append(fingerprint)
        if len(self._suspicions) > SUSPECTS_LIMIT:
            self._suspicions.popitem(last=False)
        return len(suspicion.crashes) >= CRASHES_TO_QUARANTINE

    def _find_crash(self, upstream: UpstreamName, now_s: float) -> Crash:
        """Return the crash that a loss belongs to; losses close together are one crash."""
        crash = self._crashes.get(upstream)
        if crash is None or now_s - crash.at_s > SAME_CRASH_S:
            crash = self._crashes[upstream] = Crash(upstream=upstream, at_s=now_s)
        return crash

    def clear_suspect(self, fingerprint: Fingerprint) -> None:
        """Drop the suspicion of a fingerprint that ran to a clean end."""
        self._suspicions.pop(fingerprint, None)

    def quarantine(self, fingerprint: Fingerprint) -> None:
        """Never run a fingerprint again."""
        self._quarantined[fingerprint] = None
        self._suspicions.pop(fingerprint, None)
        if len(self._quarantined) > QUARANTINE_LIMIT:
            self._quarantined.popitem(last=False)


def _hash(fingerprint: Fingerprint) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(fingerprint.encode()), fingerprint)
