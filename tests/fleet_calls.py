"""Calls and fleet shapes for tests over a fleet of real processes."""

import http.client
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

import msgspec

from greengagestage.configuration import LateAnswer
from greengagestage.results import ResultCode
from standins._fleet import Fleet
from standins._fleet_shape import MODEL, FleetShape, build_cooperative_shape, build_workspace_key
from standins._ledger import Run, RunOutcome
from standins._processes import wait_until

WORKSPACE = "gyor-gears"
BOOKINGS_PATH = "/services/booking/orders"
CALL_TIMEOUT_S = 30.0
SETTLE_TIMEOUT_S = 20.0


@dataclass(kw_only=True)
class Answer:
    """What a caller received.

    Attributes:
        is_complete: The answer ended properly: ``[DONE]`` for a stream, the full body otherwise.
        error: The error object, from the body or from an error event.
    """

    status: int
    text: str = ""
    body: bytes = b""
    is_complete: bool = False
    error: dict[str, Any] = field(default_factory=dict)
    retry_after: str | None = None
    request_id: str = ""

    @property
    def code(self) -> ResultCode:
        """Return the result code of the error, or ``DELIVERED``."""
        return ResultCode(self.error["code"]) if self.error else ResultCode.DELIVERED


class Stream:
    """A streamed completion that is being read."""

    def __init__(self, *, url: str, prompt: str, headers: dict[str, str] | None = None) -> None:
        self._connection = _connect(url)
        body = {"model": MODEL, "prompt": prompt, "stream": True}
        self._connection.request(
            "POST", "/v1/completions", json.dumps(body), _build_headers(headers)
        )
        self._response: http.client.HTTPResponse | None = None
        self.answer = Answer(status=0)

    def read_tokens(self, count: int) -> None:
        """Read until this many events with text have arrived."""
        for _ in range(count):
            if not self._read_event():
                return

    def read_rest(self) -> Answer:
        """Read to the end, whether or not the answer is complete."""
        try:
            while self._read_event():
                pass
        except (http.client.HTTPException, ConnectionError, TimeoutError):
            self.answer.is_complete = False
        self.close()
        return self.answer

    def close(self) -> None:
        """Close the connection, as a caller that gives up."""
        if self._response is not None:
            self._response.close()
        self._connection.close()

    def _open(self) -> http.client.HTTPResponse:
        if self._response is None:
            self._response = self._connection.getresponse()
            self.answer.status = self._response.status
            self.answer.request_id = self._response.headers.get("X-Request-Id", "")
            self.answer.retry_after = self._response.headers.get("Retry-After")
        return self._response

    def _read_event(self) -> bool:
        """Read one event; return whether more may follow."""
        response = self._open()
        if response.status != 200:
            if not self.answer.error:
                self.answer.error = json.loads(response.read())["error"]
            return False
        data, failed = b"", False
        while line := response.readline().rstrip(b"\r\n"):
            failed = failed or line == b"event: error"
            if line.startswith(b"data: "):
                data = line[6:]
        if not data:
            return False
        if data == b"[DONE]":
            self.answer.is_complete = True
            return False
        event = json.loads(data)
        if failed:
            self.answer.error = event["error"]
            return False
        self.answer.text += event["choices"][0].get("text", "") if event.get("choices") else ""
        return True


def send_completion(url: str, prompt: str, **headers: str) -> Answer:
    """Send a streamed completion and read all of it."""
    return Stream(url=url, prompt=prompt, headers=_build_header_names(headers)).read_rest()


