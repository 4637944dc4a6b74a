"""Test harness that runs hosts, a store, upstreams and callers in one reactor on loopback."""

import json
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

from twisted.internet.address import IPv4Address
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import ClientCreator

from greengagestage.catalog import Bounds, DutySettings, HostSettings
from greengagestage.gateway import HostProcess
from greengagestage.http1 import IncomingRequest, LimitExceeded, Responder, ServerFactory
from greengagestage.ids import FailureDomain, HostId
from standins.row_store import RowStore

from .raw_caller import RawCaller
from .reactors import choose_address, run_until, running_reactor

HOST = "shop.example"
KEY = "key-1"
EVENTS = [b"id: %d\ndata: token\n\n" % number for number in range(1, 6)]

Behavior = Callable[["UpstreamStandin", IncomingRequest, Responder], None]


def build_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    route = {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 2_000,
        "TargetLatencyMs": 250,
        "Service": service,
        "MaxAttempts": 1,
    }
    return {**route, **fields}


ROUTES = [
    build_route("lookup", "idempotent", "archive", MaxAttempts=2),
    build_route("order", "non_idempotent", "archive"),
    build_route(
        "short",
        "streaming",
        "engines",
        MaxAttempts=2,
        Resumable=True,
        StickySessions=True,
        TargetGapMs=200,
    ),
    build_route("long", "streaming", "engines", StickySessions=True, TargetGapMs=800),
    build_route("open", "idempotent", "archive", Public=True),
]

SLOW_ROUTE = build_route("slow", "idempotent", "archive", TimeoutMs=20_000)
"""A route whose requests may last longer than a host takes to stop, and keep it from ending."""


def build_document(version: int = 1, **changes: Any) -> bytes:
    engine = {"Slots": 8, "KvCapacityTokens": 100_000, "Stride": 1}
    document = {
        "Version": version,
        "Routes": ROUTES,
        "Services": [
            {"Name": "archive", "MaxConnections": 100},
            {"Name": "engines", "MaxConnections": 100, "Engine": engine},
        ],
        "Limits": {"HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000},
        "Tenants": [{"Name": "gyor", "ApiKeys": [KEY]}],
    }
    return json.dumps({**document, **changes}).encode()


def build_identity_headers(request: IncomingRequest) -> list[tuple[bytes, bytes]]:
    attempt = request.get(b"greengagestage-attempt-id") or b""
    return [(b"Greengagestage-Attempt-Id", attempt), (b"Greengagestage-Server-Signature", b"s")]


def serve(upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder) -> None:
    """Answer with a stream or a plain body, depending on the path."""
    if not request.target.startswith((b"/short/", b"/long/")):
        responder.answer(
            200, build_identity_headers(request), b"answer of " + upstream.name.encode()
        )
        return
    after = int(request.get(b"last-event-id") or b"0")
    responder.begin(200, build_identity_headers(request))
    for event in EVENTS[after:]:
        responder.write(event)
    responder.finish()


def refuse(upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder) -> None:
    responder.answer(503, [(b"Greengagestage-Not-Executed", b"1")], b"full")


def refuse_without_proof(
    upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder
) -> None:
    """Answer 503 without stating that the request was not run."""
    responder.answer(503, [], b"unavailable")


def answer_misdirected(
    upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder
) -> None:
    responder.answer(421, [], b"")


def fail(upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder) -> None:
    responder.answer(500, build_identity_headers(request), b"broken")


def reset(upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder) -> None:
    responder.abort()


def hang(upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder) -> None:
    upstream.hanging.append(responder)


def crash(upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder) -> None:
    """Begin an answer, then lose all connections and accept no more."""
    responder.begin(200, build_identity_headers(request))
    upstream.reactor.callLater(0.02, upstream.crash)


def crash_on_part(part: str) -> Behavior:
    """Return a behavior that crashes on requests with a shared prompt part and serves others."""

    def behave(upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder) -> None:
        parts = (request.get(b"greengagestage-prompt-prefix") or b"").decode().split(",")
        deadly = any(each.startswith(f"{part}:") for each in parts[:-1])
        (crash if deadly else serve)(upstream, request, responder)

    return behave


def name_limit(limit_per_s: float) -> Behavior:
    """Return a behavior that names a limit of requests a second in each of its answers."""

    def behave(upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder) -> None:
        limit = (b"Server-Limit", f"{limit_per_s}".encode())
        responder.answer(200, [*build_identity_headers(request), limit], b"limited")

    return behave


def send_endlessly(head: bytes, piece: bytes) -> Behavior:
    """Return a behavior that sends bytes and then a piece each 10 ms until the host closes."""

    def behave(upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder) -> None:
        transport = responder.transport  # type: ignore[attr-defined]
        transport.write(head)

        def send_piece() -> None:
            if transport.connected and not transport.disconnecting:
                transport.write(piece)
                upstream.reactor.callLater(0.01, send_piece)

        send_piece()

    return behave


def delay(delay_s: float, behavior: Behavior) -> Behavior:
    """Return a behavior that acts later, unless the host has closed the connection by then."""

    def behave(upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder) -> None:
        def act() -> None:
            if not upstream.disconnects:
                behavior(upstream, request, responder)

        upstream.reactor.callLater(delay_s, act)

    return behave


def answer_unidentified(
    upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder
) -> None:
    responder.answer(200, [], b"no proof")


def abort_mid_stream(
    upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder
) -> None:
    """Send two complete events and a part of the third, then abort the connection."""
    responder.begin(200, build_identity_headers(request))
    responder.write(EVENTS[0] + EVENTS[1] + EVENTS[2][:7])
    upstream.reactor.callLater(0.05, responder.abort)


def answer_without_framing(*parts: bytes, exits: bool = False) -> Behavior:
    """Return a behavior that sends parts of an answer, which ends with its connection.

    Args:
        exits: The upstream closes the connection since its process ends.
    """

    def behave(upstream: "UpstreamStandin", request: IncomingRequest, responder: Responder) -> None:
        headers = build_identity_headers(request)
        head = b"".join(b"%s: %s\r\n" % header for header in headers)
        transport = cast(Any, responder).transport
        transport.unregisterProducer()
        transport.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + b"".join(parts))
        upstream.reactor.callLater(0.05, upstream.exit if exits else transport.loseConnection)

    return behave


