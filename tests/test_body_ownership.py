"""Request bodies are freed, without the garbage collector, once nobody can need them any more."""

from collections import Counter
from collections.abc import Callable, Iterator
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

MEMORY_BYTES = 32 * 1_048_576
"""Memory of a host that may hold four bodies."""

WALK_S = 1.5
"""The longest deadline of drawn uploads."""


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with without_collector(), running_fleet() as fleet:
        yield fleet


def begin(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
    """Begin an answer and leave it open; a plain one is buffered, an event is passed on."""
    responder.begin(200, build_identity_headers(request))
    responder.write(EVENTS[0])


class Uploads:
    """Uploads of one body through hosts to upstreams, of which none keeps a copy."""

    def __init__(self, fleet: HostFleet) -> None:
        self.fleet = fleet
        self.body = TrackedBody()
        self.processes: list[HostProcess] = []
        self._others = count_live(*OWNERS)  # of failed tests
        self._arrived: Counter[bytes] = Counter()

    def start(
        self, behavior: Behavior, *, forwarded: bool = False, reads: bool = True, **settings: Any
    ) -> None:
        """Start hosts, and upstreams of both services with a behavior, or that read nothing."""
        if forwarded:
            host = CutHost(self.fleet)
            host.lose_links()
            host.set_behavior(self.record(behavior))
            self.processes = [host.process, *host.others]
            return
        for service in ("archive", "engines"):
            upstream = self.fleet.add_upstream(
                service, service=service, behavior=self.record(behavior)
            )
            if not reads:
                self.ignore(upstream)
        self.processes = [self.fleet.start_host(**settings)]
        self.fleet.wait_ready()

    def record(self, behavior: Behavior) -> Behavior:
        """Return a behavior that keeps no copy of the body."""

        def behave(upstream: UpstreamStandin, request: IncomingRequest, responder: Any) -> None:
            upstream.requests.clear()
            self._arrived[request.get(b"greengagestage-attempt-id") or b""] += 1
            behavior(upstream, request, responder)

        return behave

    def ignore(self, upstream: UpstreamStandin) -> None:
        """Let an upstream read nothing from the connections that are opened to it from now on."""
        build = upstream.port.factory.buildProtocol

        def build_unread(address: Any) -> Any:
            connection = build(address)
            begin_reading = connection.connectionMade

            def connect() -> None:
                begin_reading()
                connection.transport.pauseProducing()

            connection.connectionMade = connect
            return connection

        upstream.port.factory.buildProtocol = build_unread

    def upload(self, path: str, *, attempt: str = "up", **fields: Any) -> RawCaller:
        return self.fleet.connect(
            build_request(path, attempt=attempt, body=self.body.data, **fields)
        )

    def upload_until_arrived(self, path: str, **fields: Any) -> RawCaller:
        caller = self.upload(path, **fields)
        self.fleet.run_until(lambda: self._arrived[b"up"] > 0)
        return caller

    def leave(self, *callers: RawCaller) -> None:
        for caller in callers:
            caller.transport.abortConnection()
        self.fleet.run_for(SETTLE_S)

    def measure_held(self) -> int:
        for process in self.processes:
            process._memory.measure()
        return sum(process._memory.held_bytes for process in self.processes)

    def check_counted(self) -> None:
        assert self.measure_held() >= self.body.count_copies() * len(self.body.data)

    def check_all_freed(self) -> None:
        assert self.body.count_copies() == 0
        assert count_live(*OWNERS) == self._others


@pytest.fixture
def uploads(fleet: HostFleet) -> Uploads:
    return Uploads(fleet)


# Each of these guards against bodies that stay in reference cycles when their requests have ended,
# so that they add up until the collector of the oldest generation runs (review/11).
@pytest.mark.parametrize("forwarded", [False, True])
@pytest.mark.parametrize(
    ("path", "behavior"), [("/lookup/x", hang), ("/lookup/x", begin), ("/short/x", begin)]
)
def test_a_caller_leaves(uploads: Uploads, path: str, behavior: Behavior, forwarded: bool) -> None:
    uploads.start(behavior, forwarded=forwarded)
    uploads.leave(uploads.upload_until_arrived(path))
    uploads.check_all_freed()


@pytest.mark.parametrize("behavior", [hang, begin, reset, refuse, fail, serve])
def test_a_request_gets_its_last_answer(uploads: Uploads, behavior: Behavior) -> None:
    uploads.start(behavior)
    caller = uploads.upload_until_arrived("/lookup/x", deadline_ms=600)
    uploads.fleet.run_until(lambda: caller.is_complete or caller.closed)
    uploads.fleet.run_for(SETTLE_S)
    uploads.check_all_freed()


def test_a_successor_wins(uploads: Uploads) -> None:
    uploads.start(hang)
    caller = uploads.upload_until_arrived("/lookup/x")
    uploads.fleet.add_upstream("successor", behavior=uploads.record(serve))
    uploads.fleet.run_until(lambda: caller.is_complete)
    uploads.fleet.run_for(SETTLE_S)
    assert caller.status == 200
    uploads.check_all_freed()


def test_a_caller_leaves_while_the_connection_is_opened(uploads: Uploads) -> None:
    links = CuttableReactor(uploads.fleet.reactor)
    uploads.start(serve, reactor=links)
    port = uploads.fleet.upstreams["archive"].port.getHost().port
    links.cut(Cut.HANGING, [port])
    caller = uploads.upload("/lookup/x")
    uploads.fleet.run_until(lambda: port in links.attempts)
    uploads.leave(caller)
    assert uploads.body.count_copies() == 0


def test_a_caller_leaves_while_the_origin_of_its_stream_is_sought(
    uploads: Uploads, monkeypatch: pytest.MonkeyPatch
) -> None:
    uploads.start(serve)
    reads: list[Deferred[bool]] = []

    def read() -> Deferred[bool]:
        reads.append(Deferred())
        return reads[-1]

    monkeypatch.setattr(uploads.processes[0]._registry, "confirm", read)
    caller = uploads.upload("/short/x", headers=("Last-Event-ID: 2",))
    uploads.fleet.run_until(lambda: bool(reads))
    uploads.leave(caller)
    assert uploads.body.count_copies() == 0


# Guards against bodies that are kept after all of them has been sent, by requests that go on
# without their callers (review/12).
@pytest.mark.parametrize("forwarded", [False, True])
def test_a_caller_leaves_a_request_that_must_run_once(uploads: Uploads, forwarded: bool) -> None:
    uploads.start(hang, forwarded=forwarded)
    uploads.leave(uploads.upload_until_arrived("/order/x"))
    assert uploads.body.count_copies() == 0
    assert not any(upstream.disconnects for upstream in uploads.fleet.upstreams.values())


# Guards against a host that takes uploads above its limit, since it forgets the bodies of callers
# who have left (review/12).
def test_bodies_without_callers_stay_counted_until_they_are_dropped(uploads: Uploads) -> None:
    uploads.start(serve, reads=False, memory_bytes=MEMORY_BYTES)
    callers = [uploads.upload("/order/x", attempt=f"up-{n}") for n in range(4)]
    pool = uploads.processes[0]._pool
    uploads.fleet.run_until(lambda: pool._open_count == 4)  # all are being sent
    uploads.leave(*callers)
    assert uploads.body.count_copies() == 4
    uploads.check_counted()
    refused = uploads.upload("/order/x", attempt="late")
    uploads.fleet.run_until(lambda: refused.is_complete)
    assert refused.status == 503
    # Lost in the end, since nothing is read.
    uploads.fleet.run_until(lambda: uploads.body.count_copies() == 0)
    assert uploads.measure_held() < len(uploads.body.data)


# Guards against a host that takes more requests while upstreams send long events to its callers.
def test_an_event_that_has_not_ended_is_counted_until_it_is_dropped(uploads: Uploads) -> None:
    event_bytes = 200_000

    def begin_event(
        upstream: UpstreamStandin, request: IncomingRequest, responder: Responder
    ) -> None:
        begin(upstream, request, responder)
        responder.write(b"data: ".ljust(event_bytes, b"x"))

    uploads.start(begin_event)
    caller = uploads.upload_until_arrived("/short/x")
    counted_bytes = event_bytes + len(uploads.body.data)
    uploads.fleet.run_until(lambda: uploads.measure_held() >= counted_bytes)
    uploads.leave(caller)
    assert uploads.measure_held() == 0


# Guards against bodies that no account counts, in whatever order requests end (review/11, 12).
@pytest.mark.parametrize("seed", range(4))
def test_all_bodies_are_counted_while_they_are_alive(fleet: HostFleet, seed: int) -> None:
    random, host, uploads = Random(seed), CutHost(fleet), Uploads(fleet)
    uploads.processes = [host.process, *host.others]
    upstreams = list(fleet.upstreams.values())
    callers: list[RawCaller] = []

    def upload() -> None:
        path = random.choice(("/lookup/x", "/order/x", "/order/y", "/short/x"))
        deadline_ms = round(random.choice((0.6, WALK_S)) * 1_000)
        attempt = f"up-{random.random()}"
        callers.append(uploads.upload(path, attempt=attempt, deadline_ms=deadline_ms))

    def leave() -> None:
        if callers:
            callers.pop(random.randrange(len(callers))).transport.abortConnection()

    def change() -> None:
        for upstream in upstreams:
            behavior = random.choice((hang, hang, begin, reset, refuse, fail, serve))
            upstream.behavior = uploads.record(behavior)

    def lose() -> None:
        for connection in list(random.choice(upstreams).port.factory.connections):
            connection.transport.abortConnection()

    def cut() -> None:
        host.cut(random.choice(list(Cut)))

    steps: tuple[Callable[[], None], ...] = (upload, leave, change, lose, cut, host.links.heal)
    for name in ("archive-1", "archive-2"):
        uploads.ignore(fleet.upstreams[name])
    change()
    for _ in range(30):
        random.choices(steps, weights=(8, 7, 3, 1, 1, 1))[0]()
        fleet.run_for(random.choice((0.0, 0.1, 0.1)))
        uploads.check_counted()
    fleet.run_for(WALK_S + 1.0)
    uploads.check_all_freed()
