"""End-to-end tests of requests through a host, over loopback sockets."""

import pytest

from greengagestage.routing import Job, Waiting

from . import host_harness as harness
from .host_harness import EVENTS, HostFleet, running_fleet


@pytest.fixture
def fleet():
    with running_fleet() as running:
        yield running


def start(fleet: HostFleet) -> None:
    fleet.start_host()
    fleet.wait_ready()


def count_sends(fleet: HostFleet) -> int:
    return sum(len(upstream.requests) for upstream in fleet.upstreams.values())


def test_a_plain_answer_comes_whole_from_the_named_upstream(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one")
    start(fleet)
    caller = fleet.call("/order/x?y=%2F")
    assert (caller.status, caller.body) == (200, b"answer of one")
    assert caller.headers["greengagestage-server-signature"] == "s"
    (request,) = upstream.requests
    assert (request.method, request.target, request.body) == (b"POST", b"/order/x?y=%2F", b"body")
    assert request.get(b"greengagestage-expect-instance") == b"one"
    assert request.get(b"greengagestage-tenant") == b"gyor"
    assert request.get(b"authorization") is None
    assert 0 < int(request.get(b"greengagestage-deadline-ms") or b"0") <= 2_000


def test_a_stream_is_relayed_completely(fleet: HostFleet) -> None:
    fleet.add_upstream("one", service="engines")
    start(fleet)
    caller = fleet.call("/long/x")
    assert caller.body == b"".join(EVENTS)


# Guards against requests or bytes that are left out of the metrics of traffic between domains.
def test_traffic_is_counted_by_pair_of_domains(fleet: HostFleet) -> None:
    fleet.add_upstream("one")
    start(fleet)
    body = fleet.call("/order/x").body
    text = fleet.processes[0]._metrics.render().decode()
    labels = '{destination="a",reason="local",source="a"}'
    assert f"greengage_entry_domain_requests_total{labels} 1.0" in text
    assert f"greengage_entry_domain_bytes_total{labels} {len(b'body') + len(body):.1f}" in text


def test_connections_to_upstreams_are_reused(fleet: HostFleet) -> None:
    fleet.add_upstream("one")
    start(fleet)
    process = fleet.processes[0]
    for number in range(5):
        assert fleet.call("/lookup/x", attempt=f"a{number}").status == 200
    assert process._pool.opened == 1


@pytest.mark.parametrize(
    ("path", "fields", "status", "code"),
    [
        ("/nowhere/x", {}, 404, 1010),
        ("/order/x", {"key": None}, 401, 1014),
        ("/order/x", {"key": "other"}, 401, 1015),
        ("/order/x", {"attempt": ""}, 400, 1006),
        # Guards against a tunnel that is answered at its deadline only.
        ("/open/x", {"method": "CONNECT"}, 405, 1011),
        ("shop.example:443", {"method": "CONNECT"}, 405, 1011),
    ],
)
def test_requests_that_the_configuration_does_not_allow_are_refused(
    fleet, path, fields, status, code
) -> None:
    fleet.add_upstream("one")
    start(fleet)
    caller = fleet.call(path, **fields)
    assert (caller.status, caller.error["code"]) == (status, code)
    assert not count_sends(fleet)


def test_public_routes_need_no_key(fleet: HostFleet) -> None:
    fleet.add_upstream("one")
    start(fleet)
    assert fleet.call("/open/x", key=None).status == 200


@pytest.mark.parametrize("behavior", [harness.refuse, harness.answer_misdirected])
@pytest.mark.parametrize("path", ["/lookup/x", "/order/x", "/long/x", "/short/x"])
def test_a_request_refused_as_not_run_is_sent_to_another_upstream(fleet, path, behavior) -> None:
    service = "engines" if path in ("/long/x", "/short/x") else "archive"
    fleet.add_upstream("bad", service=service, behavior=behavior)
    fleet.add_upstream("bad-2", service=service, behavior=behavior)
    good = fleet.add_upstream("good", service=service)
    start(fleet)
    assert fleet.call(path).status == 200
    assert len(good.requests) == 1


@pytest.mark.parametrize("behavior", [harness.refuse, harness.answer_misdirected])
def test_refusals_by_every_upstream_are_reported_as_not_run(fleet, behavior) -> None:
    fleet.add_upstream("one", behavior=behavior)
    start(fleet)
    caller = fleet.call("/order/x")
    assert caller.status == 503
    assert caller.error["run"] == "not_run"
    assert float(caller.headers["retry-after"]) > 0


@pytest.mark.parametrize("behavior", [harness.refuse, harness.reset])
def test_only_sends_after_an_arrival_at_an_upstream_need_the_retry_budget(fleet, behavior) -> None:
    """Without any budget, a request passes closed ports and arrives at one upstream only."""
    for name in ("closed", "closed-2"):
        fleet.add_closed_upstream(name)
    for name in ("open", "open-2"):
        fleet.add_upstream(name, behavior=behavior)
    fleet.start_host(retry_ratio=0.0, retry_slack=0.0)
    fleet.wait_ready()
    for number in range(8):
        caller = fleet.call("/lookup/x", attempt=f"a{number}", body=b"body %d" % number)
        assert caller.status in (502, 503)
        assert count_sends(fleet) == number + 1


@pytest.mark.parametrize("behavior", [harness.reset, harness.answer_unidentified])
@pytest.mark.parametrize("path", ["/order/x", "/long/x"])
def test_a_request_that_may_have_run_is_not_sent_again(fleet, path, behavior) -> None:
    service = "engines" if path == "/long/x" else "archive"
    for name in ("one", "two"):
        fleet.add_upstream(name, service=service, behavior=behavior)
    start(fleet)
    caller = fleet.call(path)
    assert caller.status == 502
    assert caller.error["run"] == "may_have_run"
    assert count_sends(fleet) == 1


@pytest.mark.parametrize("behavior", [harness.reset, harness.answer_unidentified, harness.fail])
def test_an_idempotent_request_is_repeated_once(fleet, behavior) -> None:
    for name in ("one", "two", "three"):
        fleet.add_upstream(name, behavior=behavior)
    start(fleet)
    caller = fleet.call("/lookup/x")
    assert caller.status in (500, 502)
    assert count_sends(fleet) == 2


def test_an_upstream_error_is_relayed_if_the_request_must_not_repeat(fleet: HostFleet) -> None:
    fleet.add_upstream("one", behavior=harness.fail)
    fleet.add_upstream("two", behavior=harness.fail)
    start(fleet)
    caller = fleet.call("/order/x")
    assert (caller.status, caller.body) == (500, b"broken")
    assert caller.headers["greengagestage-server-signature"] == "s"
    assert count_sends(fleet) == 1


def test_an_interrupted_stream_resumes_at_another_upstream(fleet: HostFleet) -> None:
    first = fleet.add_upstream("one", service="engines", behavior=harness.abort_mid_stream)
    second = fleet.add_upstream("two", service="engines", behavior=harness.abort_mid_stream)
    start(fleet)
    caller = fleet.connect(harness.build_request("/short/x"))
    fleet.run_until(lambda: count_sends(fleet) == 1)
    (other,) = [u for u in (first, second) if not u.requests]
    other.behavior = harness.serve
    fleet.run_until(lambda: caller.is_complete)
    assert caller.body == b"".join(EVENTS)
    assert other.requests[0].get(b"last-event-id") == b"2"


def test_an_interrupted_stream_that_must_not_repeat_never_looks_complete(fleet: HostFleet) -> None:
    for name in ("one", "two"):
        fleet.add_upstream(name, service="engines", behavior=harness.abort_mid_stream)
    start(fleet)
    caller = fleet.call("/long/x")
    assert caller.closed
    assert not caller.is_complete
    assert caller.body.startswith(EVENTS[0] + EVENTS[1])
    assert count_sends(fleet) == 1


def test_a_retryable_request_is_moved_away_from_a_silent_upstream(fleet: HostFleet) -> None:
    for name in ("one", "two"):
        fleet.add_upstream(name, behavior=harness.hang)
    start(fleet)
    caller = fleet.connect(harness.build_request("/lookup/x"))
    fleet.run_until(lambda: count_sends(fleet) == 1)
    (other,) = [u for u in fleet.upstreams.values() if not u.requests]
    other.behavior = harness.serve
    fleet.run_until(lambda: caller.is_complete)
    assert caller.status == 200
    fleet.run_until(lambda: sum(u.disconnects for u in fleet.upstreams.values()) == 1)


def test_the_final_answer_comes_at_the_deadline(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one", behavior=harness.hang)
    start(fleet)
    began_s = fleet.reactor.seconds()
    caller = fleet.call("/order/x", deadline_ms=300)
    assert 0.3 <= fleet.reactor.seconds() - began_s < 0.55
    assert caller.status == 504
    assert caller.error["run"] == "may_have_run"
    fleet.run_until(lambda: upstream.disconnects == 1)


@pytest.mark.parametrize(("path", "cancelled"), [("/lookup/x", True), ("/order/x", False)])
def test_a_caller_disconnect_cancels_only_requests_that_may_be_cancelled(
    fleet, path, cancelled
) -> None:
    upstream = fleet.add_upstream("one", behavior=harness.hang)
    start(fleet)
    caller = fleet.connect(harness.build_request(path))
    fleet.run_until(lambda: bool(upstream.requests))
    caller.transport.abortConnection()
    fleet.run_for(0.3)
    assert bool(upstream.disconnects) is cancelled


TIME_BETWEEN_CRASHES_S = 0.15
"""Answers that are lost within 0.05 s at several upstreams have a common cause."""


def test_identical_requests_that_crash_upstreams_are_quarantined(fleet: HostFleet) -> None:
    for number in range(6):
        fleet.add_upstream(f"u{number}", behavior=harness.reset)
    start(fleet)
    for number in range(6):
        caller = fleet.call("/order/x", attempt=f"a{number}", body=b"poison")
        fleet.run_for(TIME_BETWEEN_CRASHES_S)
    assert caller.error["code"] == 2012
    assert count_sends(fleet) == 3
    assert fleet.call("/order/x", attempt="b1", body=b"other").error["code"] != 2012


def test_a_request_quarantined_after_it_may_have_run_is_not_reported_as_not_run(
    fleet: HostFleet,
) -> None:
    for number in range(4):
        fleet.add_upstream(f"u{number}", behavior=harness.reset)
    start(fleet)
    fleet.call("/lookup/x", attempt="a1", body=b"poison")
    sent = count_sends(fleet)
    caller = fleet.call("/lookup/x", attempt="a2", body=b"poison")
    assert (sent, count_sends(fleet)) == (2, 3)
    assert (caller.status, caller.error["code"]) == (502, 3006)
    assert caller.error["run"] == "may_have_run"


def test_a_draining_upstream_gets_no_requests_after_the_next_registry_read(
    fleet: HostFleet,
) -> None:
    leaving = fleet.add_upstream("one")
    staying = fleet.add_upstream("two")
    start(fleet)
    fleet.store.put("servers", "one", leaving.build_entry(State="draining"))
    fleet.run_for(1.3)
    for number in range(6):
        assert fleet.call("/order/x", attempt=f"a{number}").status == 200
    assert not leaving.requests
    assert len(staying.requests) == 6


def test_a_stop_finishes_what_was_accepted(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one", behavior=harness.hang)
    start(fleet)
    caller = fleet.connect(harness.build_request("/order/x", deadline_ms=2_000))
    fleet.run_until(lambda: bool(upstream.hanging))
    stopped: list[object] = []
    fleet.processes[0].stop().addCallback(stopped.append)
    assert fleet.ask_readiness() == 503
    fleet.run_for(0.5)
    assert not stopped
    upstream.hanging[0].answer(200, harness.build_identity_headers(upstream.requests[0]), b"late")
    fleet.run_until(lambda: caller.is_complete)
    assert caller.body == b"late"
    assert caller.headers["connection"] == "close"
    upstream.behavior = harness.serve
    assert fleet.call("/order/y", attempt="a2").status == 200
    fleet.run_until(lambda: bool(stopped))


# Guards against callers that get neither an answer nor a refusal when the grace period ends.
@pytest.mark.parametrize("path", ["/order/x", "/long/x"])
def test_a_stop_answers_what_it_cannot_finish(fleet: HostFleet, path: str) -> None:
    service = "engines" if path == "/long/x" else "archive"
    upstream = fleet.add_upstream("one", service=service, behavior=harness.hang)
    fleet.start_host(stop_grace_s=3.2)
    fleet.wait_ready()
    stopped: list[object] = []
    fleet.processes[0].stop().addCallback(stopped.append)
    fleet.run_for(1.2)
    caller = fleet.connect(harness.build_request(path))
    fleet.run_until(lambda: bool(upstream.hanging))
    fleet.run_until(lambda: bool(stopped))
    fleet.run_for(0.05)
    assert (caller.status, caller.error["code"]) == (502, 3010)
    assert caller.error["run"] == "may_have_run"


# Guards against requests that come late in the grace of a planned stop, are passed on and then cut
# off: all that reach the host after the load balancer has removed it.
@pytest.mark.parametrize("path", ["/order/x", "/long/x", "/read/x"])
def test_requests_late_in_the_grace_are_refused_and_not_passed_on(
    fleet: HostFleet, path: str
) -> None:
    service = "engines" if path == "/long/x" else "archive"
    upstream = fleet.add_upstream("one", service=service, behavior=harness.hang)
    fleet.add_upstream("two", behavior=harness.hang)
    fleet.store.put(
        "op", "config", harness.build_document(Routes=[*harness.ROUTES, harness.SLOW_ROUTE])
    )
    process = fleet.start_host(stop_grace_s=4.5)
    fleet.wait_ready()
    idle = fleet.connect(b"")
    request = harness.build_request("/slow/y", attempt="open", deadline_ms=9_000)
    open_caller = fleet.connect(request)
    process.stop()
    fleet.run_for(2.8)
    assert process._context.open_exchanges
    assert not [each for each in upstream.attempt_ids if each != b"open"]
    late = fleet.call(path, attempt="late")
    assert (late.status, late.error["code"], late.error["run"]) == (503, 2010, "not_run")
    assert b"late" not in upstream.attempt_ids
    assert idle.closed or not idle.data
    open_caller.transport.abortConnection()


# Guards against a request that waits for room in a planned stop, is sent late in the grace for the
# first time and cut off at its end.
def test_a_request_that_waits_is_not_sent_late_in_the_grace(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one", behavior=harness.hang)
    process = fleet.start_host(stop_grace_s=4.5)
    fleet.wait_ready()
    router = process._router
    place = router.place

    def wait_first(job: Job, now_s: float, *tried: object) -> object:
        if now_s - job.arrived_s < 1.2:
            return Waiting(delay_s=0.1, reason="no room")
        return place(job, now_s, *tried)

    router.place = wait_first
    process.stop()
    fleet.run_for(2.0)
    caller = fleet.connect(harness.build_request("/order/x", attempt="waits", deadline_ms=9_000))
    fleet.run_until(lambda: caller.is_complete)
    assert (caller.status, caller.error["code"], caller.error["run"]) == (503, 2010, "not_run")
    assert not upstream.requests
