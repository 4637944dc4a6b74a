"""Measures the steady-state cost of leases and order read-backs of several hosts on stand-ins."""

import time
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks
from twisted.internet.task import deferLater

from greengagestage.configuration import EngineRole, FencingMode, Upstream, UpstreamKind
from greengagestage.ids import (
    CommandId,
    FailureDomain,
    HostId,
    ModelName,
    OperatorName,
    UpstreamName,
)
from greengagestage.orders import OrderCommand, Reconciler, RoleChange
from greengagestage.services import TableClient, WeightClient

from ._state_platform import TIMEOUT_S, read_counters

SETTLING_TIME_S = 25.0
PERCENT = 100.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseResult:
    """The result of one run, measured after every engine has received one order."""

    hosts: int
    upstreams: int
    leases: int
    settled: int
    writes_per_s: float
    reads_per_s: float
    cpu_percent_per_host: float


class LeaseRun:
    """Runs the reconcilers of all hosts; every engine ignores fencing numbers."""

    def __init__(
        self, *, reactor: Any, url: str, engine_url: str, hosts: int, upstreams: int
    ) -> None:
        self._reactor = reactor
        self._url = url
        self._hosts = [HostId(f"h{number}") for number in range(hosts)]
        self._upstreams = [
            build_upstream(f"{hosts}x{upstreams}-{number}", engine_url)
            for number in range(upstreams)
        ]
        self._tables = [self._build_client(TableClient) for _ in self._hosts]
        self._weights = [self._build_client(WeightClient) for _ in self._hosts]
        self._reconcilers = [self._build_reconciler(n) for n in range(hosts)]

    def _build_client(self, kind: Any) -> Any:
        return kind(reactor=self._reactor, base_url=self._url, timeout_s=TIMEOUT_S)

    def _build_reconciler(self, number: int) -> Reconciler:
        return Reconciler(
            reactor=self._reactor,
            table=self._tables[number],
            weights=self._weights[number],
            host=self._hosts[number],
            upstreams=lambda: self._upstreams,
            hosts=lambda: self._hosts,
        )

    @inlineCallbacks
    def _run(self, duration_s: float) -> Any:
        for upstream in self._upstreams:
            yield self._reconcilers[0].request_order(build_command(upstream.name))
        for reconciler in self._reconcilers:
            reconciler.start()
        yield deferLater(self._reactor, SETTLING_TIME_S)
        before = yield read_counters(self._reactor, self._url)
        cpu_s = time.process_time()
        yield deferLater(self._reactor, duration_s)
        cpu_s = time.process_time() - cpu_s
        after = yield read_counters(self._reactor, self._url)
        orders = yield self._reconcilers[0].describe_orders()
        leases = yield self._reconcilers[0].describe_leases()
        yield DeferredList([reconciler.stop() for reconciler in self._reconcilers])
        yield DeferredList([client.close() for client in (*self._tables, *self._weights)])
        return LeaseResult(
            hosts=len(self._hosts),
            upstreams=len(self._upstreams),
            leases=sum(bool(lease.holder) for lease in leases),
            settled=sum(order.state.value == "settled" for order in orders),
            writes_per_s=(after.writes - before.writes) / duration_s,
            reads_per_s=(after.reads - before.reads) / duration_s,
            cpu_percent_per_host=PERCENT * cpu_s / duration_s / len(self._hosts),
        )

    def run(self, duration_s: float) -> Deferred[LeaseResult]:
        """Send one order to every engine, then measure the steady state for ``duration_s``."""
        return self._run(duration_s)


def build_upstream(name: str, url: str) -> Upstream:
    """Return an engine's declaration; all engines share the URL of one stand-in."""
    return Upstream(
        name=UpstreamName(name),
        kind=UpstreamKind.ENGINE,
        url=url,
        failure_domain=FailureDomain("a"),
        slots=8,
        models=(ModelName("small"),),
        fencing=FencingMode.IGNORED,
    )


def build_command(upstream: UpstreamName) -> OrderCommand:
    """Return an order that needs no permit."""
    return OrderCommand(
        upstream=upstream,
        change=RoleChange(role=EngineRole.DECODE),
        operator=OperatorName("bench"),
        command_id=CommandId(f"role-{upstream}"),
    )
