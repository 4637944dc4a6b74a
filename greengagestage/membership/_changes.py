"""What the membership tells the agent, and what it asks it to send."""

from dataclasses import dataclass

from greengagestage.ids import ConfigurationVersion, Fingerprint, HostId, UpstreamName
from greengagestage.wire import PeerMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """A message for an address."""

    address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class HostsChanged:
    """A host came, leaves or is gone."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamsChanged:
    """News of some upstreams: leaving or not, load, work in flight."""

    upstreams: frozenset[UpstreamName]


@dataclass(frozen=True, slots=True, kw_only=True)
class FingerprintQuarantined:
    """A fingerprint is never run again."""

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoteCrashReported:
    """Another host lost an upstream while it ran a fingerprint there."""

    fingerprint: Fingerprint
    upstream: UpstreamName


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionAnnounced:
    """A host has this configuration version in force and can give its document."""

    version: ConfigurationVersion
    host: HostId
    address: str


Change = (
    HostsChanged
    | UpstreamsChanged
    | FingerprintQuarantined
    | RemoteCrashReported
    | VersionAnnounced
)
