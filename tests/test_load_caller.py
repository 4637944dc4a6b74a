"""A caller of the load generator: whole answers, errors, coming back, giving up."""

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
END = b"data: [DONE]\n\n"


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


class _Setup:
    """A caller whose requests are answered by hand."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.urls: list[bytes] = []
        self.sent: list[Deferred[Any]] = []
        self.ended: list[RequestResult] = []
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
        caller.start(["http://a", "http://b"], self.ended.append)

    def request(self, _method: bytes, url: bytes, _headers: Headers, _body: Any) -> Any:
        self.urls.append(url)
        self.sent.append(Deferred())
        return self.sent[-1]

    def answer(self, code: int, body: bytes, *, whole: bool = True) -> None:
        response = _Response(code)
        self.sent[-1].callback(response)
        response.send(body, whole=whole)


@pytest.fixture
def setup(monkeypatch: pytest.MonkeyPatch) -> _Setup:
    clock = Clock()
    monkeypatch.setattr(_load_caller, "reactor", clock)
    return _Setup(clock)


def _build_events(text: str, finish_reason: str | None = "stop") -> bytes:
    choices = [{"delta": {"content": text}, "finish_reason": None}]
    last = [{"delta": {}, "finish_reason": finish_reason}]
    usage = {"completion_tokens": 2}
    events = [{"choices": choices}, {"choices": last, "usage": usage}]
    return b"".join(b"data: " + msgspec.json.encode(event) + b"\n\n" for event in events)


def _build_error(run: str, retry_after_s: float | None = None) -> bytes:
    error = {"code": 2001, "name": "QUEUE_FULL", "message": "", "run": run}
    return msgspec.json.encode({"error": {**error, "retry_after_s": retry_after_s}})


def test_an_answer_cut_at_every_byte_is_whole(setup: _Setup) -> None:
    setup.answer(200, _build_events(ANSWER) + END)
    (result,) = setup.ended
    assert (result.verdict, result.tokens, result.matches) == (Verdict.DELIVERED, 2, True)
    assert setup.clock.getDelayedCalls() == []


@pytest.mark.parametrize(
    ("body", "whole", "matches"),
    [
        (_build_events(ANSWER), True, True),
        (_build_events(ANSWER, None) + END, True, True),
        (_build_events(ANSWER) + END, False, True),
        (_build_events("gear") + END, True, True),
        (_build_events("shaft") + END, True, False),
    ],
    ids=["no end", "no finish reason", "connection lost", "too short", "foreign text"],
)
def test_anything_else_is_broken(setup: _Setup, body: bytes, whole: bool, matches: bool) -> None:
    setup.answer(200, body, whole=whole)
    setup.clock.advance(RESEND_AFTER_FAILURE_S)
    setup.answer(200, body, whole=whole)
    (result,) = setup.ended
    assert (result.verdict, result.matches) == (Verdict.BROKEN, matches)
    assert result.failures == 1


def test_an_error_event_after_the_first_byte_is_final(setup: _Setup) -> None:
    error = b"event: error\ndata: " + _build_error("may_have_run") + b"\n\n"
    setup.answer(200, _build_events("gear", None) + error)
    setup.clock.advance(RESEND_AFTER_FAILURE_S)
    setup.answer(200, _build_events("gear", None) + error)
    (result,) = setup.ended
    assert result.verdict is Verdict.MAY_HAVE_RUN


def test_a_refused_caller_comes_back_when_told_to_and_elsewhere(setup: _Setup) -> None:
    setup.answer(503, _build_error("not_run", 3.0))
    setup.clock.advance(2.9)
    assert len(setup.sent) == 1
    setup.clock.advance(0.2)
    setup.answer(200, _build_events(ANSWER) + END)
    (result,) = setup.ended
    assert (result.verdict, result.refusals) == (Verdict.DELIVERED, 1)
    assert [url.split(b"/v1")[0] for url in setup.urls] == [b"http://a", b"http://b"]


def test_a_refusal_without_a_time_is_final(setup: _Setup) -> None:
    setup.answer(422, _build_error("not_run"))
    (result,) = setup.ended
    assert (result.verdict, result.code) == (Verdict.NOT_RUN, 2001)


def test_a_caller_gives_up_while_it_waits_for_the_head(setup: _Setup) -> None:
    setup.clock.advance(GIVE_UP_S)
    (result,) = setup.ended
    assert result.verdict is Verdict.GAVE_UP


def test_a_caller_gives_up_in_the_middle_of_an_answer(setup: _Setup) -> None:
    setup.sent[-1].callback(_Response(200))
    setup.clock.advance(GIVE_UP_S)
    (result,) = setup.ended
    assert result.verdict is Verdict.GAVE_UP


def test_a_caller_does_not_come_back_after_it_gave_up(setup: _Setup) -> None:
    setup.answer(503, _build_error("not_run", GIVE_UP_S + 1))
    setup.clock.advance(GIVE_UP_S)
    (result,) = setup.ended
    assert result.verdict is Verdict.NOT_RUN
    assert setup.clock.getDelayedCalls() == []
