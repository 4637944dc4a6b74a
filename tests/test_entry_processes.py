"""Process tests: orders run at most once and streams stay complete while processes fail."""

import http.client
import signal
from collections.abc import Iterator
from pathlib import Path
from urllib.parse import urlsplit

import msgspec
import pytest

from greengagestage.results import ResultCode
from standins._faults import Fault, FaultKind
from standins._fleet import PLATFORM, Fleet
from standins._fleet_shape import (
    COOPERATIVE_WORKSPACES,
    MODEL,
    build_cooperative_shape,
    build_workspace_key,
)
from standins._ledger import Run, RunOutcome
from standins._output import compute_output
from standins._platform_faults import PlatformFault, PlatformFaultKind, PlatformService
from standins._processes import wait_until
from standins._web_calls import WebResponse, send_request

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("entry-fleet")]
KEY = build_workspace_key(next(iter(COOPERATIVE_WORKSPACES)))
LONG_PROMPT = "a long review of a gearbox OUTPUT-TOKENS-300"
WAIT_S = 30.0
FIRST_HOST, SECOND_HOST = "entry-host-1", "entry-host-2"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with start_fleet(tmp_path_factory.mktemp("entry-fleet")) as fleet:
        yield fleet


@pytest.fixture
def own_fleet(tmp_path: Path) -> Iterator[Fleet]:
    """A fleet of its own for a test that kills or stops processes."""
    with start_fleet(tmp_path) as fleet:
        yield fleet


def start_fleet(directory: Path) -> Fleet:
    fleet = Fleet(shape=build_cooperative_shape(), directory=directory)
    fleet.start()
    return fleet


def send_order(fleet: Fleet, entry: str, key: str, timeout_s: float = 20.0) -> WebResponse:
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
    url = f"{fleet.url(entry)}/services/booking/orders/{key}"
    return send_request("POST", url, {"planks": 3}, headers=headers, timeout_s=timeout_s)


def find_orders(fleet: Fleet, key: str) -> list[Run]:
    return [run for run in fleet.read_ledger("booking-1") if run.idempotency_key == key]


def read_code(answer: WebResponse) -> tuple[int, str]:
    error = msgspec.json.decode(answer.body)["error"]
    return error["code"], error["run"]


class StreamedAnswer:
    """An open streamed answer, read piece by piece."""

    def __init__(
        self, fleet: Fleet, entry: str, prompt: str, service_class: str = "review"
    ) -> None:
        parts = urlsplit(fleet.url(entry))
        self.prompt = prompt
        self.received = b""
        connection = http.client.HTTPConnection(str(parts.hostname), parts.port, timeout=WAIT_S)
        messages = [{"role": "user", "content": prompt}]
        body = {"model": MODEL, "messages": messages, "stream": True}
        headers = {"Authorization": f"Bearer {KEY}", "X-Service-Class": service_class}
        connection.request("POST", "/v1/chat/completions", msgspec.json.encode(body), headers)
        self.response = connection.getresponse()
        self.request_id = self.response.getheader("X-Request-Id")

    def read_some(self) -> None:
        while len(self.received) < 2_000:
            self.received += self.response.read1()

    def read_rest(self) -> None:
        while piece := self.response.read1():
            self.received += piece

    def check_complete(self) -> None:
        lines = self.received.decode().split("\n\n")
        chunks = [msgspec.json.decode(x[6:]) for x in lines if x.startswith("data: {")]
        text = "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)
        assert lines[-2] == "data: [DONE]"
        assert text == compute_output(f"user:{self.prompt}")
        assert len({chunk["id"] for chunk in chunks}) == 1

    def find_runs(self, fleet: Fleet) -> list[tuple[str, Run]]:
        return [
            (engine.name, run)
            for engine in fleet.shape.engines
            for run in fleet.read_ledger(engine.name)
            if run.request_id == self.request_id
        ]


def test_a_retry_through_another_host_gets_the_same_answer(fleet: Fleet) -> None:
    first, second = send_order(fleet, FIRST_HOST, "same"), send_order(fleet, SECOND_HOST, "same")
    assert (first.status, first.body) == (second.status, second.body)
    assert first.status == 201
    assert len(find_orders(fleet, "same")) == 1


@pytest.mark.parametrize("kind", [PlatformFaultKind.DOWN, PlatformFaultKind.SLOW])
def test_without_the_table_an_order_is_not_run(fleet: Fleet, kind: PlatformFaultKind) -> None:
    name = f"without-{kind.value}"
    table = PlatformService.TABLE
    fleet.set_fault(PLATFORM, PlatformFault(service=table, kind=kind, delay_ms=60_000))
    answer = send_order(fleet, FIRST_HOST, name)
    fleet.set_fault(PLATFORM, PlatformFault(service=table, kind=PlatformFaultKind.NONE))
    assert read_code(answer) == (ResultCode.CLAIM_STORE_UNAVAILABLE.value, "not_run")
    assert find_orders(fleet, name) == []


