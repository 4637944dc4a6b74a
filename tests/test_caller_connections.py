"""Slow callers, callers that close halfway and unusual requests, over loopback sockets."""

import pytest

from . import host_harness as harness
from .host_harness import HostFleet, running_fleet

LARGE = 900_000
"""Bytes of an answer that does not fit into the buffers of a connection."""


@pytest.fixture
def fleet():
    with running_fleet() as running:
        yield running


def answer_large(upstream, request, responder) -> None:
    responder.answer(200, harness.build_identity_headers(request), b"x" * LARGE)


# Guards against an answer that is cut because its caller reads slowly.
def test_a_slow_caller_gets_the_whole_last_answer(fleet: HostFleet) -> None:
    fleet.add_upstream("one", behavior=answer_large)
    fleet.start_host()
    fleet.wait_ready()
    request = harness.build_request("/order/x", headers=("Connection: close",))
    caller = fleet.connect(request)
    caller.transport.pauseProducing()
    fleet.run_for(1.5)
    caller.transport.resumeProducing()
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert len(caller.body) == LARGE