@dataclass(kw_only=True)
class UpstreamStandin:
    """A stand-in upstream with a replaceable behavior.

    Attributes:
        former_names: Upstreams that had its address before, whose requests its behavior handles.
        hanging: Responders of requests that were left unanswered.
        disconnects: Number of connections that the host closed before the answer.
    """

    name: str
    service: str
    reactor: Any
    behavior: Behavior = serve
    former_names: tuple[str, ...] = ()
    requests: list[IncomingRequest] = field(default_factory=list)
    hanging: list[Responder] = field(default_factory=list)
    disconnects: int = 0
    port: Any = None

    def handle(self, request: IncomingRequest, responder: Responder) -> None:
        # The port of an upstream that has ended may be another test's by now.
        expected = request.get(b"greengagestage-expect-instance")
        if expected is not None and expected.decode() not in (self.name, *self.former_names):
            responder.answer(421, [(b"Greengagestage-Not-Executed", b"1")], b"")
            return
        self.requests.append(request)
        responder.listener = self
        self.behavior(self, request, responder)

    def handle_disconnect(self) -> None:
        self.disconnects += 1

    def crash(self) -> None:
        """Reset all connections and stop listening, as the end of a process does."""
        self.port.stopListening()
        for connection in list(self.port.factory.connections):
            connection.transport.abortConnection()

    def exit(self) -> None:
        """Close all connections in order and stop listening, as the kernel does for a process."""
        self.port.stopListening()
        for connection in list(self.port.factory.connections):
            connection.transport.unregisterProducer()
            connection.transport.loseConnection()

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass

    def explain_limit(self, limit: LimitExceeded) -> bytes:
        return b""

    @property
    def attempt_ids(self) -> list[bytes]:
        return [request.get(b"greengagestage-attempt-id") or b"" for request in self.requests]

    def build_entry(self, **changes: Any) -> bytes:
        host = self.port.getHost()
        entry = {
            "Service": self.service,
            "Address": f"{host.host}:{host.port}",
            "Zone": "a",
            "Slots": 8,
            "State": "ready",
            "Sequence": 1,
            "born": 1_000,
        }
        return json.dumps({**entry, **changes}).encode()


