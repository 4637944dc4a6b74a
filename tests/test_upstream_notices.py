"""Tests that a host obeys what upstreams state about further requests in their answers."""

from typing import Any

import pytest

from greengagestage.http1 import ClientConnection, IncomingRequest, Responder
from greengagestage.routing._notices import MAX_REMEMBERED, NoticeBoard

from . import host_harness as harness
from .catalog_builders import ARCHIVE, build_upstream
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
        board.forget_except({build_upstream(0).incarnation})
    assert len(board) == MAX_REMEMBERED + 1
    assert board.get(build_upstream(0).incarnation).leaving
    assert not board.get(build_upstream(1).incarnation).leaving
    assert board.get(build_upstream(MAX_REMEMBERED + 9).incarnation).leaving
