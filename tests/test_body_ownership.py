"""Request bodies are freed, without the garbage collector, once nobody can need them any more."""

from collections import Counter
from collections.abc import Iterator, Sequence
from random import Random
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from greengagestage.gateway import HostProcess
from greengagestage.gateway.exchange import RequestExchange
from greengagestage.gateway.exchange._attempt import Attempt
from greengagestage.gateway.forwarding._forwarding import ForwardedRequest
from greengagestage.http1 import IncomingRequest, Responder

from .cut_links import Cut, CutHost, CuttableReactor
from .host_harness import (
    EVENTS,
    Behavior,
    HostFleet,
    UpstreamStandin,
    build_identity_headers,
    build_request,
    fail,
    hang,
    refuse,
    reset,
    running_fleet,
    serve,
)
from .live_bodies import TrackedBody, count_live, without_collector
from .raw_caller import RawCaller

OWNERS = (RequestExchange, Attempt, ForwardedRequest)
"""Parts of a host that stand for one request, with what is buffered of its answer."""

SETTLE_S = 0.1
"""Time in which connections that have been closed or aborted end."""


END_S = 1.0
"""Time after the deadline in which a request's connections end."""

WALK_DEADLINE_MS = 1_500

MEMORY_BYTES = 32 * 1_048_576
"""Memory of a host that may hold four bodies."""


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with without_collector(), running_fleet() as fleet:
        yield fleet


