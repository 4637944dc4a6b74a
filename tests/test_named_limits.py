"""Tests that hosts together keep to the request rate that an upstream names in its answers."""

from collections.abc import Iterator

import pytest

from . import host_harness as harness
from .host_harness import HostFleet, UpstreamStandin, choose_port, running_fleet

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests that an upstream may get in the window, by the operators' rules."""

TOLD_S = 0.5
"""Time after a host has passed on a named limit from which its requests count."""


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as running:
        yield running


def count_most_in_window(upstream: UpstreamStandin, since_s: float) -> int:
    """Return the largest number of requests in any window since a time."""
    times = [request.received_s for request in upstream.requests if request.received_s >= since_s]
    return max((sum(t <= each < t + WINDOW_S for each in times) for t in times), default=0)


def call_in_turn(fleet: HostFleet, duration_s: float) -> list[harness.RawCaller]:
    """Send requests to all hosts in turn, about 25 a second."""
    ended_s = fleet.reactor.seconds() + duration_s
    callers = []
    while fleet.reactor.seconds() < ended_s:
        number = len(callers)
        host = number % len(fleet.processes)
        callers.append(fleet.call_at(host, "/lookup/x", attempt=f"a{number}"))
        fleet.run_for(0.03)
    return callers


# Guards against hosts that ignore a named limit, or keep to it each for itself.
@pytest.mark.parametrize("hosts", [1, 4])
def test_all_hosts_together_keep_to_a_named_limit(fleet: HostFleet, hosts: int) -> None:
    limited = fleet.add_upstream("one", behavior=harness.name_limit(LIMIT_PER_S))
    other = fleet.add_upstream("two")
    fleet.store.put("servers", "two", other.build_entry(Zone="b"))  # the farther one
    peer_port = choose_port()
    for number in range(hosts):
        fleet.start_host(f"host-{number}", address=f"127.0.0.{number + 1}", peer_port=peer_port)
        fleet.wait_ready()
    call_in_turn(fleet, 1.0)
    since_s = fleet.reactor.seconds() + TOLD_S
    callers = call_in_turn(fleet, WINDOW_S + 1.5)
    assert all(caller.status == 200 for caller in callers)
    assert count_most_in_window(limited, since_s) <= MAX_IN_WINDOW
    assert len(other.requests) > len(limited.requests)


# Guards against an upstream that stays at its limit after it has taken it back.
def test_a_limit_ends_with_the_first_answer_without_it(fleet: HostFleet) -> None:
    limited = fleet.add_upstream("one", behavior=harness.name_limit(LIMIT_PER_S))
    fleet.start_host()
    fleet.wait_ready()
    call_in_turn(fleet, 1.0)
    limited.behavior = harness.serve
    call_in_turn(fleet, 2.0)
    assert all(caller.status == 200 for caller in call_in_turn(fleet, 1.0))


# Guards against callers that are told nothing about when an upstream takes requests again.
def test_requests_over_the_limit_of_all_upstreams_are_told_when_to_return(fleet: HostFleet) -> None:
    fleet.add_upstream("one", behavior=harness.name_limit(LIMIT_PER_S))
    fleet.start_host()
    fleet.wait_ready()
    callers = call_in_turn(fleet, 2.0)
    refused = [caller for caller in callers if caller.status == 503]
    assert refused
    assert all(caller.error["run"] == "not_run" for caller in refused)
    delays_s = [float(caller.headers["retry-after"]) for caller in refused]
    assert all(0 < delay_s <= 1 / LIMIT_PER_S + 0.5 for delay_s in delays_s)
    assert sum(caller.status == 200 for caller in callers) >= 2
