"""Messages between an entry process and the agent of its host."""

from msgspec import Struct

from greengagestage.ids import (
    ClassName,
    ConfigurationVersion,
    Fingerprint,
    HostId,
    PoolName,
    RequestId,
    UpstreamName,
    WorkspaceId,
)


class ConfigurationInForce(Struct, frozen=True, kw_only=True, tag="configuration"):
    """Agent to entry: the canonical document of the version in force."""

    version: ConfigurationVersion
    digest: str
    document: bytes


class UpstreamStatus(Struct, frozen=True, kw_only=True):
    """One upstream as the agent knows it. ``state`` is a value of ``UpstreamState``."""

    upstream: UpstreamName
    state: str
    running: int = 0
    waiting: int = 0
    peers_in_flight: int = 0
    age_ms: int = 0
    cached_prefixes: tuple[int, ...] = ()


class UpstreamStatuses(Struct, frozen=True, kw_only=True, tag="upstreams"):
    """Agent to entry: upstreams whose status changed."""

    statuses: tuple[UpstreamStatus, ...]


class HostShares(Struct, frozen=True, kw_only=True, tag="shares"):
    """Agent to entry: this host's share of the upstreams, and the hosts of the fleet.

    Attributes:
        slots: Slots of each upstream that this host may use.
        entry_hosts: Number of hosts that take requests, live or suspect; leaving ones are not
            counted.
        live_hosts: Names of all hosts that are not gone, whether live, suspect or leaving; empty
            while the agent does not know them.
    """

    slots: dict[UpstreamName, int]
    entry_hosts: int
    live_hosts: tuple[HostId, ...] = ()


class QuarantineNotice(Struct, frozen=True, kw_only=True, tag="quarantine"):
    """Both ways: a fingerprint that must not run again."""

    fingerprint: Fingerprint


class CrashReport(Struct, frozen=True, kw_only=True, tag="crash"):
    """Both ways: an upstream was lost while it ran this fingerprint, here or on another host."""

    fingerprint: Fingerprint
    upstream: UpstreamName


class UpstreamLeavingNotice(Struct, frozen=True, kw_only=True, tag="leaving"):
    """Entry to agent: an upstream refused an attempt because it is leaving."""

    upstream: UpstreamName


class EntryStatus(Struct, frozen=True, kw_only=True, tag="status"):
    """Entry to agent, about once a second: demand and requests in flight.

    ``demand`` counts waiting and running requests by pool and class.
    """

    demand: dict[PoolName, dict[ClassName, int]]
    in_flight: dict[UpstreamName, int]
    stopping: bool = False


class RequestRecord(Struct, frozen=True, kw_only=True):
    """What ``show requests`` and ``explain request`` report about one request.

    ``code`` is -1 until the request ends; ``first_token_ms`` and ``answer_ms`` are -1 if there is
    none. ``notes`` holds one line for each decision: the time since arrival and the reason.
    """

    request_id: RequestId
    workspace: WorkspaceId
    service_class: ClassName
    pool: PoolName
    state: str
    code: int
    age_ms: int
    first_token_ms: int
    answer_ms: int
    tokens: int
    attempts: int
    upstream: UpstreamName
    within_target: bool
    notes: tuple[str, ...] = ()


class RequestRecords(Struct, frozen=True, kw_only=True, tag="requests"):
    """Entry to agent: requests that ended or changed since the last message."""

    records: tuple[RequestRecord, ...]


AgentMessage = ConfigurationInForce | UpstreamStatuses | HostShares | QuarantineNotice | CrashReport
"""Any message that an agent sends to its entry process."""

EntryMessage = EntryStatus | CrashReport | QuarantineNotice | UpstreamLeavingNotice | RequestRecords
"""Any message that an entry process sends to its agent."""
