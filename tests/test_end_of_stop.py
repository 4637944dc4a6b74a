"""What callers see of a host at the end of its stop, over loopback sockets."""

import socket
import time
from contextlib import ExitStack

import pytest

from greengagestage.gateway._shutdown import LOAD_BALANCER_DELAY_S

from . import host_harness as harness
from .host_harness import HostFleet, running_fleet

HELD_UP_S = 0.3
"""Longer than operators allow a request to lie at a host that closes its connection."""


@pytest.fixture
def fleet():
    with running_fleet() as running:
        running.add_upstream("one", behavior=harness.hang)
        routes = [*harness.ROUTES, harness.SLOW_ROUTE]
        running.store.put("op", "config", harness.build_document(Routes=routes))
        running.start_host(stop_grace_s=8.0)
        running.wait_ready()
        yield running


def begin_stop(fleet: HostFleet) -> list[float]:
    """Stop the host; the result holds the time at which it has stopped, once it has."""
    stopped_s: list[float] = []
    stopping = fleet.processes[0].stop()
    stopping.addCallback(lambda _: stopped_s.append(fleet.reactor.seconds()))
    return stopped_s


def connect(fleet: HostFleet) -> socket.socket:
    return socket.create_connection(fleet._host_settings[-1].callers)


# Guards against a busy process that ends while a request waits in its listen queue.
def test_a_request_that_waits_to_be_accepted_is_answered_before_the_host_ends(
    fleet: HostFleet,
) -> None:
    stopped_s = begin_stop(fleet)
    fleet.run_for(LOAD_BALANCER_DELAY_S - 0.1)
    with connect(fleet) as caller:
        caller.sendall(harness.build_request("/order/x"))
        time.sleep(HELD_UP_S)
        fleet.run_until(lambda: bool(stopped_s))
        caller.setblocking(False)
        assert caller.recv(4_096).startswith(b"HTTP/1.1 503 ")


# Guards against a request that is sent on a connection which the process ends without reading it.
def test_a_connection_without_a_request_is_closed_before_the_host_ends(fleet: HostFleet) -> None:
    slow = fleet.connect(harness.build_request("/slow/x", deadline_ms=9_000))
    fleet.run_until(lambda: bool(fleet.upstreams["one"].hanging))
    stopped_s = begin_stop(fleet)
    fleet.run_for(LOAD_BALANCER_DELAY_S + 0.2)
    with connect(fleet) as caller:
        fleet.run_for(0.1)
        slow.transport.abortConnection()
        fleet.run_until(lambda: bool(stopped_s))
        caller.setblocking(False)
        assert caller.recv(4_096) == b""


# Guards against a stop that lasts for the whole grace period since there is always a new request.
def test_a_host_that_callers_go_on_asking_ends_when_no_request_is_open(fleet: HostFleet) -> None:
    began_s = fleet.reactor.seconds()
    stopped_s = begin_stop(fleet)
    with ExitStack() as callers:

        def ask_again() -> bool:
            try:
                caller = callers.enter_context(connect(fleet))
                caller.sendall(harness.build_request("/nowhere/x"))
            except ConnectionError:
                pass
            return bool(stopped_s)

        fleet.run_until(ask_again)
    assert stopped_s[0] - began_s < LOAD_BALANCER_DELAY_S + 1.0
