"""The host process: builds and connects all parts that serve callers on one host."""

import time
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import replace
from random import Random
from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred

from greengagestage.catalog import HostSettings, RegisteredUpstream, RouteTable
from greengagestage.duties import Clocks, DutyBody, DutyService, FleetView
from greengagestage.http1 import (
    ConnectionPool,
    Endpoint,
    MemoryAccount,
    MemoryWatch,
    ServerFactory,
    compute_held_limit,
)
from greengagestage.ids import (
    FailureDomain,
    HostId,
    Incarnation,
    InstanceId,
    ServiceName,
    WorkspaceId,
)
from greengagestage.platform import RowClient
from greengagestage.routing import Demand, ForwardingHost, Router, UpstreamLoad
from greengagestage.telemetry import DomainTrafficMetrics, EntryMetrics, LabelledGauge

from ._answer_ends import AnswerEnds
from ._connection_limits import divide_descriptors
from ._context import ExchangeContext
from ._readiness import ReadinessHandler
from ._retry_gauges import build_retry_gauges
from ._shutdown import Shutdown
from ._site import CallerRequestHandler, ConfigurationView
from .crashes import CrashKnowledge
from .forwarding import ForwardingHandler
from .peers import PeerCallbacks, PeerLink
from .watches import (
    EraTable,
    HostList,
    HostRow,
    LinkWatch,
    RegistryWatch,
    RouteWatch,
    StoreEra,
    UpstreamNotices,
    VersionTable,
    read_boot_time_s,
)

MAX_WORKSPACE_LABELS = 50
"""Workspaces with their own metric label; the others share one."""

RETURNED_ENTRY_PAUSE_S = 5.0
"""Time for which an upstream gets no requests whose removed entry came back with an older copy of
the store. The registry removes the entry of a silent upstream again after three missed heartbeats,
and is read about every second."""

MAX_READY_CONFIGURATION_AGE_S = 2.5
"""A host that has learned longer ago what the store shows reports itself as not ready. It normally
learns that about every second."""

FORWARDING_HEADER_BYTES = 4_096
"""Room for the headers that hosts add to a caller's request."""

LISTEN_BACKLOG = 1_024
"""Listen backlog in connections. When it is full, callers' SYN packets are dropped and connecting
takes seconds."""


