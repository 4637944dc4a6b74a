"""The software versions that upstreams run, and the versions at which streams began.

What two versions write in a stream does not fit together, so that a stream can go on only at the
version that began it. A caller may take up a broken stream at any host. While one version serves,
every host knows where the stream began. While several do, hosts tell each other of each stream
that begins. A host that starts learns from the store which versions served before.
"""

import math
from collections.abc import Collection, Iterable, Mapping
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

MIN_HISTORY_S = 5.0
"""At the first start of the whole system no stream is older than a host. A host that has seen the
registry for a shorter time still cannot tell which versions served when a stream began: upstreams
may serve for some seconds after their entry was removed. In all other cases the history has to
reach back ``STREAM_LIFETIME_S``."""

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


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionRecord:
    """The versions that the upstreams of one service have run lately, as hosts tell each other.

    Attributes:
        complete_since_s: Monotonic time since which each version that was listed is included.
        last_listed_s: When each version was last listed; None while it is.
    """

    complete_since_s: float
    last_listed_s: Mapping[SoftwareVersion | None, float | None]

    @property
    def listed(self) -> frozenset[SoftwareVersion | None]:
        """The versions that are listed now."""
        return frozenset(each for each, last_s in self.last_listed_s.items() if last_s is None)

    def is_complete(self, now_s: float) -> bool:
        """Whether the record includes every version that a living stream may have begun at."""
        return now_s - self.complete_since_s >= STREAM_LIFETIME_S


