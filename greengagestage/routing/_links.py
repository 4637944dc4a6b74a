"""Decides which upstreams this host reaches only through another host, and through which one."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from greengagestage.ids import HostId, InstanceId, ServiceName

from ._link_probes import rank_host

MIN_UNREACHABLE = 2
"""Number of upstreams without a connection from which this host's own links are suspected. A single
one has probably ended, and the others do its work."""

MIN_UNREACHABLE_IN_ROW = 3
"""Number of upstreams of a service that fail one after the other, with no connection opened in
between, from which all links to the service are suspected, also those that have not been tried."""

MAX_MISSES = 2
"""Number of hosts with links of their own that fail to reach an upstream, from which it counts as
down."""

MISS_LIFETIME_S = 1.5
"""Time for which a host is not asked again for an upstream that it could not reach."""

MIN_DOWN_S = 1.0
MAX_DOWN_S = 4.0
"""Consecutive times for which an upstream counts as down double from the first to the second."""

UNUSABLE_LIFETIME_S = 2.0
"""Time for which a host is not asked at all that is stopping, busy or out of reach."""

PROVEN_LIFETIME_S = 5.0
"""Time for which a host that has forwarded a request is preferred to hosts that were not asked."""

MIN_PROVEN = 3
"""Number of such hosts from which no others are asked. The work of a host without links is spread
over them."""

PROBE_INTERVAL_S = 1.0
"""Mean time between attempts to connect to a suspected upstream, of the host that tries it first.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardingHost:
    """Another host, with the address at which it forwards requests to upstreams."""

    host: HostId
    address: str
    port: int


