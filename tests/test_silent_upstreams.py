"""Requests whose upstream falls silent for a while, over loopback sockets."""

from collections.abc import Callable

import pytest
from twisted.internet.task import Clock

from greengagestage.gateway.exchange import _exchange
from greengagestage.gateway.exchange._silence import SilenceWatch
from greengagestage.http1 import IncomingRequest, Responder

from . import host_harness as harness
from .host_harness import EVENTS, HostFleet, UpstreamStandin, running_fleet

PAUSE_S = 1.2
"""A sound upstream may fall silent for about a second."""

LONG_PAUSE_S = 1.7
"""Long enough for another upstream to be asked, and shorter than callers wait."""


@pytest.fixture
def fleet():
    with running_fleet() as running:
        yield running


def pause_after(
    events: int, pause_s: float = PAUSE_S
) -> Callable[[UpstreamStandin, IncomingRequest, Responder], None]:
    """Return a behavior that sends some events, falls silent and then completes the stream."""

    def behave(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        def complete() -> None:
            if upstream.disconnects:
                return
            for event in EVENTS[events:]:
                responder.write(event)
            responder.finish()

        responder.begin(200, harness.build_identity_headers(request))
        for event in EVENTS[:events]:
            responder.write(event)
        upstream.reactor.callLater(pause_s, complete)

    return behave


def start_stream(fleet: HostFleet, behavior: harness.Behavior, other: harness.Behavior):
    """Start a resumable stream; return its caller, its upstream and the upstream that is left."""
    upstreams = [
        fleet.add_upstream(name, service="engines", behavior=behavior) for name in ("one", "two")
    ]
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.connect(harness.build_request("/short/x", deadline_ms=10_000))
    fleet.run_until(lambda: any(upstream.requests for upstream in upstreams))
    first, second = sorted(upstreams, key=lambda upstream: not upstream.requests)
    second.behavior = other
    return caller, first, second


# Guards against a stream that is cut from a live upstream before another one has taken it.
@pytest.mark.parametrize("events", [0, 2])
@pytest.mark.parametrize("other", [harness.refuse, harness.fail, harness.reset])
def test_a_stream_survives_a_silent_upstream_if_no_other_one_takes_it(
    fleet: HostFleet, events: int, other: harness.Behavior
) -> None:
    caller, first, _ = start_stream(fleet, pause_after(events), other)
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert (caller.status, caller.body) == (200, b"".join(EVENTS))
    assert first.disconnects == 0


# Guards against a stream that is cut from a live upstream before another one has taken it.
@pytest.mark.parametrize("events", [0, 2])
@pytest.mark.parametrize("other", [harness.refuse, harness.fail, harness.reset])
def test_a_stream_survives_a_long_silence_if_no_other_upstream_takes_it(
    fleet: HostFleet, events: int, other: harness.Behavior
) -> None:
    caller, first, second = start_stream(fleet, pause_after(events, LONG_PAUSE_S), other)
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert (caller.status, caller.body) == (200, b"".join(EVENTS))
    assert first.disconnects == 0
    assert second.requests


# Guards against a stream that loses its only upstream because the retry budget is used up.
def test_a_stream_stays_at_a_silent_upstream_without_a_retry_budget(fleet: HostFleet) -> None:
    upstreams = [
        fleet.add_upstream(name, service="engines", behavior=pause_after(2, LONG_PAUSE_S))
        for name in ("one", "two")
    ]
    fleet.start_host(retry_ratio=0.0, retry_slack=0.0)
    fleet.wait_ready()
    caller = fleet.call("/short/x", deadline_ms=10_000)
    assert (caller.status, caller.body) == (200, b"".join(EVENTS))
    assert sum(len(upstream.requests) for upstream in upstreams) == 1


@pytest.mark.parametrize("events", [0, 2])
def test_a_stream_goes_on_elsewhere_if_its_upstream_stays_silent(
    fleet: HostFleet, events: int
) -> None:
    caller, first, second = start_stream(fleet, pause_after(events, 60.0), harness.serve)
    began_s = fleet.reactor.seconds()
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert (caller.status, caller.body) == (200, b"".join(EVENTS))
    assert fleet.reactor.seconds() - began_s < 2.0  # callers disconnect after two seconds
    assert second.requests[0].get(b"last-event-id") == (b"2" if events else None)
    fleet.run_until(lambda: first.disconnects == 1)


# Guards against two upstreams that work on one stream for long.
def test_a_silent_upstream_is_given_up_once_another_one_answers(fleet: HostFleet) -> None:
    caller, first, second = start_stream(fleet, pause_after(2, 60.0), harness.hang)
    fleet.run_until(lambda: bool(second.hanging))
    fleet.run_for(0.4)
    assert first.disconnects == 0
    second.hanging[0].begin(200, harness.build_identity_headers(second.requests[0]))
    answered_s = fleet.reactor.seconds()
    fleet.run_until(lambda: first.disconnects == 1)
    assert fleet.reactor.seconds() - answered_s < 0.4
    assert not caller.closed


# Guards against a live upstream that is given up because its successor has not refused yet.
@pytest.mark.parametrize("events", [0, 2])
@pytest.mark.parametrize("other", [harness.refuse, harness.fail, harness.reset])
def test_a_stream_survives_a_successor_that_fails_late(
    fleet: HostFleet, events: int, other: harness.Behavior
) -> None:
    behavior = pause_after(events, 1.9)
    caller, first, second = start_stream(fleet, behavior, harness.delay(0.3, other))
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert second.requests
    assert (caller.status, caller.body) == (200, b"".join(EVENTS))
    assert first.disconnects == 0


# Guards against a live upstream that is given up for one that accepts connections only.
def test_a_stream_survives_a_successor_that_never_answers(fleet: HostFleet) -> None:
    caller, _, second = start_stream(fleet, pause_after(2, 1.9), harness.hang)
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert second.requests
    assert (caller.status, caller.body) == (200, b"".join(EVENTS))


# Guards against a live second upstream that is dropped for the first one's late error.
def test_a_live_successor_is_kept_if_the_first_answer_is_an_error(fleet: HostFleet) -> None:
    def fail_slowly(upstream, request, responder) -> None:
        responder.begin(500, harness.build_identity_headers(request))
        upstream.reactor.callLater(0.5, responder.finish)

    upstreams = [fleet.add_upstream(name, behavior=fail_slowly) for name in ("one", "two")]
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.connect(harness.build_request("/lookup/x"))
    fleet.run_until(lambda: any(upstream.requests for upstream in upstreams))
    _, second = sorted(upstreams, key=lambda upstream: not upstream.requests)
    second.behavior = harness.delay(0.4, harness.serve)
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert second.requests
    assert caller.status == 200


# Guards against refused successors that use up the sends of a request whose upstream is then lost.
@pytest.mark.parametrize("refusing", [1, 3])
def test_refused_successors_leave_a_send_for_a_lost_upstream(
    fleet: HostFleet, refusing: int
) -> None:
    def lose(upstream, request, responder) -> None:
        responder.begin(200, harness.build_identity_headers(request))
        responder.write(EVENTS[0] + EVENTS[1])
        upstream.reactor.callLater(2.3, responder.abort)

    def refuse_first(upstream, request, responder) -> None:
        refused.append(upstream.name)
        answer = harness.refuse if len(refused) <= refusing else harness.serve
        answer(upstream, request, responder)

    refused: list[str] = []
    upstreams = [
        fleet.add_upstream(f"u{number}", service="engines", behavior=lose) for number in range(5)
    ]
    routes = [{**route, "TimeoutMs": 10_000} for route in harness.ROUTES]
    fleet.store.put("op", "config", harness.build_document(Routes=routes))
    fleet.start_host(retry_ratio=1.0, retry_slack=100.0)
    fleet.wait_ready()
    caller = fleet.connect(harness.build_request("/short/x", deadline_ms=10_000))
    fleet.run_until(lambda: any(upstream.requests for upstream in upstreams))
    for upstream in upstreams:
        upstream.behavior = refuse_first
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert (caller.status, caller.body) == (200, b"".join(EVENTS))


def test_a_second_upstream_is_dropped_if_the_first_one_goes_on(fleet: HostFleet) -> None:
    caller, first, second = start_stream(fleet, pause_after(2, 1.5), harness.hang)
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert (caller.status, caller.body) == (200, b"".join(EVENTS))
    assert first.disconnects == 0
    fleet.run_until(lambda: second.disconnects == 1)


def test_the_second_upstream_takes_over_if_the_first_one_is_lost_meanwhile(
    fleet: HostFleet,
) -> None:
    def answer_late(upstream, request, responder) -> None:
        upstream.reactor.callLater(0.15, harness.serve, upstream, request, responder)

    def lose(upstream, request, responder) -> None:
        responder.begin(200, harness.build_identity_headers(request))
        responder.write(EVENTS[0])
        upstream.reactor.callLater(1.45, responder.abort)

    caller, _, second = start_stream(fleet, lose, answer_late)
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert (caller.status, caller.body) == (200, b"".join(EVENTS))
    assert len(second.requests) == 1


# Guards against a silence that is counted from an earlier event than the last one.
def test_each_event_starts_the_silence_anew() -> None:
    clock, reports = Clock(), []
    watch = SilenceWatch(reactor=clock, on_silent=lambda: reports.append(clock.seconds()))
    watch.start(3.0)
    for _ in range(4):
        clock.advance(0.7)
        watch.start(1.0)
    clock.advance(0.9)
    assert not reports
    clock.advance(0.2)
    assert reports == [pytest.approx(3.9)]


# Guards against an upstream that is taken for silent because its caller reads slowly.
def test_silence_is_not_counted_while_the_caller_does_not_read() -> None:
    clock, reports = Clock(), []
    watch = SilenceWatch(reactor=clock, on_silent=lambda: reports.append(clock.seconds()))
    watch.start(1.0)
    clock.advance(0.9)
    watch.pause()
    clock.advance(5.0)
    watch.resume()
    clock.advance(0.9)
    assert not reports
    clock.advance(0.2)
    assert len(reports) == 1
    clock.advance(5.0)
    assert len(reports) == 1


# Guards against a second send while an answer is arriving slowly.
def test_a_plain_answer_that_is_still_arriving_is_not_asked_for_again(fleet: HostFleet) -> None:
    def answer_slowly(upstream, request, responder) -> None:
        responder.begin(200, harness.build_identity_headers(request))
        for piece in range(5):
            upstream.reactor.callLater(0.15 * piece, responder.write, b"%d" % piece)
        upstream.reactor.callLater(0.7, responder.finish)

    upstreams = [fleet.add_upstream(name, behavior=answer_slowly) for name in ("one", "two")]
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.call("/lookup/x")
    assert (caller.status, caller.body) == (200, b"01234")
    assert sum(len(upstream.requests) for upstream in upstreams) == 1


# Guards against a second send while the first event, expected late, is not yet due.
def test_a_first_event_may_come_long_after_the_head(fleet: HostFleet, monkeypatch) -> None:
    monkeypatch.setattr(_exchange, "compute_answer_limit", lambda job, placement: 3.0)
    caller, _, second = start_stream(fleet, pause_after(0, LONG_PAUSE_S), harness.serve)
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert (caller.status, caller.body) == (200, b"".join(EVENTS))
    assert not second.requests
