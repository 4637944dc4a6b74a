"""Tests of what the other connections to an upstream prove about an answer without framing."""

from collections.abc import Iterator
from typing import Any

import pytest

from greengagestage.gateway import HostProcess

from . import host_harness as harness
from .cut_links import CuttableReactor
from .host_harness import EVENTS, HostFleet, running_fleet
from .raw_caller import RawCaller

EXITS_IN_STREAM = harness.answer_without_framing(*EVENTS[:2], exits=True)


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as running:
        yield running


def start_host(fleet: HostFleet) -> tuple[HostProcess, CuttableReactor]:
    links = CuttableReactor(fleet.reactor)
    process = fleet.start_host(reactor=links)
    fleet.wait_ready()
    return process, links


def ask(fleet: HostFleet, path: str = "/long/x", attempt: str = "cut", **fields: Any) -> RawCaller:
    return fleet.connect(harness.build_request(path, attempt=attempt, deadline_ms=8_000, **fields))


def await_end(fleet: HostFleet, caller: RawCaller) -> None:
    fleet.run_until(lambda: caller.closed or caller.is_complete)


# Guards against a broken stream that looks complete since the end of another connection of the
# ended upstream is late, as after the loss of a segment.
@pytest.mark.parametrize("idle", [False, True])
def test_a_connection_whose_end_is_late_proves_nothing(fleet: HostFleet, idle: bool) -> None:
    upstream = fleet.add_upstream("one", service="engines", behavior=harness.hang)
    _, links = start_host(fleet)
    ask(fleet, attempt="other", body=b"other")
    fleet.run_until(lambda: bool(upstream.hanging))
    port = upstream.port.getHost().port
    (held,) = [each for number, each in links._connections if number == port and each.busy]
    upstream.behavior = EXITS_IN_STREAM
    caller = ask(fleet)
    fleet.run_until(lambda: len(upstream.requests) == 2)
    if idle:
        harness.serve(upstream, upstream.requests[0], upstream.hanging[0])
        fleet.run_until(lambda: not held.busy)
    held.transport.stopReading()
    fleet.reactor.callLater(0.3, held.transport.startReading)
    await_end(fleet, caller)
    assert not caller.is_complete
