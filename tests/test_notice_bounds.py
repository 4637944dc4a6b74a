"""Tests that a host heeds what an upstream's answers say: it leaves, or wants no more requests."""

from collections.abc import Iterator

import pytest

from greengagestage.http1 import IncomingRequest, Responder
from standins.row_store import StoreFault

from .host_harness import HostFleet, UpstreamStandin, build_identity_headers, running_fleet

DRAIN_S = 2.0
PAUSE_S = 3.0
ALLOWED_IN_PAUSE = 2


def refuse_for_some_time(
    upstream: UpstreamStandin, request: IncomingRequest, responder: Responder
) -> None:
    headers = [(b"Greengagestage-Not-Executed", b"1"), (b"Retry-After", b"%d" % PAUSE_S)]
    responder.answer(503, headers, b"full")


def serve_and_leave(
    upstream: UpstreamStandin, request: IncomingRequest, responder: Responder
) -> None:
    headers = [*build_identity_headers(request), (b"Server-Leaving", b"1")]
    responder.answer(200, headers, b"answer of " + upstream.name.encode())


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as fleet:
        yield fleet


def test_an_upstream_gets_few_requests_before_its_retry_after(fleet: HostFleet) -> None:
    """Each request was offered to an upstream that had said for how long it wants none."""
    upstream = fleet.add_upstream("one", behavior=refuse_for_some_time)
    fleet.start_host()
    fleet.wait_ready()
    fleet.call("/order/1", attempt="a0")
    fleet.run_for(0.6)
    received = len(upstream.requests)
    for number in range(1, 7):
        fleet.call("/order/1", attempt=f"a{number}", deadline_ms=300)
    assert len(upstream.requests) - received <= ALLOWED_IN_PAUSE


def test_an_upstream_that_says_it_leaves_gets_no_requests_later(fleet: HostFleet) -> None:
    """While the store was away, the host kept sending to an upstream that had told it."""
    leaving = fleet.add_upstream("one", behavior=serve_and_leave)
    fleet.start_host()
    fleet.wait_ready()
    assert fleet.call("/open/1", attempt="a0", key=None).status == 200
    fleet.add_upstream("two")
    fleet.run_for(1.2)
    fleet.store.fault = StoreFault.DOWN
    fleet.run_for(DRAIN_S)
    received = len(leaving.requests)
    for number in range(1, 9):
        fleet.call("/open/1", attempt=f"a{number}", key=None)
    assert len(leaving.requests) == received
