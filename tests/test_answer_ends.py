"""Tests of what the end of a connection, or of an answer's framing, proves about the answer."""

from collections.abc import Iterator

import pytest

from greengagestage.http1 import IncomingRequest, Responder
from greengagestage.routing import AttemptEnd

from . import host_harness as harness
from .cut_links import Cut, CutHost, CuttableReactor
from .exchange_world import Answer, World
from .host_harness import EVENTS, HostFleet, running_fleet
from .raw_caller import RawCaller

EVENT_STREAM = (b"Content-Type", b"text/event-stream")
EXITS_IN_STREAM = harness.answer_without_framing(*EVENTS[:2], exits=True)
EXITS_IN_ANSWER = harness.answer_without_framing(b"answer", exits=True)


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as running:
        yield running


def ask_while_upstreams_fail(fleet: HostFleet, path: str, behavior: harness.Behavior) -> RawCaller:
    """Ask for a stream that its upstream ends after two events; all others are sound."""
    for upstream in fleet.upstreams.values():
        upstream.behavior = behavior
    caller = fleet.connect(harness.build_request(path, attempt="cut", deadline_ms=8_000))
    fleet.run_until(lambda: EVENTS[1] in caller.data)
    for upstream in fleet.upstreams.values():
        upstream.behavior = harness.serve
    fleet.run_until(lambda: caller.closed or caller.is_complete)
    return caller


# Guards against the part of a stream that an ended upstream had sent looking complete, also where a
# forwarding host has put it into chunks.
@pytest.mark.parametrize("forwarded", [False, True])
def test_a_stream_of_an_upstream_that_exits_is_resumed_or_broken_off(
    fleet: HostFleet, forwarded: bool
) -> None:
    host = CutHost(fleet)
    if forwarded:
        host.lose_links()
    resumed = ask_while_upstreams_fail(fleet, "/short/x", EXITS_IN_STREAM)
    assert (resumed.is_complete, resumed.body) == (True, b"".join(EVENTS))
    broken_off = ask_while_upstreams_fail(fleet, "/long/x", EXITS_IN_STREAM)
    assert not broken_off.is_complete
    assert broken_off.data.count(b"data: token") == 2


# Guards against the part of a plain answer that an ended upstream had sent looking complete.
@pytest.mark.parametrize(("path", "status"), [("/lookup/x", 200), ("/order/x", 502)])
def test_a_plain_answer_of_an_upstream_that_exits_is_not_delivered(
    fleet: HostFleet, path: str, status: int
) -> None:
    fleet.add_upstream("one", behavior=EXITS_IN_ANSWER)
    other = fleet.add_upstream("two")
    fleet.store.put("servers", "two", other.build_entry(Zone="b"))  # the farther one
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.call(path)
    assert caller.status == status
    assert caller.body != b"answer"
    assert len(other.requests) == (status == 200)


# Guards against sound answers that are taken for broken ones: only the process's end is one.
@pytest.mark.parametrize("path", ["/short/x", "/long/x"])
def test_a_stream_of_an_upstream_that_lives_on_is_complete(fleet: HostFleet, path: str) -> None:
    whole = harness.answer_without_framing(*EVENTS)
    sound = fleet.add_upstream("one", service="engines", behavior=whole)
    fleet.start_host()
    fleet.wait_ready()
    callers = [fleet.call(path, attempt=f"a{number}") for number in range(3)]
    assert [(each.is_complete, each.body) for each in callers] == [(True, b"".join(EVENTS))] * 3
    assert len(sound.requests) == 3