class HostProcess:
    """Serves callers on one host, from its listeners to its watches of the store."""

    def __init__(self, *, reactor: Any, settings: HostSettings) -> None:
        self._reactor = reactor
        self._settings = settings
        incarnation = time.time_ns() // 1_000_000
        random = Random(f"{settings.host}/{incarnation}")
        self._router = Router(
            domain=settings.failure_domain, bounds=settings.bounds, draw=random.random
        )
        self._memory = MemoryAccount(limit_bytes=compute_held_limit(settings.memory_bytes))
        self._memory_watch = MemoryWatch(reactor=reactor, memory=self._memory)
        self._counts = divide_descriptors(settings.max_descriptors)
        self._pool = ConnectionPool(reactor=reactor, max_connections=self._counts.callers)
        self._forwarding_pool = ConnectionPool(
            reactor=reactor,
            bind_address=settings.address,
            max_connections=self._counts.forwarding,
        )
        self._link_watch = LinkWatch(
            reactor=reactor,
            host=settings.host,
            router=self._router,
            pool=self._pool,
            draw=random.random,
        )
        self._era = StoreEra()
        self._rows = self._build_row_client()
        self._crashes = self._build_crash_knowledge(random)
        self._routes = self._build_route_watch(random)
        self._eras = self._build_era_table(random)
        self._registry = self._build_registry_watch(random)
        self._versions = self._build_version_table(random)
        self._peers = self._build_peers(incarnation, random)
        self._domain_hosts: Mapping[FailureDomain, int] = {}
        self._duties = self._build_duties(incarnation)
        self._hosts = HostList(
            reactor=reactor,
            rows=self._rows,
            era=self._era,
            settings=settings,
            random=random,
            on_hosts=self._adopt_hosts,
            on_registered=self._begin_retry_slack,
        )
        self._configuration = ConfigurationView(
            read_age_s=lambda: self._routes.age_s,
            key_revocation_s=settings.bounds.key_revocation_s,
        )
        self._metrics = EntryMetrics(
            workspace_labels=MAX_WORKSPACE_LABELS,
            read_gauges=self._read_gauges,
            read_labelled_gauges=self._read_labelled_gauges,
            collectors=(
                DomainTrafficMetrics(
                    read_requests=lambda: self._router.domain_traffic.requests,
                    read_bytes=lambda: self._router.domain_traffic.transferred_bytes,
                ),
            ),
        )
        self._context = self._build_context()
        self._caller_server = self._build_caller_server(random)
        self._forwarding = ForwardingHandler(
            context=self._context,
            is_peer=self._peers.is_peer_address,
            is_stopping=lambda: self._shutdown.begun,
        )
        self._forwarding_server = ServerFactory(
            reactor=reactor,
            on_request=self._forwarding.handle,
            on_refused=self._forwarding.explain_limit,
            memory=self._memory,
            max_connections=self._counts.forwarding,
        )
        self._readiness_server = self._build_readiness_server()
        self._shutdown = Shutdown(
            reactor=reactor,
            grace_s=settings.bounds.stop_grace_s,
            servers=(self._caller_server, self._forwarding_server),
            configuration=self._configuration,
            open_exchanges=self._context.open_exchanges,
        )
        duties = () if self._duties is None else (self._duties,)
        self._tasks = (
            *duties,
            self._routes,
            self._eras,
            self._registry,
            self._versions,
            self._hosts,
            self._crashes,
            self._peers,
            self._memory_watch,
        )

    def start(self) -> None:
        """Open the listeners and start watching the store.

        Raises:
            twisted.internet.error.CannotListenError: A listener could not be bound to its address.
        """
        settings = self._settings
        for server, (address, port) in (
            (self._caller_server, settings.callers),
            (self._readiness_server, settings.readiness),
            (self._forwarding_server, (settings.address, settings.peer_port)),
        ):
            server.listen(address, port, backlog=LISTEN_BACKLOG)
        self._reactor.listenUDP(
            settings.peer_port, self._peers, interface=settings.address, maxPacketSize=2_048
        )
        for task in self._tasks:
            task.start()
        log_message(
            message_type="host: started",
            callers=f"{settings.callers[0]}:{settings.callers[1]}",
            failure_domain=settings.failure_domain,
        )

    def stop(self) -> Deferred[None]:
        """Stop gracefully; fires when no request is open, or shortly before the grace period ends.

        Requests that are still open then are interrupted.
        """
        log_message(message_type="host: stopping", open_requests=len(self._context.open_exchanges))
        if self._duties is not None:
            self._duties.leave()
        return self._shutdown.begin().addCallback(self._close)

    def adopt_settings(self, settings: HostSettings) -> None:
        """Apply changed bounds; changed addresses take effect only at the next start."""
        self._router.update_bounds(settings.bounds)
        self._configuration.key_revocation_s = settings.bounds.key_revocation_s
        self._shutdown.grace_s = settings.bounds.stop_grace_s

    def _close(self, _: None) -> None:
        for task in self._tasks:
            task.stop()
        self._pool.close()
        self._forwarding_pool.close()
        self._rows.close()
        log_message(
            message_type="host: stopped",
            connections=len(self._caller_server.connections),
            unread_requests=self._caller_server.count_unread(),
            unaccepted_connections=self._caller_server.count_unaccepted(),
        )

    def _build_crash_knowledge(self, random: Random) -> CrashKnowledge:
        return CrashKnowledge(
            reactor=self._reactor,
            pool=self._pool,
            rows=self._rows,
            random=random,
            report_loss=lambda fingerprint, loss_id: self._peers.report_loss(fingerprint, loss_id),
            report_early_loss=lambda loss: self._peers.report_early_loss(loss),
            report_suspects=lambda records: self._peers.report_suspects(records),
            get_era=lambda: self._era.number,
            get_rank=lambda: self._peers.rank,
            host=self._settings.host,
            list_hosts=lambda: [] if self._router.hosts is None else self._peers.list_hosts(),
        )

    def _build_row_client(self) -> RowClient:
        address, port = self._settings.store
        return RowClient(
            reactor=self._reactor,
            endpoint=Endpoint(address=address, port=port),
            on_era=self._era.observe,
        )

    def _build_route_watch(self, random: Random) -> RouteWatch:
        return RouteWatch(
            reactor=self._reactor,
            rows=self._rows,
            era=self._era,
            random=random,
            on_table=self._adopt_routes,
            on_report=lambda report, changed: self._peers.report_configuration(
                report, changed=changed
            ),
            get_rank=lambda: self._peers.rank,
            first_start=self._settings.first_start,
        )

    def _build_era_table(self, random: Random) -> EraTable:
        return EraTable(
            reactor=self._reactor,
            rows=self._rows,
            era=self._era,
            random=random,
            on_known=self._routes.learn_era,
        )

    def _build_registry_watch(self, random: Random) -> RegistryWatch:
        return RegistryWatch(
            reactor=self._reactor,
            rows=self._rows,
            era=self._era,
            random=random,
            on_change=self._adopt_upstreams,
            on_returned=self._pause_returned_upstream,
            on_report=lambda report: self._peers.report_registry(report),
            get_rank=lambda: self._peers.rank,
            on_gap=lambda: self._versions.handle_gap(),
        )

    def _build_version_table(self, random: Random) -> VersionTable:
        return VersionTable(
            reactor=self._reactor,
            rows=self._rows,
            era=self._era,
            versions=self._router.stream_versions,
            random=random,
            first_start=self._settings.first_start,
            list_services=self._list_resumable_services,
            read_registry_revision=lambda: self._registry.revision,
            get_rank=lambda: self._peers.rank,
            on_report=lambda report: self._peers.report_versions(report),
        )

    def _build_peers(self, incarnation: int, random: Random) -> PeerLink:
        crashes = self._crashes
        return PeerLink(
            reactor=self._reactor,
            host=self._settings.host,
            incarnation=incarnation,
            port=self._settings.peer_port,
            domain=self._settings.failure_domain,
            draw=random.random,
            callbacks=PeerCallbacks(
                measure_local_loads=self._router.measure_local_loads,
                measure_local_demand=self._router.measure_local_demand,
                list_upstreams=lambda: self._router.upstreams,
                on_work=self._update_peer_loads,
                on_loss=crashes.learn_loss,
                list_losses=crashes.list_losses,
                on_losses=crashes.learn_losses,
                on_early_losses=crashes.learn_early_losses,
                list_suspects=crashes.suspects.list_records,
                on_suspects=crashes.suspects.learn,
                on_limit=self._record_peer_limit,
                on_rejection=self._record_peer_rejection,
                on_registry=self._registry.receive_report,
                on_configuration=self._routes.receive_report,
                take_streams=self._router.stream_versions.take_reports,
                on_streams=lambda records: self._router.stream_versions.origins.learn(
                    records, self._reactor.seconds()
                ),
                on_versions=self._versions.receive_report,
                on_peers=self._adopt_peers,
                on_duty=self._receive_duty,
            ),
        )

    def _build_duties(self, incarnation: int) -> DutyService | None:
        duties = self._settings.duties
        if duties is None:
            return None
        return DutyService(
            reactor=self._reactor,
            settings=self._settings,
            duties=duties,
            started_ms=incarnation,
            rows=self._rows,
            link=self._peers,
            clocks=Clocks(read_boot_s=read_boot_time_s),
            read_era=lambda: self._era.number,
            fleet=FleetView(
                router=self._router,
                read_table=lambda: self._configuration.table,
                read_registry_age_s=lambda: self._registry.age_s,
                read_coverage=self._compute_coverage,
                count_hosts=lambda: self._domain_hosts,
            ),
            knows_hosts=lambda: self._router.hosts is not None,
        )

    def _build_context(self) -> ExchangeContext:
        return ExchangeContext(
            reactor=self._reactor,
            router=self._router,
            pool=self._pool,
            forwarding_pool=self._forwarding_pool,
            answer_ends=AnswerEnds(
                reactor=self._reactor,
                pool=self._pool,
                list_upstreams=lambda: (each.record for each in self._router.upstreams.values()),
            ),
            link_watch=self._link_watch,
            quarantine=self._crashes.quarantine,
            notices=UpstreamNotices(
                router=self._router,
                report_limit=self._peers.report_limit,
                report_rejection=self._peers.report_rejection,
            ),
            metrics=self._metrics,
            confirm_versions=self._confirm_versions,
            memory=self._memory,
            awaits_crashes=lambda: self._crashes.is_awaited,
            takes_requests=lambda: not self._configuration.refuses_requests,
            count_begun=self._count_begun,
        )

    def _build_caller_server(self, random: Random) -> ServerFactory:
        handler = CallerRequestHandler(
            context=self._context, configuration=self._configuration, random=random
        )
        return ServerFactory(
            reactor=self._reactor,
            on_request=handler.handle,
            on_refused=handler.refuse_unread,
            memory=self._memory,
            max_connections=self._counts.callers,
        )

    def _build_readiness_server(self) -> ServerFactory:
        handler = ReadinessHandler(
            find_unready_reason=self._find_unready_reason, render_metrics=self._metrics.render
        )
        return ServerFactory(
            reactor=self._reactor, on_request=handler.handle, on_refused=handler.explain_limit
        )

    def _find_unready_reason(self) -> str | None:
        """Return why the load balancer should send callers to another host; None if ready."""
        if self._shutdown.begun:
            return "stopping"
        if self._configuration.table is None:
            return "no configuration"
        if not self._registry.is_loaded:
            return "registry of upstreams not read yet"
        age_s = self._routes.observed_age_s
        if age_s is None or age_s > MAX_READY_CONFIGURATION_AGE_S or self._configuration.is_stale:
            return "configuration not confirmed"
        return None

    def _adopt_routes(self, table: RouteTable) -> None:
        self._configuration.table = table
        self._caller_server.limits = table.limits
        self._forwarding_server.limits = replace(
            table.limits, header_bytes=table.limits.header_bytes + FORWARDING_HEADER_BYTES
        )
        self._router.update_routes(table)

    def _list_resumable_services(self) -> Collection[ServiceName]:
        table = self._configuration.table
        routes = () if table is None else table.routes
        return {
            destination.service
            for route in routes
            if route.resumable
            for destination in route.destinations
        }

    def _adopt_upstreams(self, records: Iterable[RegisteredUpstream]) -> None:
        records = list(records)
        self._crashes.observe_upstreams(records)
        kept = {(record.address, record.port) for record in records}
        for state in list(self._router.upstreams.values()):
            address = (state.record.address, state.record.port)
            if address not in kept:
                self._pool.close_endpoint(Endpoint(address=address[0], port=address[1]))
        self._router.update_upstreams(records, self._reactor.seconds())
        self._versions.check()

    def _confirm_versions(self, service: ServiceName) -> Deferred[bool]:
        return self._registry.confirm().addCallback(
            lambda is_complete: self._versions.confirm(service) if is_complete else False
        )

    def _pause_returned_upstream(self, upstream: RegisteredUpstream) -> None:
        self._router.record_pause(
            upstream.incarnation, RETURNED_ENTRY_PAUSE_S, self._reactor.seconds()
        )

    def _adopt_peers(self, addresses: Mapping[HostId, str]) -> None:
        port = self._settings.peer_port
        self._router.links.update_hosts(
            ForwardingHost(host=host, address=address, port=port)
            for host, address in addresses.items()
        )

    def _begin_retry_slack(self, has_predecessor: bool) -> None:
        now_s = self._reactor.seconds()
        self._router.retries.begin_slack(now_s, has_predecessor=has_predecessor)

    def _adopt_hosts(self, rows: Mapping[HostId, HostRow]) -> None:
        for host, row in rows.items():
            self._peers.add_peer(host, row.address, FailureDomain(row.failure_domain))
        self._domain_hosts = Counter(FailureDomain(row.failure_domain) for row in rows.values())
        self._router.hosts = self._peers.known_hosts
        self._router.position = self._peers.position

    def _update_peer_loads(
        self,
        loads: Mapping[InstanceId, UpstreamLoad],
        demands: Mapping[ServiceName, Demand],
    ) -> None:
        self._router.update_peer_loads(loads, demands)
        if self._duties is not None:
            self._duties.update_peer_demand(demands)
        self._router.report_delay_s = self._peers.delay_s
        if self._router.hosts is not None:
            self._router.hosts = self._peers.known_hosts
            self._router.position = self._peers.position
        self._router.silent_hosts = self._peers.known_hosts - 1 - self._peers.active_peers

    def _record_peer_limit(self, incarnation: Incarnation, limit_per_s: float | None) -> None:
        now_s = self._reactor.seconds()
        if limit_per_s is None:
            self._router.end_limit(incarnation, now_s)
        else:
            self._router.record_limit(incarnation, limit_per_s, now_s)

    def _record_peer_rejection(self, incarnation: Incarnation, allowance: int) -> None:
        now_s = self._reactor.seconds()
        self._router.record_brittle(incarnation, allowance, now_s)
        self._router.record_rejection(incarnation, now_s)

    def _receive_duty(self, host: HostId, started_ms: int, body: DutyBody) -> None:
        if self._duties is not None:
            self._duties.receive(host, started_ms, body)

    def _count_begun(self, workspace: WorkspaceId) -> None:
        if self._duties is not None:
            self._duties.count_begun(workspace)

    def _compute_coverage(self) -> float:
        """Return the share of the known hosts whose demand is known; 0 while hosts are unknown."""
        if self._router.hosts is None:
            return 0.0
        return (1 + self._peers.active_peers) / self._peers.known_hosts

    def _read_labelled_gauges(self) -> Iterable[LabelledGauge]:
        now_s = self._reactor.seconds()
        yield from build_retry_gauges(self._router.retries.list_usage(self._router.hosts, now_s))
        if self._duties is not None:
            yield from self._duties.list_labelled_gauges()

    def _read_gauges(self) -> dict[str, float]:
        duties = {} if self._duties is None else self._duties.read_gauges()
        return {
            **duties,
            "open_requests": len(self._context.open_exchanges),
            "caller_connections": len(self._caller_server.connections),
            "caller_bytes_held": self._memory.held_bytes,
            "callers_closed_for_memory": self._memory_watch.closed,
            "callers_evicted": self._caller_server.evicted,
            "caller_bytes_discarded": self._caller_server.discarded_bytes,
            "caller_reads_late": self._caller_server.late_reads,
            "caller_longest_unread_seconds": self._caller_server.longest_unread_s,
            "upstreams": len(self._router.upstreams),
            "active_peers": self._peers.active_peers,
            "store_calls": self._rows.calls,
            "upstream_connections_opened": self._pool.opened,
            "stream_history_complete": self._router.stream_versions.history.is_all_complete(
                self._reactor.seconds()
            ),
            "version_rows_written": self._versions.writes,
            "requests_forwarded_by_others": self._link_watch.forwarded,
            "requests_forwarded_for_others": self._forwarding.forwarded,
        }
