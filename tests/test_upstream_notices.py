"""Tests that a host obeys what upstreams state about further requests in their answers."""

from typing import Any

import pytest

from greengagestage.http1 import ClientConnection, IncomingRequest, Responder, ResponseHead
from greengagestage.ids import InstanceId
from greengagestage.platform import read_pause_s
from greengagestage.routing import AttemptEnd, Placement, Refused, Router
from greengagestage.routing._notices import MAX_REMEMBERED, NoticeBoard

from . import host_harness as harness
from .catalog_builders import ARCHIVE, LONG, LOOKUP, SHORT, build_job, build_router, build_upstream
from .host_harness import Behavior, HostFleet, UpstreamStandin, running_fleet

LEAVING = (b"Server-Leaving", b"1")


@pytest.fixture
def fleet():
    with running_fleet() as running:
        yield running


def start(fleet: HostFleet, **bounds: Any) -> None:
    fleet.start_host(**bounds)
    fleet.wait_ready()


class _HeaderAdder:
    """A responder that adds headers to the answer."""

    def __init__(self, responder: Responder, headers: list[tuple[bytes, bytes]]) -> None:
        self._responder = responder
        self._headers = headers

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self._responder.answer(status, [*headers, *self._headers], body)

    def begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self._responder.begin(status, [*headers, *self._headers])

    def __getattr__(self, name: str) -> Any:
        return getattr(self._responder, name)


