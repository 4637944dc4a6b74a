"""The upstreams of a run: they register, send heartbeats, leave, crash and are replaced."""

import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ._bounds import ADDRESS_REUSE_S, DRAIN_S, HEARTBEAT_S
from ._crash_checks import CrashCause, CrashChecks
from ._disturbances import Disturbances
from ._proxy import Link
from ._store import StoreControl
from ._upstream import SLOTS, Upstream, UpstreamIdentity, UpstreamObserver

MISSED_HEARTBEATS = 3
VERSIONS = ("v1.1", "v1.2")
IN_ORDER_SHARE = 0.5


@dataclass(slots=True, kw_only=True)
class Member:
    """An upstream with its link and its entry in the registry.

    Attributes:
        gone_acknowledged_s: When the store acknowledged that it drains or is gone.
    """

    upstream: Upstream
    link: Link
    state: str = "ready"
    listed: bool = True
    alive: bool = True
    sequence: int = 0
    born_ms: int = 0
    gone_acknowledged_s: float | None = None


@dataclass(slots=True, kw_only=True)
class UpstreamFleet:
    """All upstreams, by instance id; those that have ended stay listed for the checks.

    Attributes:
        repeats_until_s: Refusals are sent once more until then, also by new incarnations.
        repeated_refusals: Refusals that were sent once more.
    """

    reactor: Any
    address: str
    store: StoreControl
    random: Random
    observer: UpstreamObserver
    disturbances: Disturbances
    crash_checks: CrashChecks
    members: dict[str, Member] = field(default_factory=dict)
    repeats_until_s: float = 0.0
    repeated_refusals: int = 0
    _number: int = 0
    _closed: bool = False

    def add(self, service: str, version: str, *, port: int = 0, link: Link | None = None) -> Member:
        """Start an upstream, on the address of one that has ended if a link is given."""
        self._number += 1
        instance = f"i-{self._number:03d}-{self.random.randrange(16**6):06x}"
        identity = UpstreamIdentity(
            instance=instance,
            service=service,
            version=version,
            domain="ab"[self._number % 2],
        )
        upstream = Upstream(
            identity=identity,
            reactor=self.reactor,
            observer=self.observer,
            listening_port=port,
            random=Random(instance),
        )
        upstream.repeats_refusals = lambda: self.reactor.seconds() < self.repeats_until_s
        upstream.on_repeat = self._count_repeat
        target = upstream.open(self.address)
        upstream.listening_port = target[1]
        if link is None:
            link = Link(reactor=self.reactor, interface=self.address, target=target)
            link.open()
        elif link.ended:
            link.ended = False
            link.open()
        member = Member(upstream=upstream, link=link, born_ms=round(self.reactor.seconds() * 1e3))
        upstream.on_crash = lambda cause: self._crash_under_request(member, cause)
        self.members[instance] = member
        self._beat(member)
        return member

    def _count_repeat(self) -> None:
        self.repeated_refusals += 1

    def list_ready(self, service: str | None = None) -> list[Member]:
        """Return the upstreams that are listed as ready."""
        return [
            member
            for member in self.members.values()
            if member.alive
            and member.listed
            and member.state == "ready"
            and service in (None, member.upstream.identity.service)
        ]

    def list_alive(self) -> list[Member]:
        """Return the upstreams that have not ended."""
        return [member for member in self.members.values() if member.alive]

    def can_lose(self, member: Member) -> bool:
        """Return whether another upstream of the service is ready, and this one stays so far."""
        others = self.list_ready(member.upstream.identity.service)
        return member in others and len(others) > 1

    def drain(self, member: Member, *, announced: bool) -> None:
        """Let an upstream leave, with the state ``draining`` or by removing its entry."""
        member.state = "draining"
        member.upstream.leave()
        if announced:
            written = self._write(member)
        else:
            member.listed = False
            written = self.store.remove("servers", member.upstream.identity.instance)
        written.addCallback(lambda _: self._schedule_end(member))

    def crash(self, member: Member) -> None:
        """End an upstream at once; its entry expires after some missed heartbeats."""
        instance = member.upstream.identity.instance
        self.disturbances.begin(instance, "crash", self.reactor.seconds())
        self._end_process(member)
        self.reactor.callLater(MISSED_HEARTBEATS * HEARTBEAT_S, self._remove_entry, member)
        self._schedule_replacement(member)

    def _crash_under_request(self, member: Member, cause: CrashCause) -> None:
        if member.alive:
            self.crash_checks.record_crash(cause, self.reactor.seconds())
            self.crash(member)

    def expire(self, member: Member, back_s: float) -> None:
        """Remove the entry of an upstream that is well; it writes it again after a time."""
        member.listed = False
        self.store.remove("servers", member.upstream.identity.instance)

        def write_again() -> None:
            if member.alive and member.state == "ready":
                member.listed = True
                self._beat(member)

        self.reactor.callLater(back_s, write_again)

    def replace(self, member: Member, service: str, version: str) -> None:
        """Start a new incarnation at the address of an upstream that has ended."""
        if not self._closed:
            self.add(service, version, port=member.upstream.listening_port, link=member.link)

    def close(self) -> None:
        """End all upstreams."""
        self._closed = True
        for member in self.list_alive():
            member.alive = False
            member.upstream.close()

    def _schedule_end(self, member: Member) -> None:
        member.gone_acknowledged_s = self.reactor.seconds()
        extra_s = self.random.uniform(0.3, 3.0)
        self.reactor.callLater(DRAIN_S + extra_s, self._end, member)

    def _end(self, member: Member) -> None:
        if not member.alive:
            return
        instance = member.upstream.identity.instance
        self.disturbances.begin(instance, "end", self.reactor.seconds())
        self._end_process(member)
        self._remove_entry(member)
        self._schedule_replacement(member)

    def _end_process(self, member: Member) -> None:
        """End an upstream's process by resets, or in order, with its listener closed first."""
        member.alive = False
        in_order = member.upstream.random.random() < IN_ORDER_SHARE
        if in_order:
            member.link.ended = True
            member.link.shut()
        member.upstream.close(in_order=in_order)

    def _schedule_replacement(self, member: Member) -> None:
        """Start another incarnation later, at times of another version or another service."""
        identity = member.upstream.identity
        version = self.random.choice((identity.version, *VERSIONS))
        delay_s = ADDRESS_REUSE_S + self.random.uniform(0.1, 1.0)
        service = identity.service
        if service != "engines":
            service = self.random.choice(("archive", "annex"))
            if len(self.list_ready(identity.service)) < 2:
                service = identity.service
        self.reactor.callLater(delay_s, self.replace, member, service, version)

    def _remove_entry(self, member: Member) -> None:
        if member.listed and not self._closed:
            member.listed = False
            self.store.remove("servers", member.upstream.identity.instance)

    def _beat(self, member: Member) -> None:
        if not member.alive or not member.listed or self._closed:
            return
        self._write(member)
        self.reactor.callLater(HEARTBEAT_S, self._beat, member)

    def _write(self, member: Member) -> Any:
        identity = member.upstream.identity
        member.sequence += 1
        address, port = member.link.address
        entry = {
            "Service": identity.service,
            "Address": f"{address}:{port}",
            "Zone": identity.domain,
            "Version": identity.version,
            "Slots": SLOTS,
            "State": member.state,
            "ColdRemainingMs": 0,
            "Sequence": member.sequence,
            "born": member.born_ms,
        }
        return self.store.put("servers", identity.instance, json.dumps(entry).encode())

    def count_version(self, version: str) -> int:
        """Return how many engines with a software version are ready."""
        ready = self.list_ready("engines")
        return sum(member.upstream.identity.version == version for member in ready)
