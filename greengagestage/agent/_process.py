"""The agent process: everything for control on one host."""

import time
from collections.abc import Iterable
from random import Random
from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater

from greengagestage.configuration import Upstream, UpstreamKind, Version
from greengagestage.ids import PoolName, UpstreamName
from greengagestage.membership import HostDemand, SharedUpstream, compute_shares
from greengagestage.platform import HostListClient, ObjectClient, TableClient
from greengagestage.policy import UpstreamState
from greengagestage.wire import (
    ConfigurationInForce,
    EntryEndpoint,
    EntryMessage,
    EntryStatus,
    HostShares,
    UpstreamStatus,
    UpstreamStatuses,
)

from ._configuration_store import ConfigurationStore
from ._configuration_watch import ConfigurationWatch
from ._entry_reports import EntryReports
from ._load_client import LoadClient
from ._load_polls import LoadPolls, Measurement
from ._settings import AgentSettings

SHARE_INTERVAL_S = 1.0


def list_pools(upstream: Upstream) -> tuple[PoolName, ...]:
    """Return the pools that an upstream serves."""
    if upstream.kind is UpstreamKind.SERVICE:
        return (PoolName(upstream.service),) if upstream.service is not None else ()
    return tuple(PoolName(model) for model in upstream.models)


class AgentProcess:
    """Builds the parts of an agent and passes on what each one learns."""

    def __init__(self, *, reactor: Any, settings: AgentSettings, random: Random) -> None:
        times = settings.times
        platform = {
            "reactor": reactor,
            "base_url": settings.platform,
            "timeout_s": times.platform_timeout_s,
        }
        self.settings = settings
        self.reports = EntryReports()
        self._table = TableClient(**platform)
        self._objects = ObjectClient(**platform)
        self._hosts = HostListClient(**platform)
        self.store = ConfigurationStore(
            table=self._table,
            objects=self._objects,
            pause=lambda seconds: deferLater(reactor, seconds),
        )
        self.watch = ConfigurationWatch(
            reactor=reactor,
            store=self.store,
            interval_s=times.head_interval_s,
            random=random,
            on_adopted=self._adopt,
        )
        self.loads = LoadPolls(
            reactor=reactor,
            client=LoadClient(reactor=reactor, timeout_s=times.load_timeout_s),
            polls_per_s=settings.load_polls_per_s,
            interval_s=times.load_interval_s,
            on_measured=self._report_measurement,
        )
        self.entries = EntryEndpoint(
            reactor=reactor,
            address=settings.entry_listen,
            fleet_keys=settings.fleet_keys,
            on_message=self._receive_entry_message,
        )
        self._share_loop = LoopingCall(self._update_shares)
        self._share_loop.clock = reactor
        self._sent_shares: HostShares | None = None

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force here."""
        return self.watch.adoption.in_force is not None

    def start(self) -> None:
        """Listen and begin to work.

        Raises:
            pynng.exceptions.NNGException: An address cannot be listened on.
        """
        self.entries.start()
        self.watch.start()
        self.loads.start()
        self._share_loop.start(SHARE_INTERVAL_S, now=False)
        log_message("agent: started", host=self.settings.host)

    def stop(self) -> Deferred[Any]:
        """Stop working; the result comes once everything is closed."""
        self._share_loop.stop()
        self.loads.stop()
        self.watch.stop()
        self.entries.stop()
        log_message("agent: stopped", host=self.settings.host)
        return self._table.close()

    def _adopt(self, version: Version) -> None:
        upstreams = version.declaration.upstreams
        self.loads.set_engines({u.name: u for u in upstreams if u.kind is UpstreamKind.ENGINE})
        self.entries.broadcast(
            ConfigurationInForce(
                version=version.head.version, digest=version.head.digest, document=version.document
            )
        )
        self._report_upstreams(u.name for u in upstreams)
        self._update_shares()

    def _receive_entry_message(self, message: EntryMessage) -> None:
        match message:
            case EntryStatus():
                version = self.watch.adoption.in_force
                self.reports.record(message, version.declaration if version else None)

    def _report_measurement(self, name: UpstreamName, _: Measurement) -> None:
        self._report_upstreams([name])

    def _report_upstreams(self, names: Iterable[UpstreamName]) -> None:
        statuses = tuple(self._build_status(name) for name in names)
        if statuses:
            self.entries.broadcast(UpstreamStatuses(statuses=statuses))

    def _build_status(self, name: UpstreamName) -> UpstreamStatus:
        measurement = self.loads.measurements.get(name, Measurement())
        state = UpstreamState.GONE if measurement.is_gone else UpstreamState.LIVE
        age_s = time.monotonic() - measurement.measured_at_s
        return UpstreamStatus(
            upstream=name,
            state=state.value,
            running=measurement.running,
            waiting=measurement.waiting,
            age_ms=int(1000 * age_s),
        )

    def _update_shares(self) -> None:
        version = self.watch.adoption.in_force
        if version is None:
            return
        own = HostDemand(host=self.settings.host, demand=self.reports.demand)
        upstreams = [
            SharedUpstream(name=u.name, slots=u.slots, pools=list_pools(u))
            for u in version.declaration.upstreams
        ]
        shares = HostShares(
            slots=compute_shares([own], upstreams)[own.host],
            entry_hosts=1,
        )
        if shares != self._sent_shares:
            self._sent_shares = shares
            self.entries.broadcast(shares)