def add_headers(behavior: Behavior, *headers: tuple[bytes, bytes]) -> Behavior:
    def behave(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        behavior(upstream, request, _HeaderAdder(responder, list(headers)))

    return behave


def call_often(fleet: HostFleet, path: str, count: int = 8) -> list[int]:
    return [fleet.call(path, attempt=f"c{number}").status for number in range(count)]


@pytest.mark.parametrize(
    ("path", "behavior"),
    [
        ("/lookup/x", harness.serve),
        ("/order/x", harness.serve),
        ("/short/x", harness.serve),
        ("/lookup/x", harness.refuse),
        ("/order/x", harness.fail),
        ("/order/x", harness.answer_unidentified),
    ],
)
def test_an_upstream_that_says_it_leaves_gets_no_further_requests(fleet, path, behavior) -> None:
    """The registry still lists the upstream as ready."""
    service = "engines" if path == "/short/x" else "archive"
    leaving = fleet.add_upstream("one", service=service, behavior=add_headers(behavior, LEAVING))
    start(fleet)
    fleet.call(path)
    fleet.add_upstream("two", service=service)
    fleet.run_for(1.3)
    assert call_often(fleet, path) == [200] * 8
    fleet.store.remove("servers", "two")
    fleet.run_for(1.3)
    assert call_often(fleet, path) == [503] * 8
    assert len(leaving.requests) == 1


def test_a_service_whose_upstreams_all_leave_refuses_as_not_run(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one", behavior=add_headers(harness.serve, LEAVING))
    start(fleet)
    assert fleet.call("/order/x").status == 200
    caller = fleet.call("/order/x", attempt="a2")
    assert (caller.status, caller.error["run"]) == (503, "not_run")
    assert len(upstream.requests) == 1


def test_a_leaving_upstream_is_remembered_while_its_entry_is_missing(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one", behavior=add_headers(harness.serve, LEAVING))
    start(fleet)
    assert fleet.call("/order/x").status == 200
    fleet.store.remove("servers", "one")
    fleet.run_for(1.2)
    assert not fleet.processes[0]._router.upstreams
    fleet.store.put("servers", "one", upstream.build_entry())
    fleet.run_for(1.2)
    assert fleet.processes[0]._router.upstreams
    assert fleet.call("/order/x", attempt="a2").status == 503


def test_a_new_incarnation_of_a_leaving_upstream_gets_requests(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one", behavior=add_headers(harness.serve, LEAVING))
    start(fleet)
    assert fleet.call("/order/x").status == 200
    upstream.behavior = harness.serve
    fleet.store.put("servers", "one", upstream.build_entry(born=2_000))
    fleet.run_for(1.2)
    assert fleet.call("/order/x", attempt="a2").status == 200


def test_a_misdirected_answer_says_nothing_about_the_intended_upstream(fleet: HostFleet) -> None:
    """A 421 comes from another upstream, which now has the address and may be leaving."""
    other = add_headers(harness.answer_misdirected, LEAVING)
    upstream = fleet.add_upstream("one", behavior=other)
    start(fleet)
    assert fleet.call("/order/x").status == 503
    upstream.behavior = harness.serve
    fleet.run_for(3.1)
    assert fleet.call("/order/x", attempt="a2").status == 200


def test_an_upstream_that_leaves_while_a_connection_opens_gets_no_request(
    fleet: HostFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its answer to one request arrives between the placement of another one and its sending."""
    one = fleet.add_upstream("one")
    two = fleet.add_upstream("two")
    start(fleet)
    host = fleet.processes[0]
    opened: list[ClientConnection] = []
    open_connection = host._pool.open

    def open_slowly(endpoint: Any, *, on_open: Any, on_failed: Any) -> None:
        def announce(connection: ClientConnection) -> None:
            if not opened:
                (instance,) = [
                    name
                    for name, each in fleet.upstreams.items()
                    if each.port.getHost().port == endpoint.port
                ]
                host._router.record_leaving(host._router.upstreams[instance].record.incarnation)
            opened.append(connection)
            on_open(connection)

        open_connection(endpoint, on_open=announce, on_failed=on_failed)

    monkeypatch.setattr(host._pool, "open", open_slowly)
    assert fleet.call("/order/x").status == 200
    assert len(opened) == 2
    assert len(one.requests) + len(two.requests) == 1
    (served,) = [each for each in (one, two) if each.requests]
    leaving = host._router.upstreams["two" if served is one else "one"]
    assert leaving.is_leaving


def test_only_a_limited_number_of_gone_upstreams_is_remembered() -> None:
    board = NoticeBoard()
    for number in range(MAX_REMEMBERED + 10):
        incarnation = build_upstream(number, service=ARCHIVE).incarnation
        board.get(incarnation).leaving = True
        board.forget_except({build_upstream(0).incarnation}, 0.0)
    assert len(board) == MAX_REMEMBERED + 1
    assert board.get(build_upstream(0).incarnation).leaving
    assert not board.get(build_upstream(1).incarnation).leaving
    assert board.get(build_upstream(MAX_REMEMBERED + 9).incarnation).leaving


def build_pause(pause_s: float) -> tuple[bytes, bytes]:
    return (b"Retry-After", b"%.3f" % pause_s)


@pytest.mark.parametrize(
    ("value", "pause_s"),
    [
        (b"2", 2.0),
        (b"0.25", 0.25),
        (b" 1.5 ", 1.5),
        (b"0.30000000000000004", 0.30000000000000004),
        (b"7200", 3_600.0),
        (b"9" * 300, 3_600.0),
        (b"9" * 400, None),
        (b"0", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1_0", None),
        (b"", None),
        (b"Fri, 31 Dec 1999 23:59:59 GMT", None),
    ],
)
def test_only_a_valid_time_is_a_pause(value: bytes, pause_s: float | None) -> None:
    assert read_pause_s(ResponseHead(status=503, headers=[(b"retry-after", value)])) == pause_s
    for status in (200, 421, 429, 500):
        head = ResponseHead(status=status, headers=[(b"retry-after", value)])
        assert read_pause_s(head) is None


@pytest.mark.parametrize(
    ("path", "behavior"),
    [
        ("/lookup/x", harness.refuse),
        ("/order/x", harness.refuse),
        ("/short/x", harness.refuse),
        ("/order/x", harness.refuse_without_proof),
    ],
)
def test_a_paused_upstream_gets_no_requests_until_the_pause_ends(fleet, path, behavior) -> None:
    service = "engines" if path == "/short/x" else "archive"
    paused = add_headers(behavior, build_pause(1.0))
    upstream = fleet.add_upstream("one", service=service, behavior=paused)
    start(fleet)
    began_s = fleet.reactor.seconds()
    fleet.call(path)
    upstream.behavior = harness.serve
    while fleet.reactor.seconds() < began_s + 0.9:
        caller = fleet.call(path, attempt=f"a{fleet.reactor.seconds()}")
        assert (caller.status, caller.error["run"]) == (503, "not_run")
        fleet.run_for(0.05)
    assert len(upstream.requests) == 1
    fleet.run_for(0.3)
    assert fleet.call(path, attempt="b1").status == 200


def test_a_request_refused_with_a_pause_is_sent_to_another_upstream(fleet: HostFleet) -> None:
    paused = fleet.add_upstream("one", behavior=add_headers(harness.refuse, build_pause(30.0)))
    start(fleet)
    fleet.call("/order/x")
    fleet.add_upstream("two")
    fleet.run_for(1.3)
    assert call_often(fleet, "/order/x") == [200] * 8
    assert len(paused.requests) == 1


@pytest.mark.parametrize("bounds", [{}, {"retry_ratio": 0.0, "retry_slack": 0.0}])
def test_a_refusal_during_a_pause_names_no_earlier_time(fleet, bounds) -> None:
    """With and without a budget to send the request to another upstream."""
    fleet.add_upstream("one", behavior=add_headers(harness.refuse, build_pause(0.62)))
    start(fleet, **bounds)
    for number in range(2):
        began_s = fleet.reactor.seconds()
        caller = fleet.call("/order/x", attempt=f"a{number}")
        assert caller.status == 503
        elapsed_s = fleet.reactor.seconds() - began_s
        assert float(caller.headers["retry-after"]) >= 0.62 - elapsed_s * (number + 1) - 0.02


def test_an_interrupted_stream_is_not_resumed_at_a_paused_upstream(fleet: HostFleet) -> None:
    paused = fleet.add_upstream(
        "one", service="engines", behavior=add_headers(harness.refuse, build_pause(30.0))
    )
    start(fleet)
    fleet.call("/short/x")
    fleet.add_upstream("two", service="engines", behavior=harness.abort_mid_stream)
    fleet.run_for(1.3)
    caller = fleet.call("/short/x", attempt="a2")
    assert caller.closed
    assert not caller.is_complete
    assert len(paused.requests) == 1


def exclude_as_unreachable(router: Router, name: str, now_s: float) -> None:
    router.record_end(
        build_job(99).attempt_id, InstanceId(name), AttemptEnd.UNREACHABLE, now_s=now_s
    )


@pytest.mark.parametrize("route", [LOOKUP, SHORT])
def test_a_pause_also_holds_where_no_other_upstream_is_healthy(route) -> None:
    router = build_router(engines=2, plain=0 if route is SHORT else 2)
    first, second = ("i-0", "i-1") if route is SHORT else ("i-100", "i-101")
    router.record_pause(router.upstreams[InstanceId(first)].record.incarnation, 2.0, 0.0)
    exclude_as_unreachable(router, second, 0.1)
    for number in range(20):
        placed = router.place(build_job(number, route=route, now_s=0.2), 0.2)
        assert isinstance(placed, Placement)
        assert placed.upstream.instance == second
    tried = frozenset({InstanceId(second)})
    assert isinstance(router.place(build_job(30, route=route, now_s=0.2), 0.2, tried), Refused)
    placed = router.place(build_job(31, route=route, now_s=2.1), 2.1, tried)
    assert isinstance(placed, Placement)
    assert placed.upstream.instance == first


def test_a_shorter_pause_does_not_end_a_longer_one() -> None:
    router = build_router(engines=0, plain=1)
    incarnation = router.upstreams[InstanceId("i-100")].record.incarnation
    assert router.record_pause(incarnation, 2.0, 0.0)
    assert not router.record_pause(incarnation, 0.1, 0.2)
    assert not router.accepts_requests(incarnation, 1.9)
    refused = router.place(build_job(1, route=LOOKUP, now_s=0.5), 0.5)
    assert isinstance(refused, Refused)
    assert refused.retry_after_s >= 1.5
    assert router.accepts_requests(incarnation, 2.0)


def test_a_pause_is_remembered_while_the_entry_is_missing() -> None:
    router = build_router(engines=0, plain=1)
    record = router.upstreams[InstanceId("i-100")].record
    router.record_pause(record.incarnation, 3.0, 0.0)
    router.update_upstreams([], 0.5)
    router.update_upstreams([record], 1.0)
    assert isinstance(router.place(build_job(1, route=LOOKUP, now_s=2.9), 2.9), Refused)
    assert isinstance(router.place(build_job(2, route=LOOKUP, now_s=3.0), 3.0), Placement)


def test_a_pause_does_not_change_the_split_of_the_engines_afterwards() -> None:
    """The engines are sorted while one of two is paused."""
    router = build_router(engines=2)
    router.record_pause(router.upstreams[InstanceId("i-0")].record.incarnation, 0.5, 0.0)
    assert isinstance(router.place(build_job(0), 0.0), Placement)
    used = {}
    for route in (SHORT, LONG):
        jobs = [build_job(number, route=route, now_s=0.6) for number in range(100, 110)]
        placed = [router.place(job, 0.6) for job in jobs]
        used[route.name] = {each.upstream.instance for each in placed}
    assert not used[SHORT.name] & used[LONG.name]
