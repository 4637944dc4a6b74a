"""Requests that another host passes on, over loopback sockets."""

import json

import pytest

from greengagestage.gateway.forwarding import _forwarding
from greengagestage.gateway.forwarding._forwarding_protocol import ForwardFault, take_address
from greengagestage.ids import InstanceId

from . import host_harness as harness
from .cut_links import Cut, CutHost
from .host_harness import EVENTS, HostFleet, running_fleet


@pytest.fixture
def host():
    with running_fleet() as fleet:
        cut_host = CutHost(fleet)
        cut_host.lose_links()
        assert cut_host.forwarded
        yield cut_host


def list_open(host: CutHost) -> list[_forwarding.ForwardedRequest]:
    """Return the requests that the other hosts are forwarding."""
    return [each for other in host.others for each in other._forwarding.open_requests]


def count_received(fleet: HostFleet) -> int:
    return sum(len(upstream.requests) for upstream in fleet.upstreams.values())


# Guards against a second run of a request that is not idempotent after the host that forwarded it
# has lost it.
@pytest.mark.parametrize("loss", [harness.reset, harness.hang])
def test_a_lost_order_that_another_host_forwarded_is_not_sent_again(
    host: CutHost, loss: harness.Behavior
) -> None:
    host.set_behavior(loss)
    caller = host.fleet.connect(harness.build_request("/order/x", attempt="once"))
    host.fleet.run_until(lambda: host.count_runs("once") == 1)
    for each in list_open(host):
        each.stop()
    host.fleet.run_until(lambda: caller.is_complete)
    assert (caller.status, host.count_runs("once")) == (502, 1)


# Guards against a stream that loses or repeats events when its forwarding host fails.
def test_a_forwarded_stream_goes_on_in_order_after_its_forwarding_host_failed(
    host: CutHost,
) -> None:
    host.set_behavior(harness.abort_mid_stream)
    caller = host.fleet.connect(harness.build_request("/short/x", deadline_ms=8_000))
    host.fleet.run_until(lambda: EVENTS[1] in caller.data)
    host.set_behavior(harness.serve)
    host.fleet.run_until(lambda: caller.is_complete)
    assert (caller.status, caller.body) == (200, b"".join(EVENTS))


# Guards against a stream without framing that breaks off in an event and looks complete once
# another host has put it into chunks.
def test_a_forwarded_stream_that_ends_within_an_event_does_not_look_complete(
    host: CutHost,
) -> None:
    def end_within_event(upstream, request, responder):
        identity = harness.build_identity_headers(request)
        head = b"".join(b"%s: %s\r\n" % header for header in identity)
        responder.transport.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + EVENTS[0] + b"id: 2\n")
        responder.transport.unregisterProducer()
        upstream.reactor.callLater(0.05, responder.transport.loseConnection)

    host.set_behavior(end_within_event)
    caller = host.fleet.connect(harness.build_request("/long/x"))
    host.fleet.run_until(lambda: caller.closed or caller.is_complete)
    assert EVENTS[0] in caller.data
    assert not caller.is_complete


# Guards against work that goes on at an upstream after the caller has left or given up waiting.
@pytest.mark.parametrize("leaves", [True, False])
def test_the_end_of_a_forwarded_request_reaches_its_upstream(host: CutHost, leaves: bool) -> None:
    host.set_behavior(harness.hang)
    upstreams = host.fleet.upstreams.values()
    request = harness.build_request("/long/x", deadline_ms=5_000 if leaves else 400)
    caller = host.fleet.connect(request)
    host.fleet.run_until(lambda: any(each.hanging for each in upstreams))
    if leaves:
        caller.transport.abortConnection()
    host.fleet.run_until(lambda: sum(each.disconnects for each in upstreams) > 0)
    assert not list_open(host)


# Guards against an upstream that is handed more time than the caller has left.
def test_a_forwarded_request_carries_the_time_that_is_left(host: CutHost) -> None:
    host.fleet.call("/lookup/x", attempt="timed", deadline_ms=900)
    requests = [each for up in host.fleet.upstreams.values() for each in up.requests]
    timed = [each for each in requests if each.get(b"greengagestage-attempt-id") == b"timed"]
    assert [int(each.get(b"greengagestage-deadline-ms") or 0) <= 900 for each in timed] == [True]


