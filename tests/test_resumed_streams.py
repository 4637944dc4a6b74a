"""Tests of streams that a further upstream goes on with, or a caller takes up, over sockets."""

from collections.abc import Iterator

import pytest

from greengagestage.http1 import IncomingRequest, Responder

from . import host_harness as harness
from .cut_links import CutHost
from .host_harness import EVENTS, ROUTES, HostFleet, UpstreamStandin, running_fleet

WHOLE = b"".join(EVENTS)


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as running:
        routes = [{**route, "MaxAttempts": 3} for route in ROUTES]
        running.store.put("op", "config", harness.build_document(Routes=routes))
        yield running


def send_parts(*parts: bytes) -> harness.Behavior:
    """Return a behavior that answers with a stream of its own, whatever is asked for."""

    def behave(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        responder.begin(200, harness.build_identity_headers(request))
        for part in parts:
            responder.write(part)
        responder.finish()

    return behave


def break_off_after(*parts: bytes) -> harness.Behavior:
    """Return a behavior that begins a stream of its own and resets the connection."""

    def behave(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        responder.begin(200, harness.build_identity_headers(request))
        for part in parts:
            responder.write(part)
        upstream.reactor.callLater(0.05, responder.abort)

    return behave


def start_fleet(fleet: HostFleet, *behaviors: harness.Behavior, forwarded: bool = False) -> None:
    """Start a host whose upstreams handle the first requests by one behavior after another."""
    rest = iter(behaviors)

    def behave(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        next(rest, harness.serve)(upstream, request, responder)

    if forwarded:
        host = CutHost(fleet)
        host.lose_links()
        links = host.process._router.links
        prompts = iter(range(100, 200))
        while not all(links.is_cut(f"engine-{number}") for number in (1, 2, 3)):
            prompt = next(prompts)
            fleet.call("/long/x", attempt=f"notice-{prompt}", parts=f"{prompt}:900")
        host.set_behavior(behave)
        return
    for number in range(3):
        fleet.add_upstream(f"engine-{number}", service="engines", behavior=behave)
    fleet.start_host()
    fleet.wait_ready()


# Guards against events that come twice, since an upstream that was to go on after one of them
# begins earlier.
@pytest.mark.parametrize("forwarded", [False, True])
@pytest.mark.parametrize("first", [0, 1])
def test_a_further_run_that_repeats_events_is_replaced(
    fleet: HostFleet, first: int, forwarded: bool
) -> None:
    repeat = send_parts(*EVENTS[first:])
    start_fleet(fleet, harness.abort_mid_stream, repeat, forwarded=forwarded)
    caller = fleet.call("/short/x")
    assert (caller.is_complete, caller.body) == (True, WHOLE)


# Guards against the same where no upstream goes on, and an end that looks complete.
def test_a_stream_that_no_upstream_goes_on_with_is_broken_off(fleet: HostFleet) -> None:
    repeat = send_parts(*EVENTS)
    start_fleet(fleet, harness.abort_mid_stream, repeat, repeat, repeat)
    caller = fleet.connect(harness.build_request("/short/x"))
    fleet.run_until(lambda: caller.closed)
    assert not caller.is_complete
    assert [caller.data.count(event) for event in EVENTS] == [1, 1, 0, 0, 0]


# Guards against events out of order in one run, which none can go on with at the right place.
@pytest.mark.parametrize(("path", "is_whole"), [("/short/x", True), ("/long/x", False)])
def test_a_run_whose_ids_go_back_is_replaced_or_broken_off(
    fleet: HostFleet, path: str, is_whole: bool
) -> None:
    def behave(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        responder.begin(200, harness.build_identity_headers(request))
        responder.write(EVENTS[0] + EVENTS[1])
        fleet.reactor.callLater(0.05, lambda: responder.write(EVENTS[2] + EVENTS[1]))

    start_fleet(fleet, behave)
    caller = fleet.connect(harness.build_request(path))
    fleet.run_until(lambda: caller.closed or caller.is_complete)
    assert caller.is_complete is is_whole
    assert [caller.data.count(event) for event in EVENTS] == [1, 1, *[int(is_whole)] * 3]


# Guards against events that a caller already has when it takes a stream up, also from an upstream
# that goes on inside that answer.
@pytest.mark.parametrize("first", [send_parts(*EVENTS[1:]), break_off_after(EVENTS[2])])
def test_a_caller_that_takes_up_a_stream_gets_no_event_again(
    fleet: HostFleet, first: harness.Behavior
) -> None:
    start_fleet(fleet, harness.serve, first, send_parts(*EVENTS[1:]))
    fleet.call("/short/x", attempt="begun")
    caller = fleet.call("/short/x", headers=("Last-Event-Id: 2", "Resumes: begun"))
    assert (caller.is_complete, caller.body) == (True, b"".join(EVENTS[2:]))


# Guards against sound streams that are taken for broken ones: only a resumable one can be taken up.
def test_a_caller_takes_up_no_stream_where_none_is_resumable(fleet: HostFleet) -> None:
    start_fleet(fleet, send_parts(*EVENTS))
    caller = fleet.call("/long/x", headers=("Last-Event-Id: 2",))
    assert (caller.is_complete, caller.body) == (True, WHOLE)