class PendingCall:
    """A call that was sent and whose answer has not been read yet."""

    def __init__(
        self,
        *,
        url: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        self._connection = _connect(url)
        self._connection.request(method, path, body, _build_headers(headers))

    def read(self) -> Answer:
        """Read the answer; status 0 means that the connection was lost."""
        try:
            response = self._connection.getresponse()
            data = response.read()
        except (http.client.HTTPException, ConnectionError, TimeoutError):
            return Answer(status=0)
        finally:
            self._connection.close()
        answer = Answer(status=response.status, body=data, is_complete=200 <= response.status < 300)
        answer.retry_after = response.headers.get("Retry-After")
        if response.status >= 400 and b'"error"' in data:
            answer.error = json.loads(data)["error"]
        return answer

    def disconnect(self) -> None:
        """Close the connection, as a caller that gives up."""
        self._connection.close()


def call(url: str, method: str, path: str) -> Answer:
    """Send a call without a body and read its answer."""
    try:
        return PendingCall(url=url, method=method, path=path).read()
    except ConnectionError:
        return Answer(status=0)


def send_booking(
    url: str, key: str, order: str = "oak panels", **named_headers: str
) -> PendingCall:
    """Send a booking, which may not be repeated, under an idempotency key."""
    headers = {"Idempotency-Key": key, **named_headers}
    return PendingCall(
        url=url, method="POST", path=BOOKINGS_PATH, body=order.encode(), headers=headers
    )


def book(url: str, key: str, order: str = "oak panels") -> Answer:
    """Send a booking and read its answer."""
    return send_booking(url, key, order).read()


def count_runs(fleet: Fleet, key: str, service: str = "booking-1") -> int:
    """Count in the service's ledger how often an order ran."""
    return sum(run.idempotency_key == key for run in fleet.read_ledger(service))


def find_runs(fleet: Fleet, request_id: str) -> list[Run]:
    """Return the runs of a request at all engines."""
    return [run for run in fleet.read_engine_ledgers() if run.request_id == request_id]


def find_running_engine(fleet: Fleet, request_id: str, *, other_than: str = "") -> str:
    """Wait until an engine runs a request, and return the engine."""
    found: list[str] = []

    def is_found() -> bool:
        found.extend(
            engine.name
            for engine in fleet.shape.engines
            if engine.name != other_than
            for run in fleet.read_ledger(engine.name)
            if run.request_id == request_id and run.outcome is RunOutcome.RUNNING
        )
        return bool(found)

    wait_until(is_found, f"an engine runs {request_id}", SETTLE_TIMEOUT_S)
    return found[0]


def wait_for_run_to_end(fleet: Fleet, request_id: str) -> None:
    """Wait until no live engine runs a request."""

    def has_ended() -> bool:
        return not any(r.outcome is RunOutcome.RUNNING for r in find_runs(fleet, request_id))

    wait_until(has_ended, f"end of {request_id}", SETTLE_TIMEOUT_S)


def build_slow_shape(step_ms: int = 25) -> FleetShape:
    """Return a fleet shape with engines slow enough to inject faults mid-stream.

    Its targets are short, so that a silent upstream is found within seconds.
    """
    shape = build_cooperative_shape()
    options = ("--step-base-ms", str(step_ms), "--split-writes")
    engines = tuple(msgspec.structs.replace(e, options=options) for e in shape.engines)
    classes = tuple(
        msgspec.structs.replace(
            each,
            first_token_target_ms=500,
            inter_token_target_ms=100,
            answer_target_ms=60_000,
            late_answer=LateAnswer.USEFUL,
        )
        for each in shape.classes
    )
    return msgspec.structs.replace(
        shape, engines=engines, classes=classes, entry_options=("--drain-notice-s", "0.2")
    )


def _build_header_names(headers: dict[str, str]) -> dict[str, str]:
    return {name.replace("_", "-"): value for name, value in headers.items()}


def _connect(url: str) -> http.client.HTTPConnection:
    parts = urlsplit(url)
    return http.client.HTTPConnection(str(parts.hostname), parts.port, timeout=CALL_TIMEOUT_S)


def _build_headers(headers: dict[str, str] | None) -> dict[str, str]:
    common = {
        "Authorization": f"Bearer {build_workspace_key(WORKSPACE)}",
        "Content-Type": "application/json",
    }
    return common | (headers or {})