# Guards against a revoked key that still works by way of another host.
def test_a_revoked_key_is_refused_and_not_forwarded(host: CutHost) -> None:
    tenants = [{"Name": "gyor", "ApiKeys": ["another"]}]
    host.fleet.store.put("op", "config", harness.build_document(2, Tenants=tenants))
    tables = host.process._configuration
    host.fleet.run_until(lambda: tables.table is not None and tables.table.version == 2)
    forwarded = host.forwarded
    assert host.fleet.call("/lookup/x", attempt="revoked").status == 401
    assert host.forwarded == forwarded


# Guards against requests that are cut off when the host that forwards them stops.
def test_a_stopping_host_completes_what_it_forwards_and_takes_no_more(host: CutHost) -> None:
    host.set_behavior(harness.delay(1.0, harness.serve))
    caller = host.fleet.connect(harness.build_request("/order/x", attempt="under-way"))
    host.fleet.run_until(lambda: host.count_runs("under-way") == 1)
    stopping = next(each for each in host.others if each._forwarding.open_requests)
    ended: list[None] = []
    stopping.stop().addCallback(ended.append)
    forwarded = stopping._forwarding.forwarded
    host.set_behavior(harness.serve)
    for number in range(8):
        assert host.fleet.call("/order/x", attempt=f"after-{number}").status == 200
    assert stopping._forwarding.forwarded == forwarded
    host.fleet.run_until(lambda: caller.is_complete)
    assert caller.status == 200
    host.fleet.run_until(lambda: bool(ended))


# Guards against requests that hosts without links pass round among themselves.
def test_hosts_without_links_do_not_forward_to_each_other(host: CutHost) -> None:
    for other in host.others:
        for instance in host.fleet.upstreams:
            other._router.links.record_unreachable(InstanceId(instance), 0.0)
    forwarded, received = host.forwarded, count_received(host.fleet)
    caller = host.fleet.call("/order/x", attempt="nowhere", deadline_ms=1_500)
    assert caller.status == 503
    assert (host.forwarded, count_received(host.fleet)) == (forwarded, received)


# Guards against a host that keeps sending through others once its own links are back.
def test_a_host_sends_directly_again_after_its_links_are_back(host: CutHost) -> None:
    host.links.heal()

    def is_direct() -> bool:
        before = host.forwarded
        host.fleet.call("/lookup/x")
        host.fleet.call("/short/x")
        return host.forwarded == before

    host.fleet.run_until(lambda: all(is_direct() for _ in range(6)))


# Guards against a wrong suspicion that lasts: sound links are tried again at once.
def test_a_host_that_wrongly_suspects_its_links_serves_and_recovers() -> None:
    with running_fleet() as fleet:
        host = CutHost(fleet)
        for instance in fleet.upstreams:
            links = host.process._router.links
            links.record_unreachable(InstanceId(instance), fleet.reactor.seconds())
        assert {fleet.call("/order/x", attempt=f"o{n}").status for n in range(5)} == {200}

        def serve_directly() -> bool:
            fleet.call("/lookup/x")
            return not any(
                links.is_cut(InstanceId(each)) for each in fleet.upstreams if "arc" in each
            )

        fleet.run_until(serve_directly)


# Guards against callers that are refused where some of the upstreams are still within reach.
@pytest.mark.parametrize("cut", list(Cut))
def test_a_host_that_reaches_some_upstreams_serves_its_callers(cut: Cut) -> None:
    with running_fleet() as fleet:
        host = CutHost(fleet)
        ports = [
            upstream.port.getHost().port
            for name, upstream in fleet.upstreams.items()
            if not name.endswith("1")
        ]
        host.links.cut(cut, ports)
        for number in range(4):
            fleet.call("/lookup/x", attempt=f"notice-{number}")
            fleet.call("/short/x", attempt=f"notice-stream-{number}")
        for path in ("/lookup/x", "/order/x", "/short/x", "/long/x"):
            statuses = {fleet.call(path, attempt=f"{path}{n}").status for n in range(4)}
            assert statuses == {200}