class LinkMonitor:
    """Tracks the links from this host to the upstreams, and the hosts that can replace them.

    A link is cut if no connection can be opened to its upstream, nor to others. Data on open
    connections says nothing: these may live on while new ones are refused.

    Args:
        draw: Returns random numbers from 0 up to 1.
    """

    def __init__(self, *, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._hosts: dict[HostId, ForwardingHost] = {}
        self._services: dict[InstanceId, ServiceName] = {}
        self._upstream_counts: Counter[ServiceName] = Counter()
        self._opened_s: dict[InstanceId, float] = {}
        self._failed_s: dict[InstanceId, float] = {}
        self._failed_in_row: dict[ServiceName, dict[InstanceId, float]] = {}
        self._misses: dict[InstanceId, dict[HostId, float]] = {}
        self._reported_down: dict[InstanceId, dict[HostId, float]] = {}
        self._down_until_s: dict[InstanceId, float] = {}
        self._downs: dict[InstanceId, int] = {}
        self._unusable_until_s: dict[HostId, float] = {}
        self._proven_s: dict[HostId, float] = {}

    def __repr__(self) -> str:
        return f"LinkMonitor(failed={sorted(self._failed_s)})"

    def update_hosts(self, hosts: Iterable[ForwardingHost]) -> None:
        """Replace the other hosts."""
        self._hosts = {each.host: each for each in hosts}

    def update_upstreams(self, services: Mapping[InstanceId, ServiceName]) -> None:
        """Replace the registered upstreams and their services; the others are forgotten."""
        self._services = dict(services)
        self._upstream_counts = Counter(self._services.values())
        tables: tuple[dict[InstanceId, Any], ...] = (
            self._opened_s,
            self._failed_s,
            self._misses,
            self._reported_down,
            self._down_until_s,
            self._downs,
            *self._failed_in_row.values(),
        )
        for table in tables:
            for instance in [each for each in table if each not in self._services]:
                del table[instance]

    def record_opened(self, instance: InstanceId, now_s: float) -> bool:
        """Record that a connection to an upstream was opened; return whether its link was cut."""
        was_cut = self.is_cut(instance)
        self._opened_s[instance] = now_s
        self._failed_s.pop(instance, None)
        service = self._services.get(instance)
        if service is not None:
            self._failed_in_row.pop(service, None)
        return was_cut

    def record_unreachable(self, instance: InstanceId, now_s: float) -> list[InstanceId]:
        """Record that no connection could be opened; return the links that count as cut by this."""
        service = self._services.get(instance)
        if service is None:
            return []
        cut_before = self._list_cut()
        self._failed_s.setdefault(instance, now_s)
        self._failed_in_row.setdefault(service, {}).setdefault(instance, now_s)
        return sorted(self._list_cut() - cut_before)

    @property
    def any_failed(self) -> bool:
        """Whether any attempt to connect has failed lately, so that links may be cut."""
        return bool(self._failed_s or self._failed_in_row)

    def is_cut(self, instance: InstanceId) -> bool:
        """Whether the link to an upstream is taken to be cut."""
        if instance in self._failed_s and len(self._failed_s) >= MIN_UNREACHABLE:
            return True
        since_s = self._find_service_cut_s(instance)
        return since_s is not None and (
            instance in self._failed_s or self._opened_s.get(instance, -math.inf) < since_s
        )

    def get_cut_s(self, instance: InstanceId) -> float:
        """Return when the link to an upstream, which is cut, first failed.

        Connections on which data arrived after that can still be used.
        """
        failed_s = self._failed_s.get(instance)
        if failed_s is not None:
            return failed_s
        return self._find_service_cut_s(instance) or 0.0

    def has_failed(self, instance: InstanceId) -> bool:
        """Whether the last attempt to connect to an upstream failed; False if none was made."""
        return instance in self._failed_s

    def list_suspected(self) -> list[InstanceId]:
        """Return the upstreams with cut links to which the last attempt to connect failed."""
        return sorted(instance for instance in self._failed_s if self.is_cut(instance))

    def compute_probe_interval_s(self, instance: InstanceId, host: HostId) -> float:
        """Return the mean time between this host's attempts to connect to a suspected upstream.

        It grows with the host's rank, so that the attempts of a fleet grow with the logarithm of
        its size only.
        """
        return PROBE_INTERVAL_S * (1 + rank_host(host, self._hosts, instance))

    def can_forward(self, instance: InstanceId, now_s: float) -> bool:
        """Whether a request can be sent to an upstream through another host."""
        if now_s < self._down_until_s.get(instance, 0.0):
            return False
        return bool(self._list_usable(instance, now_s))

    def choose_host(self, instance: InstanceId, now_s: float) -> ForwardingHost | None:
        """Return the host through which a request is sent to an upstream; None if there is none.

        Hosts that have lately forwarded a request are preferred once there are several of them.
        """
        usable = self._list_usable(instance, now_s)
        proven = [
            each
            for each in usable
            if now_s - self._proven_s.get(each.host, -PROVEN_LIFETIME_S) < PROVEN_LIFETIME_S
        ]
        chosen_from = proven if len(proven) >= min(MIN_PROVEN, len(usable)) else usable
        if not chosen_from:
            return None
        return chosen_from[int(self._draw() * len(chosen_from))]

    def record_forwarded(self, host: HostId, instance: InstanceId, now_s: float) -> None:
        """Record that a host has passed an upstream's answer back."""
        self._proven_s[host] = now_s
        self._reported_down.pop(instance, None)
        self._down_until_s.pop(instance, None)
        self._downs.pop(instance, None)

    def record_miss(self, host: HostId, instance: InstanceId, now_s: float, *, down: bool) -> None:
        """Record that a host did not send a request to an upstream.

        Args:
            down: Whether it could not connect although it has other links, so that the upstream may
                have ended.
        """
        misses = self._misses.setdefault(instance, {})
        misses[host] = now_s + MISS_LIFETIME_S
        downs = self._reported_down.setdefault(instance, {})
        if not down:
            downs.pop(host, None)
            return
        downs[host] = now_s + MISS_LIFETIME_S
        if sum(until_s > now_s for until_s in downs.values()) >= MAX_MISSES:
            downs.clear()
            times = self._downs.get(instance, 0)
            self._downs[instance] = times + 1
            self._down_until_s[instance] = now_s + min(MIN_DOWN_S * 2**times, MAX_DOWN_S)

    def record_unusable(self, host: HostId, now_s: float) -> None:
        """Record that a host forwards nothing at the moment."""
        self._unusable_until_s[host] = now_s + UNUSABLE_LIFETIME_S
        self._proven_s.pop(host, None)

    def _list_cut(self) -> set[InstanceId]:
        if not self._failed_s:
            return set()
        return {instance for instance in self._services if self.is_cut(instance)}

    def _find_service_cut_s(self, instance: InstanceId) -> float | None:
        """Return since when all links to an upstream's service are suspected; None if not."""
        service = self._services.get(instance)
        failed = None if service is None else self._failed_in_row.get(service)
        if service is None or not failed:
            return None
        if len(failed) < min(MIN_UNREACHABLE_IN_ROW, self._upstream_counts[service]):
            return None
        return min(failed.values())

    def _list_usable(self, instance: InstanceId, now_s: float) -> list[ForwardingHost]:
        misses = self._misses.get(instance, {})
        return [
            each
            for host, each in self._hosts.items()
            if misses.get(host, 0.0) <= now_s and self._unusable_until_s.get(host, 0.0) <= now_s
        ]
