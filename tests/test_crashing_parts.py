"""Tests of prompt parts that crash each upstream that begins to answer them."""

from collections.abc import Iterator

import pytest

from greengagestage.http1 import ClientConnection, Endpoint
from greengagestage.routing import _trials

from . import host_harness as harness
from .host_harness import EVENTS, HostFleet, UpstreamStandin, choose_port, running_fleet

MAX_CRASHES = 5
"""Crashes after which the hosts must know the part, by the operators' rules."""


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as running:
        yield running


def add_engines(fleet: HostFleet, count: int, part: str = "bad") -> list[UpstreamStandin]:
    behavior = harness.crash_on_part(part)
    return [
        fleet.add_upstream(f"u{number}", service="engines", behavior=behavior)
        for number in range(count)
    ]


def count_arrivals(engines: list[UpstreamStandin], part: str = "bad") -> int:
    return sum(
        f"{part}:".encode() in (request.get(b"greengagestage-prompt-prefix") or b"")
        for engine in engines
        for request in engine.requests
    )


def send(fleet: HostFleet, number: int, parts: str, path: str = "/long") -> harness.RawCaller:
    """Send a request that is equal to no other one and wait until the hosts know its outcome."""
    name = f"a{number}"
    caller = fleet.call(f"{path}/{name}", attempt=name, body=name.encode(), parts=parts)
    fleet.run_for(0.2)
    return caller


# Guards against different requests with one deadly part crashing one upstream after the other.
# Requests to /short are sent again at once, so that the crashes are milliseconds apart.
@pytest.mark.parametrize("path", ["/long", "/short"])
@pytest.mark.parametrize("parts", ["aa:600,bad:300,{}:40", "bad:600,bb:300,{}:40"])
def test_different_requests_with_a_crashing_part_stop_reaching_upstreams(
    fleet: HostFleet, parts: str, path: str
) -> None:
    engines = add_engines(fleet, 9)
    fleet.start_host()
    fleet.wait_ready()
    for number in range(8):
        caller = send(fleet, number, parts.format(f"own{number}"), path)
    assert count_arrivals(engines) <= MAX_CRASHES
    assert (caller.status, caller.error["code"]) == (503, 2012)


# Guards against a part that sound requests share being taken for the one that crashes.
def test_sound_requests_with_the_other_parts_are_served(fleet: HostFleet) -> None:
    engines = add_engines(fleet, 9)
    fleet.start_host()
    fleet.wait_ready()
    for number in range(8):
        send(fleet, number, f"aa:600,bad:300,own{number}:40")
    assert count_arrivals(engines) <= MAX_CRASHES
    for number in range(8, 11):
        caller = send(fleet, number, f"aa:600,bb:300,own{number}:40")
        assert caller.body == b"".join(EVENTS)


# Guards against each host finding out for itself, which costs some crashes a host.
def test_crashes_at_one_host_keep_the_part_from_all_hosts(fleet: HostFleet) -> None:
    engines = add_engines(fleet, 9)
    peer_port = choose_port()
    for number in range(3):
        fleet.start_host(f"host-{number}", address=f"127.0.0.{number + 1}", peer_port=peer_port)
        fleet.wait_ready()
    fleet.run_until(lambda: all(host._peers.active_peers == 2 for host in fleet.processes))
    for number in range(6):
        send(fleet, number, f"aa:600,bad:300,own{number}:40")
    arrivals = count_arrivals(engines)
    assert arrivals <= MAX_CRASHES
    for index in range(2):
        caller = fleet.call_at(index, f"/long/b{index}", parts="aa:600,bad:300,c:4", attempt="b1")
        assert caller.error["code"] == 2012
    assert count_arrivals(engines) == arrivals