class HostFleet:
    """A store, upstreams and hosts whose reactor is run by the test."""

    def __init__(self, reactor: EPollReactor) -> None:
        self.reactor = reactor
        self.store = RowStore(reactor=reactor)
        self.upstreams: dict[str, UpstreamStandin] = {}
        self.processes: list[HostProcess] = []
        self._host_settings: list[HostSettings] = []
        self._ports: list[Any] = []
        self._held: list[socket.socket] = []
        self.store_port = self._listen(self.store)
        self.store.put("op", "config", build_document())
        # As in a system that has run for a while.
        self.store.put("greengagestage-eras", "current", b'{"era": 1, "known_ms": -60000}')

    def add_upstream(
        self, name: str, *, service: str = "archive", behavior: Behavior = serve
    ) -> UpstreamStandin:
        upstream = UpstreamStandin(
            name=name, service=service, reactor=self.reactor, behavior=behavior
        )
        upstream.port = self._listen(upstream)
        self.upstreams[name] = upstream
        self.store.put("servers", name, upstream.build_entry())
        return upstream

    def add_closed_upstream(self, name: str, *, service: str = "archive") -> None:
        """Add an upstream that takes no connections; no other process can listen at its port."""
        held = socket.socket()
        held.bind(("127.0.0.1", 0))
        self._held.append(held)
        upstream = UpstreamStandin(name=name, service=service, reactor=self.reactor)
        upstream.port = SimpleNamespace(getHost=lambda: IPv4Address("TCP", *held.getsockname()))
        self.upstreams[name] = upstream
        self.store.put("servers", name, upstream.build_entry())

    def release_ports(self) -> None:
        """Let other processes have the ports of closed upstreams."""
        for held in self._held:
            held.close()

    def start_host(
        self,
        name: str = "host-1",
        *,
        address: str = "127.0.0.1",
        domain: str = "a",
        peer_port: int | None = None,
        reactor: Any = None,
        first_start: bool = False,
        duties: DutySettings | None = None,
        memory_bytes: float = 300 * 1_048_576,
        **bounds: Any,
    ) -> HostProcess:
        store = self.store_port.getHost()
        settings = HostSettings(
            host=HostId(name),
            address=address,
            failure_domain=FailureDomain(domain),
            callers=_choose_endpoint(),
            readiness=_choose_endpoint(),
            peer_port=peer_port or _choose_endpoint()[1],
            store=(store.host, store.port),
            first_start=first_start,
            bounds=Bounds(**{"key_revocation_s": 5.0, **bounds}),
            duties=duties,
            memory_bytes=memory_bytes,
        )
        process = HostProcess(reactor=reactor or self.reactor, settings=settings)
        process.start()
        self.processes.append(process)
        self._host_settings.append(settings)
        return process

    def wait_ready(self) -> None:
        self.run_until(lambda: self.ask_readiness() == 200)

    def ask_readiness(self) -> int:
        request = b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        caller = self.connect(request, self._host_settings[-1].readiness)
        self.run_until(lambda: caller.is_complete)
        return caller.status

    def connect(self, data: bytes, endpoint: tuple[str, int] | None = None) -> RawCaller:
        address, port = endpoint or self._host_settings[-1].callers
        connecting = ClientCreator(self.reactor, RawCaller).connectTCP(address, port)
        connected: list[RawCaller] = []
        refused: list[Any] = []
        connecting.addCallbacks(connected.append, refused.append)
        self.run_until(lambda: bool(connected or refused))
        if refused:
            refused[0].raiseException()
        connected[0].transport.write(data)
        return connected[0]

    def call(self, path: str, **fields: Any) -> RawCaller:
        """Send a request and wait for the complete answer or the end of the connection."""
        return self.call_at(-1, path, **fields)

    def call_at(self, host: int, path: str, **fields: Any) -> RawCaller:
        """Send a request to one of the hosts, by the order of their start; see ``call``."""
        endpoint = self._host_settings[host].callers
        caller = self.connect(build_request(path, **fields), endpoint)
        self.run_until(lambda: caller.is_complete or caller.closed)
        return caller

    def run_until(self, condition: Callable[[], bool]) -> None:
        run_until(self.reactor, condition)

    def run_for(self, duration_s: float) -> None:
        elapsed: list[bool] = []
        self.reactor.callLater(duration_s, elapsed.append, True)
        self.run_until(lambda: bool(elapsed))

    def listen(self, site: Any) -> tuple[str, int]:
        """Serve another stand-in; return its address and port."""
        address = self._listen(site).getHost()
        return address.host, address.port

    def _listen(self, site: Any) -> Any:
        factory = ServerFactory(
            reactor=self.reactor, on_request=site.handle, on_refused=site.explain_limit
        )
        # Nobody else gets this port if the test stops listening on it.
        address, number = _choose_endpoint()
        port = self.reactor.listenTCP(number, factory, interface=address)
        self._ports.append(port)
        return port


def build_request(
    path: str,
    *,
    attempt: str = "a1",
    key: str | None = KEY,
    method: str = "POST",
    body: bytes = b"body",
    deadline_ms: int = 2_000,
    headers: tuple[str, ...] = (),
    parts: str = "aa:600,bb:400",
) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Content-Length: {len(body)}",
        f"Greengagestage-Attempt-Id: {attempt}",
        f"Greengagestage-Deadline-Ms: {deadline_ms}",
        *headers,
    ]
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    if path.startswith(("/short/", "/long/")):
        lines.append("Greengagestage-Token-Usage: 1000,50")
        lines.append(f"Greengagestage-Prompt-Prefix: {parts}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def choose_port() -> int:
    return _choose_endpoint()[1]


def _choose_endpoint() -> tuple[str, int]:
    address, _, port = choose_address().rpartition(":")
    return address, int(port)


@contextmanager
def running_fleet() -> Iterator[HostFleet]:
    """Yield a fleet with a store, and without hosts or upstreams."""
    with running_reactor() as reactor:
        fleet = HostFleet(reactor)
        try:
            yield fleet
        finally:
            fleet.release_ports()
