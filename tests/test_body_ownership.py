"""Request bodies are freed, without the garbage collector, once nobody can need them any more."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

import pytest
from twisted.internet.defer import Deferred

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

    def leave(self, caller: RawCaller) -> None:
        caller.transport.abortConnection()
        self.fleet.run_for(SETTLE_S)

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