def begin(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
    """Begin an answer and leave it open; a plain one is buffered, an event is passed on."""
    responder.begin(200, build_identity_headers(request))
    responder.write(EVENTS[0])


class Uploads:
    """Uploads through a host, to upstreams that keep no body.

    Attributes:
        body: The body of all uploads.
        arrived: How often upstreams have got each request, by its attempt id.
    """

    def __init__(self, fleet: HostFleet, *behaviors: Behavior, service: str = "archive") -> None:
        self.fleet = fleet
        self.body = TrackedBody()
        self._others = count_live(*OWNERS)  # of failed tests
        self.arrived: Counter[bytes] = Counter()
        for number, behavior in enumerate(behaviors):
            fleet.add_upstream(
                f"{service}-{number}", service=service, behavior=self.record(behavior)
            )

    def record(self, behavior: Behavior) -> Behavior:
        """Return a behavior that keeps no copy of the body."""

        def behave(
            upstream: UpstreamStandin, request: IncomingRequest, responder: Responder
        ) -> None:
            upstream.requests.clear()
            self.arrived[request.get(b"greengagestage-attempt-id") or b""] += 1
            behavior(upstream, request, responder)

        return behave

    def upload(self, path: str, *, deadline_ms: int = 5_000, **fields: Any) -> RawCaller:
        fields = {"attempt": "up", "deadline_ms": deadline_ms, **fields}
        return self.fleet.connect(build_request(path, body=self.body.data, **fields))

    def upload_until_arrived(self, path: str, *, deadline_ms: int = 5_000) -> RawCaller:
        caller = self.upload(path, deadline_ms=deadline_ms)
        self.fleet.run_until(lambda: self.arrived[b"up"] > 0)
        return caller

    def ignore(self, upstream: UpstreamStandin) -> None:
        """Let an upstream read nothing from the connections that are opened to it from now on."""
        factory = upstream.port.factory
        build = factory.buildProtocol

        def build_unread(address: Any) -> Any:
            connection = build(address)
            made = connection.connectionMade

            def connect() -> None:
                made()
                connection.transport.pauseProducing()

            connection.connectionMade = connect
            return connection

        factory.buildProtocol = build_unread

    def leave(self, caller: RawCaller) -> None:
        caller.transport.abortConnection()
        self.fleet.run_for(SETTLE_S)

    def check_counted(self, processes: Sequence[HostProcess]) -> None:
        held_bytes = 0
        for process in processes:
            process._memory.measure()
            held_bytes += process._memory.held_bytes
        assert held_bytes >= self.body.count_copies() * len(self.body.data)

    def check_all_freed(self) -> None:
        assert self.body.count_copies() == 0
        assert count_live(*OWNERS) == self._others


# Each of these guards against bodies that stay in reference cycles when their requests have ended,
# so that they add up until the collector of the oldest generation runs (review/11).
@pytest.mark.parametrize("path", ["/lookup/x", "/short/x"])
@pytest.mark.parametrize("behavior", [hang, begin])
def test_a_caller_leaves(fleet: HostFleet, path: str, behavior: Behavior) -> None:
    service = "archive" if path.startswith("/lookup") else "engines"
    uploads = Uploads(fleet, behavior, service=service)
    fleet.start_host()
    fleet.wait_ready()
    uploads.leave(uploads.upload_until_arrived(path))
    uploads.check_all_freed()


@pytest.mark.parametrize("behavior", [hang, begin, reset, refuse, fail, serve])
def test_a_request_gets_its_last_answer(fleet: HostFleet, behavior: Behavior) -> None:
    uploads = Uploads(fleet, behavior, behavior)
    fleet.start_host()
    fleet.wait_ready()
    caller = uploads.upload_until_arrived("/lookup/x", deadline_ms=600)
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    fleet.run_for(SETTLE_S)
    uploads.check_all_freed()


def test_a_successor_wins(fleet: HostFleet) -> None:
    uploads = Uploads(fleet, hang)
    fleet.start_host()
    fleet.wait_ready()
    caller = uploads.upload_until_arrived("/lookup/x")
    Uploads(fleet, serve, service="archive")
    fleet.run_until(lambda: caller.is_complete)
    fleet.run_for(SETTLE_S)
    uploads.check_all_freed()


def test_a_caller_leaves_while_the_connection_is_opened(fleet: HostFleet) -> None:
    uploads = Uploads(fleet, serve)
    links = CuttableReactor(fleet.reactor)
    fleet.start_host(reactor=links)
    fleet.wait_ready()
    port = fleet.upstreams["archive-0"].port.getHost().port
    links.cut(Cut.HANGING, [port])
    caller = uploads.upload("/lookup/x")
    fleet.run_until(lambda: port in links.attempts)
    uploads.leave(caller)
    assert uploads.body.count_copies() == 0


def test_a_caller_leaves_while_the_origin_of_its_stream_is_sought(
    fleet: HostFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    uploads = Uploads(fleet, serve, service="engines")
    process = fleet.start_host()
    fleet.wait_ready()
    reads: list[Deferred[bool]] = []

    def confirm() -> Deferred[bool]:
        reads.append(Deferred())
        return reads[-1]

    monkeypatch.setattr(process._registry, "confirm", confirm)
    caller = uploads.upload("/short/x", headers=("Last-Event-ID: 2",))
    fleet.run_until(lambda: bool(reads))
    uploads.leave(caller)
    assert uploads.body.count_copies() == 0


def test_the_caller_of_a_forwarded_request_leaves(fleet: HostFleet) -> None:
    host = CutHost(fleet)
    host.lose_links()
    uploads = Uploads(fleet)
    host.set_behavior(uploads.record(hang))
    uploads.leave(uploads.upload_until_arrived("/lookup/x"))
    assert uploads.body.count_copies() == 0


# Each of these guards against bodies that are kept after all of them has been sent, by requests
# that go on without their callers (review/12).
def test_a_caller_leaves_a_request_that_must_run_once(fleet: HostFleet) -> None:
    uploads = Uploads(fleet, hang)
    fleet.start_host()
    fleet.wait_ready()
    uploads.leave(uploads.upload_until_arrived("/order/x"))
    assert uploads.body.count_copies() == 0
    assert fleet.upstreams["archive-0"].disconnects == 0


def test_a_caller_leaves_a_forwarded_request_that_must_run_once(fleet: HostFleet) -> None:
    host = CutHost(fleet)
    host.lose_links()
    uploads = Uploads(fleet)
    host.set_behavior(uploads.record(hang))
    uploads.leave(uploads.upload_until_arrived("/order/x"))
    assert uploads.body.count_copies() == 0
    assert not any(upstream.disconnects for upstream in fleet.upstreams.values())


# Guards against a host that takes uploads above its limit, since it forgets the bodies of callers
# who have left (review/12).
def test_bodies_without_callers_stay_counted_until_they_are_dropped(fleet: HostFleet) -> None:
    uploads = Uploads(fleet, serve)
    uploads.ignore(fleet.upstreams["archive-0"])
    process = fleet.start_host(memory_bytes=MEMORY_BYTES)
    fleet.wait_ready()
    callers = [uploads.upload("/order/x", attempt=f"up-{n}") for n in range(4)]
    fleet.run_until(lambda: len(process._context.open_exchanges) == 4)
    for caller in callers:
        uploads.leave(caller)
    assert uploads.body.count_copies() == 4
    uploads.check_counted([process])
    refused = uploads.upload("/order/x", attempt="late")
    fleet.run_until(lambda: refused.is_complete)
    assert refused.status == 503
    fleet.run_until(lambda: uploads.body.count_copies() == 0)  # lost, since nothing is read
    process._memory.measure()
    assert process._memory.held_bytes < len(uploads.body.data)


class Walk:
    """A drawn order of uploads, of callers who leave, and of what upstreams and links do."""

    def __init__(self, fleet: HostFleet, seed: int) -> None:
        self.random = Random(seed)
        self.host = CutHost(fleet)
        self.uploads = Uploads(fleet)
        self.callers: list[RawCaller] = []
        self._uploads = 0
        self.uploads.ignore(fleet.upstreams["archive-1"])
        self.change_behavior()

    def step(self) -> None:
        """Do one thing, and let a short time pass."""
        steps = (self.upload, self.leave, self.change_behavior, self.reset, self.cut, self.heal)
        self.random.choices(steps, weights=(8, 5, 3, 2, 1, 1))[0]()
        self.host.fleet.run_for(self.random.choice((0.0, 0.02, 0.1)))

    def upload(self) -> None:
        self._uploads += 1
        path = self.random.choice(("/lookup/x", "/order/x", "/short/x"))
        deadline_ms = self.random.choice((200, 600, WALK_DEADLINE_MS))
        attempt = f"up-{self._uploads}"
        caller = self.uploads.upload(path, attempt=attempt, deadline_ms=deadline_ms)
        self.callers.append(caller)

    def leave(self) -> None:
        if self.callers:
            caller = self.callers.pop(self.random.randrange(len(self.callers)))
            caller.transport.abortConnection()

    def change_behavior(self) -> None:
        for upstream in self.host.fleet.upstreams.values():
            behavior = self.random.choice((hang, hang, begin, reset, refuse, fail, serve))
            upstream.behavior = self.uploads.record(behavior)

    def reset(self) -> None:
        upstream = self.random.choice(list(self.host.fleet.upstreams.values()))
        for connection in list(upstream.port.factory.connections):
            connection.transport.abortConnection()

    def cut(self) -> None:
        self.host.cut(self.random.choice(list(Cut)))

    def heal(self) -> None:
        self.host.links.heal()


# Guards against bodies that no account counts, in whatever order requests end (review/11, 12).
@pytest.mark.parametrize("seed", range(4))
def test_all_bodies_are_counted_while_they_are_alive(fleet: HostFleet, seed: int) -> None:
    walk = Walk(fleet, seed)
    processes = [walk.host.process, *walk.host.others]
    for _ in range(30):
        walk.step()
        walk.uploads.check_counted(processes)
    fleet.run_for(WALK_DEADLINE_MS / 1_000 + END_S)
    walk.uploads.check_all_freed()
