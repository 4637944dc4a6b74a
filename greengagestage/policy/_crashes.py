"""Tracking of requests that were running on upstreams when they crashed.

A crash is the loss of the connection to an upstream (``FailureKind.LOST``) while it runs a request,
on this host or reported by another one. The request's fingerprint is then a suspect, and so is
every later request with that fingerprint, also one that was never sent.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from greengagestage.ids import Fingerprint, UpstreamName

CRASH_WINDOW_S = 10.0
REPORT_DELAY_S = 0.25
BATCH_INTERVAL_S = 2.0
SUSPECT_LIFETIME_S = 900.0
SUSPECTS_LIMIT = 8192
QUARANTINE_LIMIT = 65536
CRASHES_TO_QUARANTINE = 2


@dataclass(slots=True, kw_only=True, eq=False)
class Crash:
    """A crash of an upstream and the fingerprints of the requests that it was running."""

    upstream: UpstreamName
    at_s: float
    fingerprints: list[Fingerprint] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class CrashHistory:
    """The crashes of upstreams that were running a fingerprint, oldest first."""

    crashes: list[Crash] = field(default_factory=list)


@dataclass(frozen=True, slots=True, kw_only=True)
class Isolation:
    """Where and when a suspect runs, so that the suspects of one crash run separately.

    Every host computes the same result from the same crash reports, but receives the reports with
    a short delay.

    Attributes:
        rank: Position of the suspect among those of its last crash.
        excluded_upstream: The upstream that crashed.
        crashed_s: Time of the crash on this host's monotonic clock.
    """

    rank: int
    excluded_upstream: UpstreamName
    crashed_s: float

    def compute_start_time(self, upstreams: int, entry_hosts: int, arrived_s: float) -> float:
        """Return the time from which the suspect may run.

        A request that arrived after the crash may be a retry by a caller that has just received a
        final answer from another host, so it also waits for the crash reports of that answer.
        """
        if entry_hosts <= 1:
            return self.crashed_s
        batch = self.rank // max(upstreams, 1)
        return max(self.crashed_s + batch * BATCH_INTERVAL_S, arrived_s) + REPORT_DELAY_S


class CrashTracker:
    """Suspects and quarantined fingerprints of the whole fleet, as known to this host."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[Fingerprint, CrashHistory] = OrderedDict()
        self._crashes: dict[UpstreamName, Crash] = {}
        self._quarantined: OrderedDict[Fingerprint, None] = OrderedDict()

    @property
    def suspects(self) -> int:
        """The number of suspect fingerprints."""
        return len(self._suspects)

    @property
    def quarantined(self) -> int:
        """The number of quarantined fingerprints."""
        return len(self._quarantined)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether a fingerprint is quarantined, so that its requests are refused."""
        return fingerprint in self._quarantined

    def refresh_suspect(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Drop a fingerprint's crashes if they have expired; return whether it is still a suspect.

        They expire ``SUSPECT_LIFETIME_S`` after the last of them.
        """
        history = self._suspects.get(fingerprint)
        if history is None:
            return False
        if now_s - history.crashes[-1].at_s > SUSPECT_LIFETIME_S:
            del self._suspects[fingerprint]
            return False
        return True

    def compute_isolation(self, fingerprint: Fingerprint) -> Isolation | None:
        """Return how to isolate a suspect from the other suspects of its last crash."""
        history = self._suspects.get(fingerprint)
        if history is None:
            return None
        crash = history.crashes[-1]
        ranked = sorted(crash.fingerprints, key=_hash)
        return Isolation(
            rank=ranked.index(fingerprint), excluded_upstream=crash.upstream, crashed_s=crash.at_s
        )

    def note_crash(self, fingerprint: Fingerprint, upstream: UpstreamName, now_s: float) -> bool:
        """Record that a crashed upstream ran a fingerprint; return whether to quarantine it."""
        self.refresh_suspect(fingerprint, now_s)
        history = self._suspects.setdefault(fingerprint, CrashHistory())
        crash = self._get_or_create_crash(upstream, now_s)
        if crash not in history.crashes:
            history.crashes.append(crash)
            crash.fingerprints.append(fingerprint)
        if len(self._suspects) > SUSPECTS_LIMIT:
            self._suspects.popitem(last=False)
        return len(history.crashes) >= CRASHES_TO_QUARANTINE

    def _get_or_create_crash(self, upstream: UpstreamName, now_s: float) -> Crash:
        """Return the current crash of an upstream, a new one if the last is too old.

        Losses within ``CRASH_WINDOW_S`` of the first one count as one crash.
        """
        crash = self._crashes.get(upstream)
        if crash is None or now_s - crash.at_s > CRASH_WINDOW_S:
            crash = self._crashes[upstream] = Crash(upstream=upstream, at_s=now_s)
        return crash

    def clear_suspect(self, fingerprint: Fingerprint) -> None:
        """Stop suspecting a fingerprint whose request completed successfully."""
        self._suspects.pop(fingerprint, None)

    def quarantine(self, fingerprint: Fingerprint) -> None:
        """Quarantine a fingerprint, so that its requests are refused.

        Beyond ``QUARANTINE_LIMIT``, the fingerprint that was quarantined first is released.
        """
        self._quarantined[fingerprint] = None
        self._suspects.pop(fingerprint, None)
        if len(self._quarantined) > QUARANTINE_LIMIT:
            self._quarantined.popitem(last=False)


def _hash(fingerprint: Fingerprint) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(fingerprint.encode()), fingerprint)