# Guards against a host that starts after the crashes crashing further upstreams.
def test_a_host_that_starts_later_learns_of_a_crashing_part(fleet: HostFleet) -> None:
    engines = add_engines(fleet, 9)
    peer_port = choose_port()
    fleet.start_host("host-1", address="127.0.0.1", peer_port=peer_port)
    fleet.wait_ready()
    for number in range(6):
        send(fleet, number, f"aa:600,bad:300,own{number}:40")
    arrivals = count_arrivals(engines)
    fleet.start_host("host-2", address="127.0.0.2", peer_port=peer_port)
    fleet.wait_ready()
    fleet.run_until(lambda: fleet.processes[1]._peers.active_peers == 1)
    fleet.run_for(2.0)
    caller = send(fleet, 9, "aa:600,bad:300,own9:40")
    assert caller.error["code"] == 2012
    assert count_arrivals(engines) == arrivals <= MAX_CRASHES


# Guards against a request that crashes one upstream after the other because its own retries look
# like a failure of several upstreams at the same moment.
def test_a_request_that_is_sent_again_at_once_is_quarantined(fleet: HostFleet) -> None:
    upstreams = [fleet.add_upstream(f"s{number}", behavior=harness.reset) for number in range(9)]
    fleet.start_host()
    fleet.wait_ready()
    for number in range(4):
        caller = fleet.call("/lookup/x", attempt=f"a{number}")
        fleet.run_for(0.2)  # until the losses are judged
    assert caller.error["code"] == 2012
    assert sum(len(upstream.requests) for upstream in upstreams) == 3


# Guards against a host that starts after the crashes sending a request again that is known to
# crash upstreams: it has not heard the reports, which are sent once.
def test_a_host_that_starts_later_learns_of_a_crashing_request(fleet: HostFleet) -> None:
    upstreams = [fleet.add_upstream(f"s{number}", behavior=harness.reset) for number in range(9)]
    peer_port = choose_port()
    fleet.start_host("host-1", address="127.0.0.1", peer_port=peer_port)
    fleet.wait_ready()
    for number in range(4):
        caller = fleet.call("/lookup/x", attempt=f"a{number}")
        fleet.run_for(0.2)  # until the losses are judged
    assert caller.error["code"] == 2012
    fleet.start_host("host-2", address="127.0.0.2", peer_port=peer_port)
    fleet.wait_ready()
    fleet.run_until(lambda: fleet.processes[1]._peers.active_peers == 1)
    fleet.run_for(2.0)
    assert fleet.call("/lookup/x", attempt="b1").error["code"] == 2012
    assert fleet.call("/lookup/other", attempt="b2", body=b"other").error["code"] != 2012
    assert all(b"b1" not in upstream.attempt_ids for upstream in upstreams)


# Guards against losing what is known when the last host that knows it ends: the next one reads it
# in the store.
@pytest.mark.parametrize("path", ["/lookup/x", "/long/x"])
def test_a_host_that_starts_alone_knows_what_crashed_upstreams(fleet: HostFleet, path: str) -> None:
    behavior = harness.reset if path == "/lookup/x" else harness.crash_on_part("bad")
    service = "archive" if path == "/lookup/x" else "engines"
    upstreams = [
        fleet.add_upstream(f"s{number}", service=service, behavior=behavior) for number in range(9)
    ]
    first = fleet.start_host("host-1")
    fleet.wait_ready()
    for number in range(4):
        caller = fleet.call(path, attempt=f"a{number}", parts="aa:600,bad:300,own:40")
        fleet.run_for(0.2)  # until the losses are judged
    assert caller.error["code"] == 2012
    fleet.run_until(lambda: bool(fleet.store.list_keys("greengagestage-crashes")))
    first._peers.stop()
    arrivals = sum(len(upstream.requests) for upstream in upstreams)
    fleet.start_host("host-2")
    fleet.wait_ready()
    caller = fleet.call(path, attempt="b1", parts="aa:600,bad:300,own:40")
    assert caller.error["code"] == 2012
    assert sum(len(upstream.requests) for upstream in upstreams) == arrivals
    if path == "/long/x":
        sound = fleet.call(path, attempt="b2", body=b"sound", parts="aa:600,cc:300,own:40")
        assert sound.body == b"".join(EVENTS)


