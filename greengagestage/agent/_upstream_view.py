"""The state of every upstream, as reported to the entry process and to operators."""

import time
from collections import defaultdict
from collections.abc import Iterable, Iterator

from greengagestage.configuration import Declaration, Upstream, UpstreamKind
from greengagestage.ids import PoolName, UpstreamName
from greengagestage.membership import Membership
from greengagestage.policy import UpstreamState
from greengagestage.wire import UpstreamStatus

from ._load_poller import LoadPoller

_MS_PER_S = 1000


def list_pools(upstream: Upstream) -> tuple[PoolName, ...]:
    """Return the pools that an upstream serves."""
    if upstream.kind is UpstreamKind.SERVICE:
        return (PoolName(upstream.service),) if upstream.service is not None else ()
    return tuple(PoolName(model) for model in upstream.models)


class UpstreamView:
    """Combines the declaration, the reports of other hosts and this host's own polls."""

    def __init__(self, *, membership: Membership, poller: LoadPoller) -> None:
        self._membership = membership
        self._poller = poller
        self._declared: dict[UpstreamName, Upstream] = {}

    def set_declaration(self, declaration: Declaration) -> None:
        """Set the upstreams of the configuration in force."""
        self._declared = {upstream.name: upstream for upstream in declaration.upstreams}

    @property
    def declared(self) -> dict[UpstreamName, Upstream]:
        """The upstreams of the configuration in force."""
        return self._declared

    def list_available(self) -> Iterator[Upstream]:
        """Yield the upstreams that accept new work."""
        gone = self._find_gone()
        for upstream in self._declared.values():
            leaving = upstream.draining or self._membership.is_leaving(upstream.name)
            if not leaving and upstream.name not in gone:
                yield upstream

    def has_unserved_pool(self, name: UpstreamName) -> bool:
        """Return whether some pool of a declared upstream has no upstream that accepts new work.

        The upstream itself counts: the result is False for the only upstream of a pool while it
        accepts new work.
        """
        declared = self._declared.get(name)
        if declared is None:
            return False
        served = {pool for upstream in self.list_available() for pool in list_pools(upstream)}
        return any(pool not in served for pool in list_pools(declared))

    def build_statuses(self, names: Iterable[UpstreamName]) -> tuple[UpstreamStatus, ...]:
        """Return the status of some declared upstreams."""
        gone = self._find_gone()
        return tuple(
            self._build_status(name, name in gone) for name in names if name in self._declared
        )

    def _build_status(self, name: UpstreamName, gone: bool) -> UpstreamStatus:
        load = self._membership.measurements.loads.get(name)
        state = UpstreamState.GONE if gone else UpstreamState.LIVE
        if self._membership.is_leaving(name):
            state = UpstreamState.LEAVING
        return UpstreamStatus(
            upstream=name,
            state=state.value,
            running=load.running if load else 0,
            waiting=load.waiting if load else 0,
            peers_in_flight=self._count_peers_in_flight(name),
            age_ms=int(_MS_PER_S * (time.monotonic() - load.measured_at_s)) if load else 0,
        )

    def _count_peers_in_flight(self, name: UpstreamName) -> int:
        own = self._membership.own.host
        reports = self._membership.measurements.reports
        return sum(r.in_flight.get(name, 0) for host, r in reports.items() if host != own)

    def _find_gone(self) -> set[UpstreamName]:
        """Return the engines that answer no host, unless they are more than half of their pool.

        When more than half of a pool seems to be gone, this host's own network is the likelier
        cause, so none of its engines is returned, also if it serves other pools. If it is gone
        after all, the requests sent to it fail and are retried, where without any engine all
        requests of the pool would be refused.
        """
        pools: dict[PoolName, list[UpstreamName]] = defaultdict(list)
        for upstream in self._declared.values():
            for pool in list_pools(upstream):
                pools[pool].append(upstream.name)
        gone: set[UpstreamName] = set()
        kept: set[UpstreamName] = set()
        for names in pools.values():
            silent = [name for name in names if self._poller.is_gone(name)]
            (gone if 2 * len(silent) <= len(names) else kept).update(silent)
        return gone - kept