class VersionHistory:
    """Tracks which software versions the upstreams of each service have run lately.

    The history of a service is complete if it reaches back ``STREAM_LIFETIME_S``: from this host's
    own observation, or from the records of other hosts.
    """

    def __init__(self) -> None:
        self._since_s: float | None = None
        self._is_first_start = False
        self._recorded_since_s: dict[ServiceName, float] = {}
        self._times: dict[ServiceName, dict[SoftwareVersion | None, _VersionTimes]] = {}

    def begin(self, now_s: float) -> None:
        """Record that the registry has been read, be it empty."""
        if self._since_s is None:
            self._since_s = now_s

    def observe(self, upstreams: Iterable[RegisteredUpstream], now_s: float) -> None:
        """Apply the current entries of the registry."""
        self.begin(now_s)
        listed = {(upstream.service, upstream.software_version) for upstream in upstreams}
        for service, version in listed:
            times = self._times.setdefault(service, {})
            times.setdefault(version, _VersionTimes(first_s=now_s)).last_s = None
        for service, times in self._times.items():
            for version, each in times.items():
                if (service, version) not in listed and each.last_s is None:
                    each.last_s = now_s
        self._forget(now_s)

    def restart(self, now_s: float) -> None:
        """Record that versions may have been listed and removed unseen until now."""
        self._since_s = now_s
        self._is_first_start = False
        self._recorded_since_s.clear()

    def assume_first_start(self) -> None:
        """Take it as proven that no stream is older than this host's observation."""
        self._is_first_start = True

    def learn(
        self, service: ServiceName, record: VersionRecord, now_s: float, *, settled: bool
    ) -> None:
        """Add the record of other hosts.

        A version that it shows as listed and this host does not see counts as listed until now.

        Args:
            settled: Whether the other hosts have learnt of the record's versions earlier.
        """
        first_s = now_s - SETTLING_S if settled else now_s
        known = self._times.setdefault(service, {})
        for version, last_s in record.last_listed_s.items():
            until_s = now_s if last_s is None else last_s
            times = known.setdefault(version, _VersionTimes(first_s=first_s, last_s=until_s))
            times.first_s = min(times.first_s, first_s)
            if times.last_s is not None:
                times.last_s = max(times.last_s, until_s)
        since_s = self._recorded_since_s.get(service, math.inf)
        self._recorded_since_s[service] = min(since_s, record.complete_since_s)
        self._forget(now_s)

    def describe(self, service: ServiceName, now_s: float) -> VersionRecord:
        """Return what this host knows about a service."""
        self._forget(now_s)
        return VersionRecord(
            complete_since_s=self._get_complete_since_s(service),
            last_listed_s={
                version: times.last_s for version, times in self._times.get(service, {}).items()
            },
        )

    def is_complete(self, service: ServiceName, now_s: float) -> bool:
        """Whether ``list_recent`` includes every version that a stream may have begun at."""
        return now_s - self._get_complete_since_s(service) >= STREAM_LIFETIME_S

    def is_all_complete(self, now_s: float) -> bool:
        """Whether the history of each known service is complete."""
        return self._since_s is not None and all(
            self.is_complete(service, now_s) for service in self._times
        )

    def _get_complete_since_s(self, service: ServiceName) -> float:
        if self._since_s is None:
            return math.inf
        since_s = self._since_s
        if self._is_first_start:
            since_s -= STREAM_LIFETIME_S - MIN_HISTORY_S
        return min(since_s, self._recorded_since_s.get(service, math.inf))

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
    """Finds the software version at which a stream that a caller takes up has begun.

    Attributes:
        requires_record: Whether resumable streams are begun at a new version only once it is
            recorded in the store, if others serve.
        record_was_read: Whether the store has shown which services have a record. Without a record
            no host can tell where a stream began, so that none takes one up wrongly.
    """

    def __init__(self) -> None:
        self.history = VersionHistory()
        self.origins = StreamOrigins()
        self.requires_record = False
        self.record_was_read = False
        self._recorded: dict[ServiceName, Collection[SoftwareVersion | None]] = {}

    def set_recorded(
        self, service: ServiceName, versions: Collection[SoftwareVersion | None]
    ) -> None:
        """Set the versions that the store's record of a service shows as listed.

        They stay recorded while the store has lost its newest writes: its older record counts as
        unknown until a host has written it again.
        """
        self._recorded[service] = versions

    def is_settled(
        self, service: ServiceName, version: SoftwareVersion | None, now_s: float
    ) -> bool:
        """Whether resumable streams may be begun at a version although others serve."""
        if self.requires_record and version not in self._recorded.get(service, ()):
            return False
        return self.history.is_settled(service, version, now_s)

    def list_beginnings(
        self,
        service: ServiceName,
        serving: Collection[SoftwareVersion | None],
        now_s: float,
    ) -> Collection[SoftwareVersion | None]:
        """Return the versions at which resumable streams may be begun, of those that serve.

        Where none is settled, those that the store's record lacks wait for it as long as they would
        take to settle: a host that starts could not know of their streams.
        """
        settled = {each for each in serving if self.is_settled(service, each, now_s)}
        recorded = self._recorded.get(service, None if self.record_was_read else ())
        if settled or recorded is None or not self.requires_record:
            return settled or serving
        return {
            each
            for each in serving
            if each in recorded or self.history.is_settled(service, each, now_s)
        }

    def find_origin(
        self,
        stream: AttemptId,
        service: ServiceName,
        *,
        is_confirmed: bool,
        now_s: float,
    ) -> StreamOrigin | None:
        """Return where a stream began; None if this host cannot tell.

        Args:
            is_confirmed: Whether the registry and the record of versions were read after the
                caller's request had come. An older copy does not prove that only one version
                serves: the stream may have begun at another one since.
        """
        origin = self.origins.find(stream, now_s)
        if origin is not None:
            return origin
        if not is_confirmed:
            return None
        versions = self.history.list_recent(service, now_s)
        if not self.history.is_complete(service, now_s) or len(versions) != 1:
            return None
        return StreamOrigin(software_version=versions[0])

    def take_reports(self, now_s: float) -> list[StreamRecord]:
        """Return the streams to tell the other hosts of; none while all know them anyway."""
        if not self.history.is_mixed(now_s) and self.history.is_all_complete(now_s):
            self.origins.expire(now_s)
            return []
        return self.origins.take_due(now_s)
