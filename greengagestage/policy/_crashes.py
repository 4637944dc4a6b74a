"""Requests that were present when upstreams crashed."""

from collections import OrderedDict
from dataclasses import dataclass, field

from greengagestage.ids import Fingerprint, UpstreamName

SAME_CRASH_S = 10.0
SUSPICION_S = 900.0
SUSPECTS_LIMIT = 8192
QUARANTINE_LIMIT = 65536
CRASHES_TO_QUARANTINE = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """An upstream was lost."""

    upstream: UpstreamName
    at_s: float


@dataclass(slots=True, kw_only=True)
class Suspicion:
    """The crashes at which a fingerprint was present."""

    crashes: list[Crash] = field(default_factory=list)


class CrashLedger:
    """Suspects and quarantined fingerprints of the whole fleet, as far as this host knows."""

    def __init__(self) -> None:
        self._suspicions: OrderedDict[Fingerprint, Suspicion] = OrderedDict()
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

    def list_upstreams(self, fingerprint: Fingerprint) -> list[UpstreamName]:
        """Return the upstreams that crashed with a fingerprint."""
        suspicion = self._suspicions.get(fingerprint)
        return [crash.upstream for crash in suspicion.crashes] if suspicion else []

    def note_crash(self, fingerprint: Fingerprint, upstream: UpstreamName, now_s: float) -> bool:
        """Record a fingerprint's presence; return whether it was at enough crashes."""
        self.is_suspect(fingerprint, now_s)
        suspicion = self._suspicions.setdefault(fingerprint, Suspicion())
        if not _is_known(suspicion, upstream, now_s):
            suspicion.crashes.append(Crash(upstream=upstream, at_s=now_s))
        if len(self._suspicions) > SUSPECTS_LIMIT:
            self._suspicions.popitem(last=False)
        return len(suspicion.crashes) >= CRASHES_TO_QUARANTINE

    def clear(self, fingerprint: Fingerprint) -> None:
        """Drop the suspicion of a fingerprint that ran to a clean end."""
        self._suspicions.pop(fingerprint, None)

    def quarantine(self, fingerprint: Fingerprint) -> None:
        """Never run a fingerprint again."""
        self._quarantined[fingerprint] = None
        self._suspicions.pop(fingerprint, None)
        if len(self._quarantined) > QUARANTINE_LIMIT:
            self._quarantined.popitem(last=False)


def _is_known(suspicion: Suspicion, upstream: UpstreamName, now_s: float) -> bool:
    return any(
        crash.upstream == upstream and now_s - crash.at_s <= SAME_CRASH_S
        for crash in suspicion.crashes
    )
