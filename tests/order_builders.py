"""Builds reconcilers of several hosts with in-memory engines and weight store."""

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from greengagestage.configuration import EngineRole, FencingMode, Upstream
from greengagestage.ids import CommandId, HostId, ModelName, OperatorName, UpstreamName
from greengagestage.orders import ArtifactChange, ArtifactKind, OrderCommand, Reconciler
from greengagestage.orders._engine_client import OldNumber, OrderTaken
from greengagestage.orders._states import EngineState
from greengagestage.outcomes import Unavailable, Unknown
from greengagestage.services import Permit, PermitDelayed

from .builders import build_engine
from .fake_platform import FakeTable, FakeTableClient


class FakeEngine:
    """An engine's order interface; ``fault`` is one of none, down, lost, unheard, held
    and slow.

    A held order is not applied until ``apply_order``; a slow read waits for ``finish_reads``.
    """

    def __init__(self, *, checks: bool) -> None:
        self.checks = checks
        self.state = EngineState(models=("small",))
        self.received: list[EngineState] = []
        self.fault = "none"
        self.held: list[EngineState] = []
        self.pending_reads: list[Deferred[Any]] = []

    def finish_reads(self) -> None:
        while self.pending_reads:
            self.pending_reads.pop().callback(self.state)

    def read(self) -> Deferred[Any]:
        if self.fault == "slow":
            self.pending_reads.append(Deferred())
            return self.pending_reads[-1]
        down = self.fault == "down"
        return succeed(Unavailable(reason="test") if down else self.state)

    def order(self, state: EngineState) -> Deferred[Any]:
        if self.fault == "down":
            return succeed(Unavailable(reason="test"))
        if self.fault == "held":
            self.held.append(state)
            return Deferred()
        if self.fault == "unheard":
            return succeed(Unknown(reason="test"))
        reply = self.apply_order(state)
        return succeed(Unknown(reason="test") if self.fault == "lost" else reply)

    def apply_order(self, state: EngineState) -> OldNumber | OrderTaken:
        self.received.append(state)
        if self.checks and state.fencing_number < self.state.fencing_number:
            return OldNumber(state=self.state)
        self.state = state
        return OrderTaken(state=state)

    def close(self) -> Deferred[None]:
        return succeed(None)


class FakeWeights:
    """Grants ``left`` permits, then tells callers to retry later."""

    def __init__(self) -> None:
        self.left = 1000
        self.asked: list[tuple[str, str]] = []

    def request_permit(self, artifact: str, upstream: UpstreamName) -> Deferred[Any]:
        if self.left == 0:
            return succeed(PermitDelayed(retry_after_s=5.0))
        self.left -= 1
        self.asked.append((artifact, upstream))
        return succeed(Permit(permit=str(self.left)))


def build_command(
    number: int, name: str = "large", *, loaded: bool = True, **changes: Any
) -> OrderCommand:
    """Return an order to load or unload a model on the first engine."""
    fields: dict[str, Any] = {
        "upstream": UpstreamName("e0"),
        "change": ArtifactChange(artifact=ArtifactKind.MODEL, name=name, loaded=loaded),
        "operator": OperatorName(f"operator-{number}"),
        "command_id": CommandId(f"c{number}"),
    }
    return OrderCommand(**(fields | changes))


@dataclass
class OrderFleet:
    """Reconcilers of several hosts that share one table and two engines."""

    fencing: FencingMode = FencingMode.CHECKED
    hosts: tuple[str, ...] = ("h1", "h2", "h3")
    clock: Clock = field(default_factory=Clock)
    table: FakeTable = field(default_factory=FakeTable)
    weights: FakeWeights = field(default_factory=FakeWeights)

    def __post_init__(self) -> None:
        checks = self.fencing is FencingMode.CHECKED
        self.engines = {f"http://127.0.0.1:{n}": FakeEngine(checks=checks) for n in range(2)}
        self.upstreams: list[Upstream] = [
            build_engine(f"e{n}", url=url, models=(ModelName("small"),), fencing=self.fencing)
            for n, url in enumerate(self.engines)
        ]
        self.clients: dict[str, FakeTableClient] = {}
        self.reconcilers = {host: self.build(host) for host in self.hosts}

    @property
    def engine(self) -> FakeEngine:
        return self.engines["http://127.0.0.1:0"]

    def build(self, host: str) -> Reconciler:
        self.clients[host] = FakeTableClient(self.table)
        return Reconciler(
            reactor=self.clock,
            table=self.clients[host],
            weights=self.weights,
            host=HostId(host),
            upstreams=lambda: self.upstreams,
            hosts=lambda: [HostId(x) for x in self.hosts],
            create_client=lambda url: self.engines[url],
        )

    def start(self) -> None:
        for reconciler in self.reconcilers.values():
            reconciler.start()

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds)):
            self.clock.advance(1.0)

    def find_holders(self) -> list[str]:
        """Return the hosts that consider the lease their own."""
        return [host for host, x in self.reconcilers.items() if x._leases.list_held()]

    def request(self, command: OrderCommand, host: str = "h1") -> list[Any]:
        outcomes: list[Any] = []
        self.reconcilers[host].request_order(command).addCallback(outcomes.append)
        return outcomes


LARGE = EngineState(models=("small", "large"), role=EngineRole.MIXED)
