"""Changes that the membership reports to the agent, and messages that it asks it to send."""

from dataclasses import dataclass

from greengagestage.ids import ConfigurationVersion, Fingerprint, HostId, UpstreamName
from greengagestage.wire import PeerMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingMessage:
    """A message to send, and the address of the agent that receives it."""

    address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class HostsChanged:
    """The record of a host has changed: it joined, leaves, is suspect or is gone."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamsChanged:
    """The leaving mark, the load or the work in flight of some upstreams has changed."""

    upstreams: frozenset[UpstreamName]


@dataclass(frozen=True, slots=True, kw_only=True)
class FingerprintQuarantined:
    """A fingerprint was quarantined, so that requests with it are refused."""

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoteCrashReported:
    """Another host lost an upstream while it ran a request with this fingerprint there."""

    fingerprint: Fingerprint
    upstream: UpstreamName


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionAnnounced:
    """A host has a higher configuration version in force and can provide its document."""

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