# Guards against strangers that use a host as an open proxy, and against a request that counts as
# sent although the host did not know its sender.
@pytest.mark.parametrize("address", ["127.0.0.9", "127.0.0.4"])
def test_a_host_forwards_only_what_known_hosts_address(host: CutHost, address: str) -> None:
    other = host.others[0]
    endpoint = other._settings.address, other._settings.peer_port
    to_upstream = "Greengage-Forward-To: 1000/archive-1"
    headers = (to_upstream,) if address == "127.0.0.9" else ()
    received = count_received(host.fleet)
    caller = host.fleet.connect(harness.build_request("/lookup/x", headers=headers), endpoint)
    host.fleet.run_until(lambda: caller.is_complete)
    assert caller.headers["greengage-forward-fault"] == ForwardFault.REJECTED.value
    assert count_received(host.fleet) == received


# Guards against a malformed message that takes a host down.
@pytest.mark.parametrize(
    "address", ["", "/", "1000", "1000/", "x/archive-1", "9" * 5_000 + "/archive-1", "-1/archive-1"]
)
def test_a_host_survives_malformed_addresses(host: CutHost, address: str) -> None:
    other = host.others[0]
    endpoint = other._settings.address, other._settings.peer_port
    request = harness.build_request("/lookup/x", headers=(f"Greengage-Forward-To: {address}",))
    caller = host.fleet.connect(request, endpoint)
    host.fleet.run_until(lambda: caller.is_complete)
    assert caller.headers["greengage-forward-fault"] == ForwardFault.REJECTED.value
    assert take_address([(b"greengage-forward-to", address.encode())]) is None
    assert host.fleet.call("/order/x").status == 200


# Guards against a second answer that comes late on the connection of a forwarded request, and is
# taken for the answer to the next one.
def test_a_late_second_answer_reaches_no_other_caller_through_another_host(host: CutHost) -> None:
    def answer_twice(upstream, request, responder) -> None:
        name = request.get(b"greengagestage-attempt-id") or b""
        headers = harness.build_identity_headers(request)
        responder.answer(200, headers, b"for " + name)
        head = b"".join(b"%s: %s\r\n" % header for header in headers)
        again = b"HTTP/1.1 200 OK\r\n" + head + b"Content-Length: 7\r\n\r\nsecond!"
        upstream.reactor.callLater(0.003, responder.transport.write, again)

    host.set_behavior(answer_twice)
    for number in range(12):
        caller = host.fleet.call("/lookup/x", attempt=f"own-{number}")
        assert (caller.status, caller.body) == (200, b"for own-%d" % number)


# Guards against unbounded work for other hosts.
def test_a_host_takes_no_more_than_its_limit_for_others(
    host: CutHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_forwarding, "MAX_FORWARDED_REQUESTS", 1)
    host.set_behavior(harness.hang)
    for number in range(5):
        host.fleet.connect(harness.build_request("/order/x", attempt=f"o{number}"))
    host.fleet.run_for(0.5)
    assert max(len(other._forwarding.open_requests) for other in host.others) == 1


# Guards against an upstream that leaves and gets requests by way of a host that was told so.
def test_a_host_that_was_told_of_a_departure_forwards_nothing_there(host: CutHost) -> None:
    for other in host.others:
        for state in other._router.upstreams.values():
            if state.record.instance != "archive-2":
                other._router.record_leaving(state.record.incarnation)
    received = {name: len(each.requests) for name, each in host.fleet.upstreams.items()}
    assert host.fleet.call("/order/x", attempt="staying").status == 200
    changed = [
        name for name, each in host.fleet.upstreams.items() if len(each.requests) != received[name]
    ]
    assert changed == ["archive-2"]


# Guards against a cost of forwarding on days without cuts.
def test_a_host_with_links_forwards_nothing() -> None:
    with running_fleet() as fleet:
        host = CutHost(fleet)
        for number in range(6):
            fleet.call("/lookup/x", attempt=f"a{number}")
            fleet.call("/short/x", attempt=f"b{number}")
        assert host.forwarded == 0
        assert json.dumps(host.links.attempts).count(str(host.others[0]._settings.peer_port)) == 0