# Guards against a sound answer that is lost because its upstream takes no further connections.
def test_an_open_connection_shows_that_an_upstream_without_room_lives_on(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one", service="engines", behavior=harness.hang)
    links = CuttableReactor(fleet.reactor)
    fleet.start_host(reactor=links)
    fleet.wait_ready()
    fleet.connect(harness.build_request("/long/x", attempt="open", deadline_ms=8_000))
    fleet.run_until(lambda: bool(upstream.hanging))
    upstream.behavior = harness.answer_without_framing(*EVENTS)
    caller = fleet.connect(harness.build_request("/long/x", attempt="whole", body=b"other"))
    fleet.run_until(lambda: len(upstream.requests) == 2)
    links.cut(Cut.SURVIVING, [upstream.port.getHost().port])
    fleet.run_until(lambda: caller.closed or caller.is_complete)
    assert (caller.is_complete, caller.body) == (True, b"".join(EVENTS))


def end_inside_event(
    upstream: harness.UpstreamStandin, request: IncomingRequest, responder: Responder
) -> None:
    """Send two events and a part of the third, and end the chunks as after a whole answer."""
    responder.begin(200, [*harness.build_identity_headers(request), EVENT_STREAM])
    responder.write(EVENTS[0] + EVENTS[1] + EVENTS[2][:7])
    upstream.reactor.callLater(0.05, responder.finish)


# Guards against a half event, and a stream that looks complete, where the upstream's chunks end
# inside an event.
@pytest.mark.parametrize("forwarded", [False, True])
def test_a_stream_whose_chunks_end_inside_an_event_is_resumed_or_broken_off(
    fleet: HostFleet, forwarded: bool
) -> None:
    host = CutHost(fleet)
    if forwarded:
        host.lose_links()
    resumed = ask_while_upstreams_fail(fleet, "/short/x", end_inside_event)
    assert (resumed.is_complete, resumed.body) == (True, b"".join(EVENTS))
    broken_off = ask_while_upstreams_fail(fleet, "/long/x", end_inside_event)
    assert not broken_off.is_complete
    assert broken_off.data.endswith(EVENTS[1] + b"\r\n")


# Guards against an answer on a route for streams that is none, and is taken for a broken one.
def test_an_answer_that_is_no_stream_is_passed_on_as_it_is(fleet: HostFleet) -> None:
    def answer_plainly(upstream, request, responder) -> None:
        headers = harness.build_identity_headers(request)
        responder.answer(200, [*headers, (b"Content-Type", b"application/json")], b"{}")

    fleet.add_upstream("one", service="engines", behavior=answer_plainly)
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.call("/short/x")
    assert (caller.status, caller.is_complete, caller.body) == (200, True, b"{}")


# Guards against an upstream that breaks its streams off counting as one that answers, which keeps
# it in use and its streams' short durations in the forecasts.
def test_a_broken_stream_counts_as_lost_for_its_upstream() -> None:
    world = World(Answer.RESUMABLE)
    world.exchange.start()
    run = world.runs[0]
    run.begin(
        200, [*world.build_headers(run), (b"content-type", b"text/event-stream")], framed=True
    )
    run.send_part(7)
    run.end()
    record_end = world.exchange._context.router.record_end
    assert [call.args[2] for call in record_end.call_args_list] == [AttemptEnd.LOST]


# Guards against a whole stream that is taken for a broken one since bytes that belong to no event
# follow its last one.
@pytest.mark.parametrize("rest", [b"\n", b"\r\n", b": end\n"])
def test_a_stream_may_end_with_an_empty_line_or_a_comment(fleet: HostFleet, rest: bytes) -> None:
    def answer(
        upstream: harness.UpstreamStandin, request: IncomingRequest, responder: Responder
    ) -> None:
        responder.begin(200, [*harness.build_identity_headers(request), EVENT_STREAM])
        responder.write(b"".join(EVENTS))
        upstream.reactor.callLater(0.05, lambda: (responder.write(rest), responder.finish()))

    fleet.add_upstream("one", service="engines", behavior=answer)
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.call("/long/x")
    assert (caller.is_complete, caller.body) == (True, b"".join(EVENTS) + rest)


# Guards against a second run of a request whose whole answer is being judged, since the upstream
# that has sent it is silent from then on.
def test_no_successor_is_sent_while_the_end_of_an_answer_is_judged() -> None:
    world = World(Answer.PLAIN)
    world.exchange.start()
    run = world.runs[0]
    run.begin(200, world.build_headers(run), framed=False)
    run.send_part(1_000)
    run.end()
    for _ in range(40):
        world.clock.advance(0.01)
    assert len(world.opening) == 1
    (probe, on_open, _), *_ = world.opening
    assert world.runs == [run, probe]
    on_open()
    assert world.caller.is_complete


# Guards against a whole stream that is broken off since the upstream exited right after it, and the
# next one, which has nothing left to send, ends its answer with the connection.
def test_nothing_may_be_left_of_a_resumed_stream(fleet: HostFleet) -> None:
    for name in ("one", "two"):
        fleet.add_upstream(name, service="engines")
    fleet.start_host()
    fleet.wait_ready()
    exits = harness.answer_without_framing(*EVENTS, exits=True)
    for upstream in fleet.upstreams.values():
        upstream.behavior = exits
    caller = fleet.connect(harness.build_request("/short/x", deadline_ms=8_000))
    fleet.run_until(lambda: EVENTS[-1] in caller.data)
    for upstream in fleet.upstreams.values():
        upstream.behavior = harness.answer_without_framing()
    fleet.run_until(lambda: caller.closed or caller.is_complete)
    assert (caller.is_complete, caller.body) == (True, b"".join(EVENTS))
