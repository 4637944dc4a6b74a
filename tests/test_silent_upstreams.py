"""Requests whose upstream falls silent for a while, over loopback sockets."""

from collections.abc import Callable

import pytest

from greengagestage.http1 import IncomingRequest, Responder

from . import host_harness as harness
from .host_harness import EVENTS, HostFleet, UpstreamStandin, running_fleet

PAUSE_S = 1.2
"""A sound upstream may fall silent for about a second."""


@pytest.fixture
def fleet():
    with running_fleet() as running:
        yield running


def pause_after(
    events: int,
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
        upstream.reactor.callLater(PAUSE_S, complete)

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
