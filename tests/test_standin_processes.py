"""The stand-ins run as processes: their answers and injected faults, as clients see them."""

import http.client
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import msgspec
import pytest

from standins._engine import CRASH_EXIT_CODE
from standins._faults import Fault, FaultKind
from standins._fleet import PLATFORM, Fleet
from standins._fleet_shape import MODEL, build_cooperative_shape
from standins._ledger import RunOutcome
from standins._output import compute_output
from standins._platform_faults import PlatformFault, PlatformFaultKind, PlatformService
from standins._processes import wait_until
from standins._web_calls import UNREACHABLE_STATUS, send_request

pytestmark = pytest.mark.process
PROMPT = "explain the profile OUTPUT-TOKENS-12"
EXIT_TIMEOUT_S = 20.0


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(shape=build_cooperative_shape(), directory=tmp_path) as fleet:
        fleet.start_upstreams()
        yield fleet


def _send_completion(url: str, prompt: str, **fields: Any) -> tuple[int, bytes, bool]:
    """Send a completion; return status, body and whether the body was received completely."""
    parts = urlsplit(url)
    connection = http.client.HTTPConnection(str(parts.hostname), parts.port, timeout=20)
    body = {"model": MODEL, "prompt": prompt, "stream": True, **fields}
    headers = {"X-Attempt-Id": "attempt-1", "X-Request-Id": "request-1"}
    connection.request("POST", "/v1/completions", msgspec.json.encode(body), headers)
    response = connection.getresponse()
    received = b""
    try:
        while chunk := response.read1():
            received += chunk
    except (http.client.IncompleteRead, ConnectionError):
        return response.status, received, False
    return response.status, received, True