@pytest.mark.parametrize("count", [1, 2, 3, 4])
def test_lost_table_responses_never_run_an_order_twice(fleet: Fleet, count: int) -> None:
    name = f"lost-{count}"
    lost = PlatformFault(
        service=PlatformService.TABLE, kind=PlatformFaultKind.ANSWER_LOST, count=count
    )
    fleet.set_fault(PLATFORM, lost)
    answers = [send_order(fleet, entry, name) for entry in (FIRST_HOST, SECOND_HOST, FIRST_HOST)]
    none = PlatformFault(service=PlatformService.TABLE, kind=PlatformFaultKind.NONE)
    fleet.set_fault(PLATFORM, none)
    runs = find_orders(fleet, name)
    bodies = {answer.body for answer in answers if answer.status == 201}
    assert len(runs) <= 1
    assert len(bodies) <= 1
    assert bool(bodies) <= bool(runs)


def test_an_order_whose_answer_is_truncated_may_have_run(fleet: Fleet) -> None:
    fleet.set_fault("booking-1", Fault(kind=FaultKind.CUT_AFTER, tokens=5, count=1))
    first = send_order(fleet, FIRST_HOST, "cut")
    again = send_order(fleet, SECOND_HOST, "cut")
    assert read_code(first) == (ResultCode.ANSWER_INCOMPLETE.value, "may_have_run")
    assert read_code(again) == (ResultCode.EARLIER_RUN_UNKNOWN.value, "may_have_run")
    assert len(find_orders(fleet, "cut")) == 1


def test_a_caller_disconnect_cancels_the_engine_run(fleet: Fleet) -> None:
    stream = StreamedAnswer(fleet, FIRST_HOST, f"{LONG_PROMPT} that nobody waits for")
    stream.read_some()
    stream.response.close()
    ((engine, _),) = stream.find_runs(fleet)
    wait_until(
        lambda: stream.find_runs(fleet)[0][1].outcome is RunOutcome.CANCELLED,
        timeout_s=WAIT_S,
        description=f"{engine} has cancelled the run",
    )


def test_a_stream_resumes_after_its_engine_is_killed(own_fleet: Fleet) -> None:
    stream = StreamedAnswer(own_fleet, FIRST_HOST, f"{LONG_PROMPT} on an engine that dies")
    stream.read_some()
    ((engine, _),) = stream.find_runs(own_fleet)
    own_fleet.kill(engine)
    stream.read_rest()
    stream.check_complete()
    ((second, run),) = stream.find_runs(own_fleet)
    assert second != engine
    assert run.resumed_from > 0


def test_a_stream_resumes_after_its_engine_is_paused(own_fleet: Fleet) -> None:
    stream = StreamedAnswer(
        own_fleet, FIRST_HOST, f"{LONG_PROMPT} on an engine that stops", "summary"
    )
    stream.read_some()
    ((engine, _),) = stream.find_runs(own_fleet)
    own_fleet.pause(engine)
    stream.read_rest()
    own_fleet.resume(engine)
    stream.check_complete()


def test_an_order_of_a_killed_host_is_never_repeated(own_fleet: Fleet) -> None:
    own_fleet.set_fault("booking-1", Fault(kind=FaultKind.SILENT))
    send_order(own_fleet, FIRST_HOST, "killed", timeout_s=1.0)
    assert len(find_orders(own_fleet, "killed")) == 1
    own_fleet.kill(FIRST_HOST)
    own_fleet.set_fault("booking-1", Fault(kind=FaultKind.NONE))
    again = send_order(own_fleet, SECOND_HOST, "killed")
    assert read_code(again)[0] in (
        ResultCode.STILL_RUNNING.value,
        ResultCode.EARLIER_RUN_UNKNOWN.value,
    )
    own_fleet.restart(FIRST_HOST)
    own_fleet.wait_ready(FIRST_HOST)
    later = send_order(own_fleet, FIRST_HOST, "killed")
    assert read_code(later) == (ResultCode.EARLIER_RUN_UNKNOWN.value, "may_have_run")
    assert len(find_orders(own_fleet, "killed")) == 1


def test_a_planned_stop_interrupts_no_request(own_fleet: Fleet) -> None:
    streams = [
        StreamedAnswer(own_fleet, FIRST_HOST, f"{LONG_PROMPT} number {number}")
        for number in range(6)
    ]
    for stream in streams:
        stream.read_some()
    own_fleet.process(FIRST_HOST).send_signal(signal.SIGTERM)
    for stream in streams:
        stream.read_rest()
        stream.check_complete()
    assert own_fleet.process(FIRST_HOST).wait() == 0
