"""What hosts do with requests that they read late, since they did not run for a while."""

import socket
import time
from collections.abc import Iterator

import pytest

from greengagestage.gateway.forwarding import address_request
from greengagestage.http1 import ClientConnection, Exchange, OutgoingRequest
from greengagestage.ids import InstanceId

from . import host_harness as harness
from .host_harness import HostFleet, UpstreamStandin, build_request, running_fleet

DEADLINE_MS = 2_000
STALL_S = 0.7
MARGIN_MS = 150
"""Time in which a stalled process has begun to read again, and the coarseness of its clock."""


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as running:
        yield running


def stall(fleet: HostFleet, upstream: UpstreamStandin, requests: int) -> list[float]:
    """Let all processes of the fleet stand still, then run until some requests have arrived.

    Returns the time that each was given, in milliseconds.
    """
    time.sleep(STALL_S)
    fleet.run_until(lambda: len(upstream.requests) >= requests)
    return [
        float(request.get(b"greengagestage-deadline-ms") or b"inf") for request in upstream.requests
    ]


# Guards against upstreams that work for callers who have left: time in which the host did not run
# was given to the upstream once more.
@pytest.mark.parametrize("is_connected", [False, True])
def test_time_before_a_late_read_is_not_given_to_the_upstream(
    fleet: HostFleet, is_connected: bool
) -> None:
    upstream = fleet.add_upstream("u1")
    fleet.start_host()
    fleet.wait_ready()
    with socket.create_connection(fleet._host_settings[-1].callers) as caller:
        if is_connected:
            fleet.run_for(0.1)
        caller.sendall(build_request("/lookup/x", deadline_ms=DEADLINE_MS))
        given_ms = stall(fleet, upstream, 1)
    assert given_ms[0] <= DEADLINE_MS - STALL_S * 1_000 + MARGIN_MS


# Guards against a process that is held up between the turn in which it gives a request its time and
# the one in which the bytes leave: the time meanwhile was given to the upstream once more.
def test_a_request_leaves_the_process_in_the_turn_in_which_it_is_given_its_time(
    fleet: HostFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent: list[Exchange] = []
    send = ClientConnection.send

    def record(connection: ClientConnection, exchange: Exchange) -> None:
        send(connection, exchange)
        sent.append(exchange)

    monkeypatch.setattr(ClientConnection, "send", record)
    upstream = fleet.add_upstream("u1")
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address, port = listener.getsockname()
        entry = upstream.build_entry(Address=f"{address}:{port}")
        fleet.store.put("servers", "u1", entry)
        fleet.start_host()
        fleet.wait_ready()
        fleet.connect(build_request("/lookup/x", attempt="a1"))
        fleet.run_until(lambda: any(each.recipient is not None for each in sent))
        with listener.accept()[0] as connection:
            connection.setblocking(False)
            assert b"a1" in connection.recv(4_096)


# Guards against a request that is given less time than its caller has left, for a stall of the host
# or a pause of its connection that has ended before it came.
def test_time_before_a_request_came_does_not_count(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("u1")
    fleet.start_host()
    fleet.wait_ready()
    with socket.create_connection(fleet._host_settings[-1].callers) as caller:
        fleet.run_for(0.1)
        time.sleep(STALL_S)
        caller.sendall(build_request("/lookup/x", deadline_ms=DEADLINE_MS))
        fleet.run_until(lambda: len(upstream.requests) == 1)
    given_ms = float(upstream.requests[0].get(b"greengagestage-deadline-ms") or b"0")
    assert DEADLINE_MS - MARGIN_MS <= given_ms <= DEADLINE_MS


# Guards against the same for a request that lies behind another one.
def test_time_of_a_request_behind_another_one_counts_from_its_arrival(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("u1", behavior=harness.hang)
    fleet.start_host()
    fleet.wait_ready()
    with socket.create_connection(fleet._host_settings[-1].callers) as caller:
        caller.sendall(build_request("/lookup/x", attempt="a1", deadline_ms=DEADLINE_MS))
        fleet.run_until(lambda: len(upstream.requests) == 1)
        caller.sendall(build_request("/lookup/y", attempt="a2", deadline_ms=DEADLINE_MS))
        time.sleep(STALL_S)
        harness.serve(upstream, upstream.requests[0], upstream.hanging[0])
        given_ms = stall(fleet, upstream, 2)
    assert given_ms[1] <= DEADLINE_MS - 2 * STALL_S * 1_000 + MARGIN_MS


# Guards against the same at a host that forwards requests of others.
def test_time_before_a_late_read_of_a_forwarded_request_counts(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("u1")
    port = harness.choose_port()
    for number in (1, 2):
        fleet.start_host(f"host-{number}", address=f"127.0.0.{number}", peer_port=port)
        fleet.wait_ready()
    fleet.run_for(0.3)
    headers = [
        (b"Host", harness.HOST.encode()),
        (b"Greengagestage-Attempt-Id", b"a1"),
        (b"Greengagestage-Deadline-Ms", b"%d" % DEADLINE_MS),
        (b"Content-Length", b"0"),
    ]
    request = OutgoingRequest(method=b"POST", target=b"/lookup/x", headers=headers)
    addressed = address_request(request, (InstanceId("u1"), 1_000))
    lines = [b"POST /lookup/x HTTP/1.1", *(b"%s: %s" % each for each in addressed.headers)]
    with socket.create_connection(("127.0.0.2", port), source_address=("127.0.0.1", 0)) as other:
        other.sendall(b"\r\n".join([*lines, b"", b""]))
        given_ms = stall(fleet, upstream, 1)
    assert given_ms[0] <= DEADLINE_MS - STALL_S * 1_000 + MARGIN_MS