def _read_text(body: bytes) -> str:
    events = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: {")]
    return "".join(msgspec.json.decode(event)["choices"][0]["text"] for event in events)


def test_streamed_answer_matches_the_ledger(fleet: Fleet) -> None:
    status, body, ended = _send_completion(fleet.url("engine-1"), PROMPT)
    assert (status, ended) == (200, True)
    assert body.endswith(b"data: [DONE]\n\n")
    (run,) = fleet.read_ledger("engine-1")
    assert _read_text(body) == run.text == compute_output(PROMPT)
    assert run.outcome is RunOutcome.FINISHED


def test_cut_answer_has_no_end_marker_and_affects_only_counted_requests(fleet: Fleet) -> None:
    fleet.set_fault("engine-1", Fault(kind=FaultKind.CUT_AFTER, tokens=5, count=1))
    _, body, ended = _send_completion(fleet.url("engine-1"), PROMPT)
    assert not ended
    assert compute_output(PROMPT).startswith(_read_text(body))
    assert b"[DONE]" not in body.replace(b'" [DONE]"', b"")
    assert _send_completion(fleet.url("engine-1"), PROMPT)[2]
    outcomes = [run.outcome for run in fleet.read_ledger("engine-1")]
    assert outcomes == [RunOutcome.CUT, RunOutcome.FINISHED]


@pytest.mark.parametrize("kind", [FaultKind.REFUSE, FaultKind.LEAVING])
def test_refused_request_leaves_no_run_in_the_ledger(fleet: Fleet, kind: FaultKind) -> None:
    fleet.set_fault("engine-1", Fault(kind=kind))
    answer = send_request(
        "POST",
        f"{fleet.url('engine-1')}/v1/completions",
        {"model": MODEL, "prompt": PROMPT, "stream": True},
    )
    assert answer.status == 503
    assert (answer.headers or {})["X-Not-Started"] == "true"
    assert ("X-Leaving" in (answer.headers or {})) == (kind is FaultKind.LEAVING)
    assert fleet.read_ledger("engine-1") == []


def test_crash_prompt_ends_the_engine_and_its_ledger_survives(fleet: Fleet) -> None:
    with pytest.raises((http.client.HTTPException, ConnectionError)):
        status, _, ended = _send_completion(fleet.url("engine-1"), "CRASH-ENGINE")
        if not ended:
            raise http.client.IncompleteRead(b"")
    process = fleet.process("engine-1")
    wait_until(lambda: not process.running, "engine ended", EXIT_TIMEOUT_S)
    assert process.exit_code == CRASH_EXIT_CODE
    assert len(fleet.read_ledger("engine-1")) == 1
    address = fleet.url("engine-1")
    fleet.restart("engine-1")
    assert fleet.url("engine-1") == address
    assert _send_completion(address, PROMPT)[2]


def test_frozen_engine_answers_after_the_fault_is_cleared(fleet: Fleet) -> None:
    url = fleet.url("engine-1")
    fleet.set_fault("engine-1", Fault(kind=FaultKind.FREEZE))
    assert send_request("GET", f"{url}/load", timeout_s=0.3).status == UNREACHABLE_STATUS
    fleet.set_fault("engine-1", Fault())
    assert send_request("GET", f"{url}/load").status == 200


def test_silent_engine_runs_requests_without_sending_output(fleet: Fleet) -> None:
    url = fleet.url("engine-1")
    fleet.set_fault("engine-1", Fault(kind=FaultKind.SILENT))
    body = {"model": MODEL, "prompt": PROMPT, "stream": True}
    sent = send_request("POST", f"{url}/v1/completions", body, timeout_s=1.0)
    assert sent.status == UNREACHABLE_STATUS
    assert send_request("GET", f"{url}/healthz").status == 200
    assert len(fleet.read_ledger("engine-1")) == 1


def test_resume_continues_after_the_given_tokens(fleet: Fleet) -> None:
    _, body, _ = _send_completion(fleet.url("engine-1"), PROMPT)
    events = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: {")]
    token_ids = [i for e in events for i in msgspec.json.decode(e)["choices"][0]["token_ids"]]
    _, rest, _ = _send_completion(
        fleet.url("engine-2"), PROMPT, resume={"token_ids": token_ids[:7]}
    )
    (run,) = fleet.read_ledger("engine-2")
    assert run.text == compute_output(PROMPT)
    assert compute_output(PROMPT).endswith(_read_text(rest))
    assert (run.tokens, run.resumed_from) == (5, 7)


@pytest.mark.parametrize(("name", "refused"), [("engine-1", True), ("engine-3", False)])
def test_old_fencing_number_is_refused_or_ignored(fleet: Fleet, name: str, refused: bool) -> None:
    url = f"{fleet.url(name)}/orders/state"
    new, old = ({"models": [MODEL], "role": "mixed", "fencing_number": n} for n in (5, 4))
    assert send_request("PUT", url, new).status == 200
    assert send_request("PUT", url, old).status == (409 if refused else 200)
    state = send_request("GET", url).decode(dict)
    assert state["fencing_number"] == (5 if refused else 4)


def test_held_context_is_imported_and_gone_after_release(fleet: Fleet) -> None:
    source, target = fleet.url("engine-1"), fleet.url("engine-2")
    fleet.set_fault("engine-1", Fault(kind=FaultKind.SLOW, factor=50))
    parts = urlsplit(source)
    connection = http.client.HTTPConnection(str(parts.hostname), parts.port, timeout=20)
    body = {"model": MODEL, "prompt": PROMPT, "stream": True}
    headers = {"X-Attempt-Id": "held"}
    connection.request("POST", "/v1/completions", msgspec.json.encode(body), headers)
    connection.getresponse()
    export_request = {"attempt_id": "held", "hold_ms": 60_000}
    hold = send_request("POST", f"{source}/kv/export", export_request).decode(dict)
    imported = send_request(
        "POST", f"{target}/kv/import", {"handle": hold["handle"], "source": source}
    )
    assert imported.decode(dict)["tokens"] == hold["tokens"]
    assert send_request("DELETE", f"{source}/v1/attempts/held").status == 200
    assert send_request("POST", f"{source}/kv/export", export_request).status == 200
    assert send_request("DELETE", f"{source}/kv/{hold['handle']}").status == 200
    assert send_request("POST", f"{source}/kv/export", export_request).status == 404


def put_row(fleet: Fleet) -> int:
    """Create a row in the platform's store and return the response status."""
    row = {"Table": "t", "part": "", "Key": "k"}
    body = {
        "ExpectedRevision": [row | {"SchemaVersion": 0}],
        "Puts": [row | {"Value": "MQ=="}],
    }
    return send_request("POST", f"{fleet.url(PLATFORM)}/rows-tx", body).status


def read_values(fleet: Fleet) -> list[str]:
    """Return the values of the rows in the platform's store."""
    answer = send_request("GET", f"{fleet.url(PLATFORM)}/rows-get?Table=t&part=&From=k")
    return [row["Value"] for row in answer.decode(dict)["Rows"]]


def test_write_takes_effect_when_its_answer_is_lost(fleet: Fleet) -> None:
    lost = PlatformFault(service=PlatformService.TABLE, kind=PlatformFaultKind.ANSWER_LOST, count=1)
    fleet.set_fault(PLATFORM, lost)
    assert put_row(fleet) == UNREACHABLE_STATUS
    assert read_values(fleet) == ["MQ=="]
    assert put_row(fleet) == 412


def test_stale_table_returns_rows_from_before_the_fault(fleet: Fleet) -> None:
    stale = PlatformFault(service=PlatformService.TABLE, kind=PlatformFaultKind.STALE)
    fleet.set_fault(PLATFORM, stale)
    assert put_row(fleet) == 200
    assert read_values(fleet) == []
    none = PlatformFault(service=PlatformService.TABLE, kind=PlatformFaultKind.NONE)
    fleet.set_fault(PLATFORM, none)
    assert len(read_values(fleet)) == 1


def test_booking_is_in_the_ledger_with_its_idempotency_key(fleet: Fleet) -> None:
    answer = send_request(
        "POST", f"{fleet.url('booking-1')}/orders", {}, headers={"Idempotency-Key": "key-1"}
    )
    assert answer.status == 201
    (run,) = fleet.read_ledger("booking-1")
    assert (run.idempotency_key, run.outcome) == ("key-1", RunOutcome.FINISHED)
