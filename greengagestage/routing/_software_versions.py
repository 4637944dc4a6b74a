"""The software versions that upstreams run, and the versions at which streams began.

What two versions write in a stream does not fit together, so that a stream can go on only at the
version that began it. A caller may take up a broken stream at any host. While one version serves,
every host knows where the stream began. While several do, hosts tell each other of each stream
that begins.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from greengagestage.catalog import RegisteredUpstream
from greengagestage.ids import AttemptId, ServiceName, SoftwareVersion

from ._jobs import StreamOrigin

STREAM_LIFETIME_S = 30.0
"""Time after its first event in which a stream may still be taken up: twice the longest time that
callers wait for an answer."""

MAX_STREAMS = 65_536
"""Maximum number of streams whose origin is known; the oldest is forgotten first."""

SETTLING_S = 2.5
"""Time from a version's first appearance until resumable streams are begun at it, if others serve.
By then each host whose copy of the registry counts as current knows that there are two."""

MAX_REGISTRY_AGE_S = 2.0
"""An older copy of the registry does not prove that only one version serves."""

MIN_HISTORY_S = 5.0
"""A host that has seen the registry for a shorter time cannot tell which versions served when a
stream began: upstreams may serve for some seconds after their entry was removed."""

SHARE_DELAYS_S = (0.0, 0.05, 1.0)
"""Times after which a stream's origin is told to the other hosts: more than once, since datagrams
can be lost, and once after a hub that vanished has been replaced."""


def hash_stream(stream: AttemptId) -> int:
    """Return the number by which hosts identify a stream to each other."""
    return xxhash.xxh64_intdigest(stream.encode())


@dataclass(slots=True, kw_only=True)
class _VersionTimes:
    """When a version was first and last listed by an upstream; ``last_s`` is None while it is."""

    first_s: float
    last_s: float | None = None


class VersionHistory:
    """Tracks which software versions the upstreams of each service have run lately."""

    def __init__(self) -> None:
        self._since_s: float | None = None
        self._times: dict[ServiceName, dict[SoftwareVersion | None, _VersionTimes]] = {}

    def observe(self, upstreams: Iterable[RegisteredUpstream], now_s: float) -> None:
        """Apply the current entries of the registry."""
        if self._since_s is None:
            self._since_s = now_s
        listed = {(upstream.service, upstream.software_version) for upstream in upstreams}
        for service, version in listed:
            times = self._times.setdefault(service, {})
            times.setdefault(version, _VersionTimes(first_s=now_s)).last_s = None
        for service, times in self._times.items():
            for version, each in times.items():
                if (service, version) not in listed and each.last_s is None:
                    each.last_s = now_s
        self._forget(now_s)

    def get_age_s(self, now_s: float) -> float:
        """Return how long the registry has been observed."""
        return 0.0 if self._since_s is None else now_s - self._since_s

    def list_recent(self, service: ServiceName, now_s: float) -> list[SoftwareVersion | None]:
        """Return the versions that a stream which is still alive may have begun at."""
        self._forget(now_s)
        return list(self._times.get(service, ()))

    def is_mixed(self, now_s: float) -> bool:
        """Whether any service has had several versions lately."""
        self._forget(now_s)
        return any(len(times) > 1 for times in self._times.values())

    def is_settled(
        self, service: ServiceName, version: SoftwareVersion | None, now_s: float
    ) -> bool:
        """Whether the other hosts have had the time to learn of a version."""
        times = self._times.get(service, {}).get(version)
        return times is not None and now_s - times.first_s >= SETTLING_S

    def _forget(self, now_s: float) -> None:
        for times in self._times.values():
            for version, each in list(times.items()):
                if each.last_s is not None and now_s - each.last_s > STREAM_LIFETIME_S:
                    del times[version]


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamRecord:
    """A stream, by its hash, and the software version that began it."""

    stream: int
    origin: StreamOrigin


@dataclass(slots=True, kw_only=True)
class _Share:
    """What is left to be told about a stream that began at this host."""

    record: StreamRecord
    began_s: float
    sent: int = 0

    def is_due(self, now_s: float) -> bool:
        return now_s >= self.began_s + SHARE_DELAYS_S[self.sent]


class StreamOrigins:
    """Remembers at which software version streams began, at this host or at others."""

    def __init__(self) -> None:
        self._origins: dict[int, tuple[StreamOrigin, float]] = {}
        self._shares: dict[int, _Share] = {}

    def record_local(self, stream: AttemptId, origin: StreamOrigin, now_s: float) -> None:
        """Record a stream whose first event, or first one since it was taken up, was relayed."""
        record = StreamRecord(stream=hash_stream(stream), origin=origin)
        self._add(record, now_s)
        self._shares[record.stream] = _Share(record=record, began_s=now_s)

    def learn(self, records: Iterable[StreamRecord], now_s: float) -> None:
        """Record streams that other hosts have reported."""
        for record in records:
            self._add(record, now_s)

    def find(self, stream: AttemptId, now_s: float) -> StreamOrigin | None:
        """Return where a stream began; None if that is not known."""
        origin, known_s = self._origins.get(hash_stream(stream), (None, 0.0))
        return origin if now_s - known_s <= STREAM_LIFETIME_S else None

    def take_due(self, now_s: float) -> list[StreamRecord]:
        """Return the streams to tell the other hosts of now."""
        due = [share for share in self._shares.values() if share.is_due(now_s)]
        for share in due:
            share.sent += 1
            if share.sent == len(SHARE_DELAYS_S):
                del self._shares[share.record.stream]
        return [share.record for share in due]

    def expire(self, now_s: float) -> None:
        """Forget the streams that can no longer be taken up."""
        oldest_s = now_s - STREAM_LIFETIME_S
        while self._origins:
            stream, (_, known_s) = next(iter(self._origins.items()))
            if known_s >= oldest_s and len(self._origins) <= MAX_STREAMS:
                break
            del self._origins[stream]
            self._shares.pop(stream, None)

    def _add(self, record: StreamRecord, now_s: float) -> None:
        self._origins.pop(record.stream, None)
        self._origins[record.stream] = (record.origin, now_s)
        self.expire(now_s)


class StreamVersions:
    """Finds the software version at which a stream that a caller takes up has begun."""

    def __init__(self) -> None:
        self.history = VersionHistory()
        self.origins = StreamOrigins()

    def find_origin(
        self,
        stream: AttemptId,
        service: ServiceName,
        *,
        registry_age_s: float | None,
        now_s: float,
    ) -> StreamOrigin | None:
        """Return where a stream began; None if this host cannot tell.

        Args:
            registry_age_s: Time since this host's copy of the registry was confirmed.
        """
        origin = self.origins.find(stream, now_s)
        if origin is not None:
            return origin
        if registry_age_s is None or registry_age_s > MAX_REGISTRY_AGE_S:
            return None
        versions = self.history.list_recent(service, now_s)
        if self.history.get_age_s(now_s) < MIN_HISTORY_S or len(versions) != 1:
            return None
        return StreamOrigin(software_version=versions[0])

    def take_reports(self, now_s: float) -> list[StreamRecord]:
        """Return the streams to tell the other hosts of; none while all know them anyway."""
        if not self.history.is_mixed(now_s) and self.history.get_age_s(now_s) >= MIN_HISTORY_S:
            self.origins.expire(now_s)
            return []
        return self.origins.take_due(now_s)
