"""Tests that a host keeps what an upstream gives or owes until another one takes the request."""

from collections.abc import Iterator

import pytest

from greengagestage.http1 import IncomingRequest, Responder

from .host_harness import HostFleet, UpstreamStandin, fail, refuse, running_fleet, serve

SLOW_ANSWER_S = 0.6


def serve_slowly(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
    upstream.reactor.callLater(SLOW_ANSWER_S, serve, upstream, request, responder)


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as fleet:
        yield fleet


def test_an_answer_that_no_other_upstream_can_give_is_awaited(fleet: HostFleet) -> None:
    """The request was cancelled and failed as silent, though there was nowhere else to send it."""
    fleet.add_upstream("one", behavior=serve_slowly)
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.call("/lookup/1")
    assert caller.status == 200
    assert caller.body == b"answer of one"


def test_an_answer_is_awaited_if_the_other_upstream_refuses(fleet: HostFleet) -> None:
    """The first upstream's run was cancelled before the second one had accepted the request."""
    fleet.add_upstream("one", behavior=serve_slowly)
    fleet.start_host()
    fleet.wait_ready()
    fleet.add_upstream("two", behavior=refuse)
    fleet.run_for(1.0)
    for number in range(4):
        caller = fleet.call("/lookup/1", attempt=f"a{number}")
        assert caller.status == 200, caller.data


def test_an_upstream_error_is_relayed_if_no_other_upstream_is_there(fleet: HostFleet) -> None:
    """The upstream's own answer was replaced by a failure of the host."""
    fleet.add_upstream("one", behavior=fail)
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.call("/lookup/1")
    assert caller.status == 500
    assert caller.body == b"broken"