# Guards against a row being replaced by a host that knows of other crashes: after the end of all
# hosts, the parts that sound prompts share with a crashing one would be blamed.
def test_the_record_keeps_the_crashes_that_different_hosts_have_seen(fleet: HostFleet) -> None:
    engines = add_engines(fleet, 12)
    apart = [fleet.start_host(f"host-{number}", address=f"127.0.0.{number}") for number in (1, 2)]
    fleet.wait_ready()

    def send_at(host: int, name: str, parts: str) -> harness.RawCaller:
        caller = fleet.call_at(host, f"/long/{name}", attempt=name, body=name.encode(), parts=parts)
        fleet.run_for(0.2)
        return caller

    apart[1]._crashes._table.stop()  # so that it does not read what the other one writes
    for number in range(2):
        send_at(0, f"a{number}", f"aa:600,bad:300,a{number}:40")
    send_at(1, "b0", "aa:600,bad:300,b0:40")
    send_at(1, "sound", "aa:600,cc:300,sound:40")
    send_at(1, "b1", "aa:600,bad:300,b1:40")
    assert count_arrivals(engines) == 4
    apart[1]._crashes._table.start()
    fleet.run_for(1.5)  # until both have written
    for host in apart:
        host._peers.stop()
    fleet.start_host("host-3", address="127.0.0.3")
    fleet.wait_ready()
    fleet.run_for(0.3)
    assert send_at(2, "c0", "aa:600,bad:300,c0:40").error["code"] == 2012
    assert send_at(2, "c1", "aa:600,cc:300,c1:40").body == b"".join(EVENTS)


# Guards against a gap in the record because the host that found something out has ended, or did
# not reach the store, and against a record that only grows.
def test_the_first_host_records_what_is_missing_and_removes_what_says_nothing(
    fleet: HostFleet,
) -> None:
    fleet.store.put("greengagestage-crashes", "request-old", b"{}")
    for number in range(9):
        fleet.add_upstream(f"s{number}", behavior=harness.reset)
    peer_port = choose_port()
    for number in (1, 2):
        fleet.start_host(f"host-{number}", address=f"127.0.0.{number}", peer_port=peer_port)
        fleet.wait_ready()
    fleet.run_until(lambda: all(host._peers.active_peers == 1 for host in fleet.processes))
    fleet.processes[1]._crashes.stop()
    for number in range(4):
        caller = fleet.call("/lookup/x", attempt=f"a{number}")
        fleet.run_for(0.2)  # until the losses are judged
    assert caller.error["code"] == 2012
    assert fleet.store.list_keys("greengagestage-crashes") == ["request-old"]
    fleet.run_until(
        lambda: fleet.store.list_keys("greengagestage-crashes") not in ([], ["request-old"])
    )
    assert "request-old" not in fleet.store.list_keys("greengagestage-crashes")


# Guards against a connection that has gone silent passing for proof that its upstream is alive.
def test_a_silent_connection_does_not_hide_a_crash(fleet: HostFleet) -> None:
    engines = add_engines(fleet, 9)
    host = fleet.start_host()
    fleet.wait_ready()
    silent = ClientConnection(  # idle since time 0
        seconds=fleet.reactor.seconds,
        on_idle=lambda connection: None,
        on_closed=lambda connection: None,
    )
    for engine in engines:
        address = engine.port.getHost()
        host._pool._open[Endpoint(address=address.host, port=address.port)] = {silent}
    for number in range(8):
        caller = send(fleet, number, f"aa:600,bad:300,own{number}:40")
    assert count_arrivals(engines) <= MAX_CRASHES
    assert caller.error["code"] == 2012


def start_three_hosts(fleet: HostFleet) -> None:
    """Start hosts that know each other, with quarantines and turns of a few seconds."""
    peer_port = choose_port()
    for number in range(3):
        fleet.start_host(f"host-{number}", address=f"127.0.0.{number + 1}", peer_port=peer_port)
        fleet.wait_ready()
    fleet.run_until(lambda: all(host._peers.active_peers == 2 for host in fleet.processes))


