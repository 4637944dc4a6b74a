"""A host's links to upstreams, which a test cuts while the host itself stays reachable."""

from collections.abc import Callable, Collection
from enum import Enum
from typing import Any

from twisted.internet.error import ConnectionRefusedError, TCPTimedOutError
from twisted.python.failure import Failure
from zope.interface import directlyProvides, providedBy

from .host_harness import HostFleet, build_request, choose_port, delay, serve


class Cut(Enum):
    """What a cut does to a host's connections to upstreams.

    Attributes:
        HANGING: Open ones go silent, and new ones are not answered.
        RESET: Open ones are reset, and new ones are refused.
        SURVIVING: Open ones go on, and new ones are refused.
    """

    HANGING = "hanging"
    RESET = "reset"
    SURVIVING = "surviving"


class CuttableReactor:
    """A reactor for one host, whose connections to some ports can be cut.

    Attributes:
        attempts: Ports to which connections were opened or tried, in order.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._cut: Cut | None = None
        self._ports: frozenset[int] = frozenset()
        self._connections: list[tuple[int, Any]] = []
        self.attempts: list[int] = []
        directlyProvides(self, providedBy(reactor))

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)

    def cut(self, cut: Cut, ports: Collection[int]) -> None:
        """Cut the links to some ports."""
        self._cut, self._ports = cut, frozenset(ports)
        for port, protocol in self._connections:
            if port not in self._ports or protocol.transport is None:
                continue
            if cut is Cut.RESET:
                protocol.transport.abortConnection()
            elif cut is Cut.HANGING and protocol.transport.connected:
                protocol.transport.stopReading()
                protocol.transport.stopWriting()
                protocol.transport.write = lambda data: None

    def heal(self) -> None:
        """Let new connections through; silent ones stay silent."""
        self._cut, self._ports = None, frozenset()

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, timeout: float = 30.0, **arguments: Any
    ) -> Any:
        """Connect, or fail as the cut does."""
        self.attempts.append(port)
        if port in self._ports:
            error = TCPTimedOutError() if self._cut is Cut.HANGING else ConnectionRefusedError()
            delay_s = timeout if self._cut is Cut.HANGING else 0.0
            failed = factory.clientConnectionFailed
            return self._reactor.callLater(delay_s, failed, None, Failure(error))
        build = factory.buildProtocol

        def build_and_remember(address: Any) -> Any:
            protocol = build(address)
            self._connections.append((port, protocol))
            return protocol

        factory.buildProtocol = build_and_remember
        return self._reactor.connectTCP(host, port, factory, timeout=timeout, **arguments)


class CutHost:
    """A host with links that can be cut, beside two others with links of their own."""

    def __init__(self, fleet: HostFleet) -> None:
        self.fleet = fleet
        for number in (1, 2, 3):
            fleet.add_upstream(f"archive-{number}")
            fleet.add_upstream(f"engine-{number}", service="engines")
        port = choose_port()
        self.links = CuttableReactor(fleet.reactor)
        self.others = [
            fleet.start_host(f"host-{number}", address=f"127.0.0.{number}", peer_port=port)
            for number in (2, 3)
        ]
        self.process = fleet.start_host(
            "host-1", address="127.0.0.4", peer_port=port, reactor=self.links
        )
        fleet.wait_ready()
        fleet.run_until(lambda: self.process._peers.known_hosts == 3)

    def cut(self, cut: Cut) -> None:
        """Cut the links to all upstreams."""
        ports = [each.port.getHost().port for each in self.fleet.upstreams.values()]
        self.links.cut(cut, ports)

    def lose_links(self, cut: Cut = Cut.RESET) -> None:
        """Cut the links and let the host notice."""
        self.cut(cut)
        for number in range(4):
            self.fleet.call("/lookup/x", attempt=f"notice-{number}")
            self.fleet.call("/long/x", attempt=f"notice-stream-{number}")

    def set_behavior(self, behavior: Any) -> None:
        """Change what all upstreams do with requests."""
        for upstream in self.fleet.upstreams.values():
            upstream.behavior = behavior

    @property
    def forwarded(self) -> int:
        """Number of requests that the other hosts have forwarded."""
        return sum(each._forwarding.forwarded for each in self.others)

    def count_runs(self, attempt: str) -> int:
        """Return how often upstreams have received a request."""
        upstreams = self.fleet.upstreams.values()
        return sum(each.attempt_ids.count(attempt.encode()) for each in upstreams)


class SuspectingHosts:
    """Three hosts whose links to some of the upstreams of a service are cut at once."""

    def __init__(self, fleet: HostFleet, *, suspected: Collection[str]) -> None:
        self.fleet = fleet
        self.suspected = [fleet.add_upstream(name) for name in suspected]
        # Slower than upstreams are taken to be, so that hosts prefer the suspected ones.
        fleet.add_upstream("sound", behavior=delay(0.4, serve))
        port = choose_port()
        self.links = [CuttableReactor(fleet.reactor) for _ in range(3)]
        self.hosts = [
            fleet.start_host(
                f"host-{number}", address=f"127.0.0.{number}", peer_port=port, reactor=links
            )
            for number, links in enumerate(self.links, 2)
        ]
        fleet.wait_ready()
        fleet.run_until(lambda: all(each._peers.known_hosts == 3 for each in self.hosts))
        self._calls = 0

    def suspect(self) -> None:
        """Cut the links, and call until each host suspects them."""
        for links in self.links:
            links.cut(Cut.RESET, [each.port.getHost().port for each in self.suspected])
        self._call_until(lambda: all(self._suspects(host) for host in self.hosts), 10.0)
        assert all(self._suspects(host) for host in self.hosts)
        for upstream in self.suspected:
            upstream.requests.clear()

    def heal(self) -> None:
        """Let all connections through again."""
        for links in self.links:
            links.heal()

    def call_until_served(self, limit_s: float) -> int:
        """Call all hosts; return how many of the suspected upstreams get a request in time."""
        self._call_until(lambda: all(each.requests for each in self.suspected), limit_s)
        return sum(bool(each.requests) for each in self.suspected)

    def call_until_restored(self, limit_s: float) -> int:
        """Call all hosts; return how many of their links to these upstreams are back in time.

        Which of the upstreams gets the requests then is the router's choice, not the links'.
        """
        self._call_until(lambda: self._count_restored() == 3 * len(self.suspected), limit_s)
        return self._count_restored()

    def _count_restored(self) -> int:
        return sum(
            not host._router.links.is_cut(each.name)
            for host in self.hosts
            for each in self.suspected
        )

    def _suspects(self, host: Any) -> bool:
        return all(host._router.links.is_cut(each.name) for each in self.suspected)

    def _call_until(self, condition: Callable[[], bool], limit_s: float) -> None:
        end_s = self.fleet.reactor.seconds() + limit_s
        while not condition() and self.fleet.reactor.seconds() < end_s:
            for number in range(len(self.hosts)):
                self._calls += 1
                request = build_request("/lookup/x", attempt=f"call-{self._calls}")
                self.fleet.connect(request, self.fleet._host_settings[number].callers)
            self.fleet.run_for(0.03)
