"""Tests of what the other connections to an upstream prove about an answer without framing."""

from collections.abc import Iterator
from typing import Any

import pytest

from greengagestage.gateway import HostProcess
from greengagestage.http1 import IncomingRequest, Responder
from greengagestage.ids import InstanceId

from . import host_harness as harness
from .cut_links import CuttableReactor
from .host_harness import EVENTS, HostFleet, UpstreamStandin, running_fleet
from .raw_caller import RawCaller

EXITS_IN_STREAM = harness.answer_without_framing(*EVENTS[:2], exits=True)


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as running:
        yield running


def send_first_event(
    upstream: UpstreamStandin, request: IncomingRequest, responder: Responder
) -> None:
    responder.begin(200, harness.build_identity_headers(request))
    responder.write(EVENTS[0])


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


def replace_upstream(fleet: HostFleet, upstream: UpstreamStandin, port: int, name: str) -> None:
    """Start an upstream at the address of one that has exited."""
    other = UpstreamStandin(name=name, service=upstream.service, reactor=fleet.reactor)
    other.port = fleet.reactor.listenTCP(port, upstream.port.factory, interface="127.0.0.1")
    upstream.port.factory.on_request = other.handle
    fleet.store.remove("servers", upstream.name)
    fleet.store.put("servers", name, other.build_entry(born=2_000))


# Guards against a broken stream that looks complete since its end is read late, when another
# upstream has the address: its caller reads slowly, or the host was held up.
def test_an_upstream_that_has_the_address_later_proves_nothing(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one", service="engines", behavior=EXITS_IN_STREAM)
    process, _ = start_host(fleet)
    port = upstream.port.getHost().port
    caller = ask(fleet)
    fleet.run_until(lambda: EVENTS[0] in caller.data)
    (exchange,) = process._context.open_exchanges
    exchange.pause()
    fleet.run_for(0.1)
    replace_upstream(fleet, upstream, port, "two")
    fleet.run_until(lambda: "two" in process._router.upstreams)
    exchange.resume()
    await_end(fleet, caller)
    assert not caller.is_complete


# Guards against equal requests that are refused as crashing ones after the planned exit of the
# upstream that was answering them.
def test_the_planned_exit_of_an_upstream_is_no_crash(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one", service="engines", behavior=send_first_event)
    process, _ = start_host(fleet)
    callers = [ask(fleet, attempt=f"cut-{number}") for number in range(3)]
    fleet.run_until(lambda: all(EVENTS[0] in each.data for each in callers))
    fleet.add_upstream("two", service="engines")
    fleet.store.put("servers", "one", upstream.build_entry(State="draining"))
    fleet.run_until(lambda: "two" in process._router.upstreams)
    fleet.run_until(lambda: process._router.upstreams[InstanceId("one")].is_leaving)
    upstream.exit()
    for caller in callers:
        await_end(fleet, caller)
    fleet.run_for(0.7)
    assert fleet.call("/long/x", attempt="later").status == 200