def call_until_quarantined(fleet: HostFleet, path: str) -> None:
    for number in range(6):
        caller = fleet.call(path, attempt=f"a{number}")
        if caller.body and caller.error["code"] == 2012:
            return
        fleet.run_for(0.2)  # until the losses are judged
    raise AssertionError("the request is not quarantined")


def remove_entries(fleet: HostFleet, upstreams: list[UpstreamStandin]) -> None:
    """Remove the entries of the upstreams that were crashed, which expire before a quarantine ends.

    A trial would be tried at them first, and given up.
    """
    for upstream in upstreams:
        if upstream.requests:
            fleet.store.remove("servers", upstream.name)


@pytest.fixture
def short_quarantines(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value_s in {"FIRST_QUARANTINE_S": 4.0, "TURN_S": 2.0, "TRIAL_START_S": 0.5}.items():
        monkeypatch.setattr(_trials, name, value_s)


# Guards against all callers at all hosts being let through at the moment a quarantine ends.
@pytest.mark.usefixtures("short_quarantines")
@pytest.mark.parametrize("path", ["/long/x", "/short/x", "/lookup/x"])
def test_one_trial_reaches_an_upstream_at_the_end_of_a_quarantine(
    fleet: HostFleet, path: str
) -> None:
    engines = add_engines(fleet, 12, part="aa")
    plain = [fleet.add_upstream(f"s{number}", behavior=harness.reset) for number in range(9)]
    start_three_hosts(fleet)

    def count() -> int:
        return sum(len(upstream.requests) for upstream in (*engines, *plain))

    call_until_quarantined(fleet, path)
    remove_entries(fleet, [*engines, *plain])
    before, ends_s = count(), fleet.reactor.seconds() + 9.0
    while fleet.reactor.seconds() < ends_s:
        for host in (0, 1, 2):
            fleet.call_at(host, path, attempt=f"t{fleet.reactor.seconds()}")
    assert count() == before + 1


# Guards against requests that stay quarantined on other hosts, or after a restart, although one of
# them was answered.
@pytest.mark.usefixtures("short_quarantines")
def test_an_answered_trial_frees_equal_requests_on_all_hosts(fleet: HostFleet) -> None:
    upstreams = [fleet.add_upstream(f"s{number}", behavior=harness.reset) for number in range(9)]
    start_three_hosts(fleet)
    call_until_quarantined(fleet, "/lookup/x")
    for upstream in upstreams:
        upstream.behavior = harness.serve
    answered: set[int] = set()
    ends_s = fleet.reactor.seconds() + 12.0
    while len(answered) < 3 and fleet.reactor.seconds() < ends_s:
        answered |= {host for host in (0, 1, 2) if fleet.call_at(host, "/lookup/x").status == 200}
    assert answered == {0, 1, 2}
    fleet.run_for(1.0)  # until the row is written
    for host in fleet.processes:
        host._peers.stop()
    fleet.start_host("host-4")
    fleet.wait_ready()
    assert fleet.call("/lookup/x").status == 200


# Guards against a trial that no upstream has run keeping equal requests back for a minute.
@pytest.mark.usefixtures("short_quarantines")
def test_another_trial_may_follow_one_that_was_refused_by_all_upstreams(fleet: HostFleet) -> None:
    upstreams = [fleet.add_upstream(f"s{number}", behavior=harness.reset) for number in range(9)]
    fleet.start_host()
    fleet.wait_ready()
    call_until_quarantined(fleet, "/lookup/x")
    for upstream in upstreams:
        upstream.requests.clear()
        upstream.behavior = harness.refuse
    ends_s = fleet.reactor.seconds() + 8.0
    while not any(upstream.requests for upstream in upstreams):
        assert fleet.reactor.seconds() < ends_s
        caller = fleet.call("/lookup/x", attempt=f"t{fleet.reactor.seconds()}")
        fleet.run_for(0.05)
    assert caller.status == 503
    for upstream in upstreams:
        upstream.behavior = harness.serve
    while fleet.reactor.seconds() < ends_s and caller.status != 200:
        caller = fleet.call("/lookup/x", attempt=f"t{fleet.reactor.seconds()}")
        fleet.run_for(0.05)
    assert caller.status == 200
