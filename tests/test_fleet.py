"""End-to-end tests of a fleet of processes: entries, agents, upstreams and the platform."""

import http.client
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from urllib.parse import urlsplit

import msgspec
import pytest

from examples.stream_answer import stream_answer
from standins._fleet import PLATFORM, Fleet
from standins._fleet_file import FleetFile
from standins._fleet_shape import (
    COOPERATIVE_WORKSPACES,
    MODEL,
    build_cooperative_shape,
    build_workspace_key,
)
from standins._ledger import Run
from standins._output import compute_output
from standins._processes import wait_until
from standins._web_calls import OK_STATUS, send_request

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("fleet")]
WORKSPACE = next(iter(COOPERATIVE_WORKSPACES))
QUESTION = "which profile suits a torque of 40 Nm OUTPUT-TOKENS-40"
START_TIMEOUT_S = 60.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with Fleet(
        shape=build_cooperative_shape(), directory=tmp_path_factory.mktemp("fleet")
    ) as fleet:
        fleet.start()
        yield fleet


def _send_chat(url: str, question: str) -> tuple[http.client.HTTPResponse, list[bytes]]:
    """Send a chat completion; return the response and the chunks of its body as received."""
    parts = urlsplit(url)
    connection = http.client.HTTPConnection(str(parts.hostname), parts.port, timeout=30)
    messages = [{"role": "user", "content": question}]
    body = msgspec.json.encode({"model": MODEL, "messages": messages, "stream": True})
    headers = {"Authorization": f"Bearer {build_workspace_key(WORKSPACE)}"}
    connection.request("POST", "/v1/chat/completions", body, headers)
    response = connection.getresponse()
    return response, list(iter(response.read1, b""))


def _read_text(chunks: list[bytes]) -> str:
    events = [line[6:] for line in b"".join(chunks).split(b"\n") if line.startswith(b"data: {")]
    choices = [choice for event in events for choice in msgspec.json.decode(event)["choices"]]
    return "".join(choice["delta"].get("content", "") for choice in choices)


def _find_runs(fleet: Fleet, request_id: str) -> list[Run]:
    return [run for run in fleet.read_engine_ledgers() if run.request_id == request_id]


@pytest.mark.parametrize("host", ["host-1", "host-2"])
def test_streamed_answer_matches_the_ledger(fleet: Fleet, host: str) -> None:
    response, chunks = _send_chat(fleet.url(f"entry-{host}"), f"{QUESTION} {host}")
    assert response.status == OK_STATUS
    assert len(chunks) > 1
    assert chunks[-1].endswith(b"data: [DONE]\n\n")
    (run,) = _find_runs(fleet, str(response.getheader("X-Request-Id")))
    assert _read_text(chunks) == run.text == compute_output(f"user:{QUESTION} {host}")


def test_example_client_reads_the_whole_answer(fleet: Fleet) -> None:
    url = fleet.url("entry-host-1")
    chunks = list(stream_answer(url, build_workspace_key(WORKSPACE), MODEL, QUESTION))
    assert "".join(chunks) == compute_output(f"user:{QUESTION}")


def test_document_is_served_by_the_archive(fleet: Fleet) -> None:
    answer = send_request(
        "GET",
        f"{fleet.url('entry-host-1')}/services/archive/drawings/7",
        headers={"Authorization": f"Bearer {build_workspace_key(WORKSPACE)}"},
    )
    assert answer.status == OK_STATUS
    (run,) = fleet.read_ledger("archive-1")
    assert run.text.encode() == answer.body


def test_booking_resent_through_the_other_host_runs_once(fleet: Fleet) -> None:
    headers = {
        "Authorization": f"Bearer {build_workspace_key(WORKSPACE)}",
        "Idempotency-Key": "order-7",
        "X-Service-Class": "summary",
    }
    first, second = (
        send_request("POST", f"{url}/services/booking/orders", {"item": 7}, headers=headers)
        for url in fleet.entry_urls()
    )
    assert (first.status, second.status) == (201, 201)
    assert first.body == second.body
    runs = fleet.read_ledger("booking-1")
    assert [run.idempotency_key for run in runs] == ["order-7"]


def test_entries_keep_serving_without_the_platform(fleet: Fleet) -> None:
    fleet.kill(PLATFORM)
    for number, url in enumerate(fleet.entry_urls()):
        response, chunks = _send_chat(url, f"{QUESTION} without the platform {number}")
        assert response.status == OK_STATUS
        assert chunks[-1].endswith(b"data: [DONE]\n\n")
        assert send_request("GET", f"{url}/readyz").status == OK_STATUS


def test_serve_describes_the_fleet_and_stops_it_gracefully(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "standins.fleet", "serve", "--directory", str(tmp_path)]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
    description = tmp_path / "fleet.json"
    try:
        wait_until(description.exists, "fleet.json", START_TIMEOUT_S)
        fleet_file = msgspec.json.decode(description.read_bytes(), type=FleetFile)
        assert [len(fleet_file.entries), len(fleet_file.agents), len(fleet_file.upstreams)] == [
            2,
            2,
            5,
        ]
        assert fleet_file.classes == ["phone", "summary", "review"]
        for entry in fleet_file.entries:
            assert send_request("GET", f"{entry.url}/readyz").status == OK_STATUS
    finally:
        process.send_signal(signal.SIGTERM)
        code = process.wait(START_TIMEOUT_S)
    assert code == 0
    assert not description.exists()
    pids = [
        described_process.pid
        for described_process in (*fleet_file.entries, *fleet_file.agents, *fleet_file.upstreams)
    ]
    assert not any(_is_running(pid) for pid in [*pids, fleet_file.platform.pid])


def test_crashing_request_costs_two_engines_once_hosts_share_the_report(tmp_path: Path) -> None:
    with Fleet(shape=build_cooperative_shape(), directory=tmp_path) as fleet:
        fleet.start()
        first, second = fleet.entry_urls()
        assert _send_chat(first, "CRASH-ENGINE")[0].status == 502
        fleet.wait_metric("agent-host-2", "greengage_agent_quarantined", 1)
        assert _read_text(_send_chat(second, QUESTION)[1]) == compute_output(f"user:{QUESTION}")
        for url in (second, first, second):
            response, chunks = _send_chat(url, "CRASH-ENGINE")
            error = msgspec.json.decode(b"".join(chunks))["error"]
            assert (response.status, error["name"]) == (422, "QUARANTINED")
        running = [fleet.process(engine.name).running for engine in fleet.shape.engines]
        assert running.count(False) == 2
        _, chunks = _send_chat(second, QUESTION)
        assert _read_text(chunks) == compute_output(f"user:{QUESTION}")


def _is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True
