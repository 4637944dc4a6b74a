"""A caller of the load generator: complete answers, errors, resends and giving up."""

from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from standins import _load_caller
from standins._load_caller import RESEND_AFTER_FAILURE_S, Caller
from standins._load_plan import PlannedRequest
from standins._load_results import RequestResult, Verdict

ANSWER = "gear 齿轮"
GIVE_UP_S = 10.0
DONE_EVENT = b"data: [DONE]\n\n"


class _Response:
    def __init__(self, code: int) -> None:
        self.code = code
        self.headers = Headers({"X-Request-Id": ["r1"]})

    def deliverBody(self, reader: Any) -> None:  # noqa: N802
        self.reader = reader
        reader.transport = self

    def loseConnection(self) -> None:  # noqa: N802
        self.reader.connectionLost(Failure(ConnectionDone()))

    def send(self, body: bytes, *, whole: bool = True) -> None:
        for position in range(len(body)):
            self.reader.dataReceived(body[position : position + 1])
        self.reader.connectionLost(Failure(ResponseDone() if whole else ConnectionDone()))


class _CallerHarness:
    """A caller whose requests the test answers."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.urls: list[bytes] = []
        self.sent: list[Deferred[Any]] = []
        self.results: list[RequestResult] = []
        planned = PlannedRequest(
            index=0,
            at_s=0.0,
            workspace="w",
            key="k",
            service_class="c",
            method="POST",
            path="/v1/chat/completions",
            body="{}",
            expected=ANSWER,
            give_up_s=GIVE_UP_S,
            resends=1,
        )
        result = RequestResult(index=0, workspace="w", service_class="c", completion=True, at_s=0.0)
        caller = Caller(planned=planned, result=result, due_s=0.0, agent=self)
        caller.start(["http://a", "http://b"], self.results.append)

    def request(self, _method: bytes, url: bytes, _headers: Headers, _body: Any) -> Any:
        self.urls.append(url)
        self.sent.append(Deferred())
        return self.sent[-1]

    def answer(self, code: int, body: bytes, *, whole: bool = True) -> None:
        response = _Response(code)
        self.sent[-1].callback(response)
        response.send(body, whole=whole)


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> _CallerHarness:
    clock = Clock()
    monkeypatch.setattr(_load_caller, "reactor", clock)
    return _CallerHarness(clock)


def _build_events(text: str, finish_reason: str | None = "stop") -> bytes:
    choices = [{"delta": {"content": text}, "finish_reason": None}]
    last = [{"delta": {}, "finish_reason": finish_reason}]
    usage = {"completion_tokens": 2}
    events = [{"choices": choices}, {"choices": last, "usage": usage}]
    return b"".join(b"data: " + msgspec.json.encode(event) + b"\n\n" for event in events)


def _build_error(run: str, retry_after_s: float | None = None) -> bytes:
    error = {"code": 2001, "name": "QUEUE_FULL", "message": "", "run": run}
    return msgspec.json.encode({"error": {**error, "retry_after_s": retry_after_s}})


def test_answer_received_byte_by_byte_is_delivered(harness: _CallerHarness) -> None:
    harness.answer(200, _build_events(ANSWER) + DONE_EVENT)
    (result,) = harness.results
    assert (result.verdict, result.tokens, result.matches) == (Verdict.DELIVERED, 2, True)
    assert harness.clock.getDelayedCalls() == []


@pytest.mark.parametrize(
    ("body", "whole", "matches"),
    [
        (_build_events(ANSWER), True, True),
        (_build_events(ANSWER, None) + DONE_EVENT, True, True),
        (_build_events(ANSWER) + DONE_EVENT, False, True),
        (_build_events("gear") + DONE_EVENT, True, True),
        (_build_events("shaft") + DONE_EVENT, True, False),
    ],
    ids=["no end", "no finish reason", "connection lost", "too short", "foreign text"],
)
def test_incomplete_or_wrong_answer_is_broken(
    harness: _CallerHarness, body: bytes, whole: bool, matches: bool
) -> None:
    harness.answer(200, body, whole=whole)
    harness.clock.advance(RESEND_AFTER_FAILURE_S)
    harness.answer(200, body, whole=whole)
    (result,) = harness.results
    assert (result.verdict, result.matches) == (Verdict.BROKEN, matches)
    assert result.failures == 1


def test_error_event_after_the_first_token_sets_the_final_verdict(harness: _CallerHarness) -> None:
    error = b"event: error\ndata: " + _build_error("may_have_run") + b"\n\n"
    harness.answer(200, _build_events("gear", None) + error)
    harness.clock.advance(RESEND_AFTER_FAILURE_S)
    harness.answer(200, _build_events("gear", None) + error)
    (result,) = harness.results
    assert result.verdict is Verdict.MAY_HAVE_RUN


def test_refused_caller_resends_to_the_next_entry_after_the_retry_time(
    harness: _CallerHarness,
) -> None:
    harness.answer(503, _build_error("not_run", 3.0))
    harness.clock.advance(2.9)
    assert len(harness.sent) == 1
    harness.clock.advance(0.2)
    harness.answer(200, _build_events(ANSWER) + DONE_EVENT)
    (result,) = harness.results
    assert (result.verdict, result.refusals) == (Verdict.DELIVERED, 1)
    assert [url.split(b"/v1")[0] for url in harness.urls] == [b"http://a", b"http://b"]


def test_refusal_without_a_retry_time_is_final(harness: _CallerHarness) -> None:
    harness.answer(422, _build_error("not_run"))
    (result,) = harness.results
    assert (result.verdict, result.code) == (Verdict.NOT_RUN, 2001)


def test_caller_gives_up_while_waiting_for_the_headers(harness: _CallerHarness) -> None:
    harness.clock.advance(GIVE_UP_S)
    (result,) = harness.results
    assert result.verdict is Verdict.GAVE_UP


def test_caller_gives_up_in_the_middle_of_an_answer(harness: _CallerHarness) -> None:
    harness.sent[-1].callback(_Response(200))
    harness.clock.advance(GIVE_UP_S)
    (result,) = harness.results
    assert result.verdict is Verdict.GAVE_UP


def test_caller_does_not_resend_after_giving_up(harness: _CallerHarness) -> None:
    harness.answer(503, _build_error("not_run", GIVE_UP_S + 1))
    harness.clock.advance(GIVE_UP_S)
    (result,) = harness.results
    assert result.verdict is Verdict.NOT_RUN
    assert harness.clock.getDelayedCalls() == []
