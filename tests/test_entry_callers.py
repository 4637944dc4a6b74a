"""Callers that leave or read slowly, and attempts that speak after their end."""

from twisted.internet.defer import inlineCallbacks

from greengagestage.entry import DeliveryLimits, ServerLimits
from greengagestage.policy import CallerLeft, CancelAttempt, CancelReason, RequestArrived

from .entry_fakes import (
    SimplePolicy,
)
from .entry_harness import (
    EntryCase,
)
from .raw_caller import (
    build_request,
    prompt,
    wait_until,
)
from .scripted_upstreams import (
    CLOSE,
    HEAD,
    TEXT,
    answer_then,
    answer_whole,
    chunked,
    event,
    respond,
    stream_events,
)

PIECE = chunked(event({"id": "a", "choices": [{"text": "x" * 60_000, "token_ids": [1]}]}))


class LeavingCase(EntryCase):
    @inlineCallbacks
    def test_cancels_upstream_at_once(self):
        for body in (prompt(), prompt(stream=False)):
            engine = self.engine(answer_then(2))
            self.adopt(engine, version=len(self.upstreams))
            caller = yield self.send(build_request(body))
            yield wait_until(lambda engine=engine: engine.requests)
            caller.transport.abortConnection()
            yield wait_until(lambda engine=engine: engine.cancelled)
            (request,) = engine.requests
            assert engine.cancelled == [request.headers["x-attempt-id"]]
            yield wait_until(lambda request=request: request.closed)
            assert self.process.shell.is_idle

    @inlineCallbacks
    def test_while_queued(self):
        engine = self.engine(answer_then(2))
        self.adopt(engine)
        for _ in range(4):
            yield self.send(build_request(prompt()))
        yield wait_until(lambda: len(engine.requests) == 4)
        waiting = yield self.send(build_request(prompt()))
        yield wait_until(lambda: len(self.process.shell.requests) == 5)
        waiting.transport.loseConnection()
        yield wait_until(lambda: len(self.process.shell.requests) == 4)
        assert len(engine.requests) == 4

    @inlineCallbacks
    def test_a_finished_answer_is_not_cancelled(self):
        engine = self.engine(answer_whole)
        self.adopt(engine)
        caller = yield self.call(build_request(prompt()))
        caller.transport.loseConnection()
        again = yield self.call(build_request(prompt()))
        assert again.status == 200
        assert engine.cancelled == []
        assert len(engine.connections) == 1


class SlowCallerCase(EntryCase):
    limits = DeliveryLimits(caller_stall_s=0.3)

    def build_policy(self):
        self.policy = SimplePolicy(upstreams=("engine-0", "engine-1"))
        return self.policy

    @inlineCallbacks
    def test_pauses_the_upstream_and_ends_at_the_limit(self):
        written = []

        def flood(request) -> None:
            request.send(HEAD)
            producer = Flood(request, written)
            request.transport.registerProducer(producer, True)
            producer.resumeProducing()

        self.adopt(self.engine(flood))
        caller = yield self.connect()
        caller.transport.pauseProducing()
        caller.transport.write(build_request(prompt()))
        yield wait_until(lambda: self.policy.of(CallerLeft))
        total = sum(written)
        assert total < 30_000_000
        assert self.policy.of(RequestArrived)
        yield wait_until(lambda: self.process.shell.is_idle)

    @inlineCallbacks
    def test_a_caller_that_reads_on_gets_everything(self):
        engine = self.engine(lambda r: r.send(HEAD, *[PIECE] * 200))
        self.adopt(engine)
        caller = yield self.connect()
        caller.transport.pauseProducing()
        caller.transport.write(build_request(prompt()))
        (active,) = yield self.find_active()
        yield wait_until(lambda: active.is_stalled)
        caller.transport.resumeProducing()
        yield wait_until(lambda: len(caller.data) > 200 * 60_000)
        engine.requests[0].send(*map(chunked, stream_events(engine.requests[0])[-2:]))
        yield wait_until(lambda: caller.is_complete)
        assert caller.body.endswith(b"data: [DONE]\n\n")

    @inlineCallbacks
    def find_active(self):
        yield wait_until(lambda: self.process.shell.requests)
        return list(self.process.shell.requests)


class Flood:
    """Writes pieces for as long as the transport takes them."""

    def __init__(self, request, written) -> None:
        self.request = request
        self.written = written
        self.running = False

    def resumeProducing(self) -> None:  # noqa: N802
        self.running = True
        while self.running and sum(self.written) < 60_000_000:
            self.written.append(len(PIECE))
            self.request.send(PIECE)

    def pauseProducing(self) -> None:  # noqa: N802
        self.running = False

    def stopProducing(self) -> None:  # noqa: N802
        self.running = False


class ManyCallersCase(EntryCase):
    server = ServerLimits(connections=3)

    @inlineCallbacks
    def test_connections_above_the_limit_wait(self):
        self.adopt(self.engine(answer_whole))
        for _ in range(3):
            yield self.call(build_request(prompt()))
        waiting = yield self.send(build_request(prompt()))
        yield self.callers[0].transport.loseConnection()
        yield wait_until(lambda: waiting.is_complete)
        assert waiting.text == TEXT
        assert len(self.process._server.channels) == 3


class CrossedAnswersCase(EntryCase):
    def build_policy(self):
        self.policy = SimplePolicy(upstreams=("engine-0", "engine-1"))
        return self.policy

    @inlineCallbacks
    def test_a_preempted_attempt_is_heard_no_more(self):
        first, second = self.engine(answer_then(3)), self.engine(answer_whole)
        self.adopt(first, second)
        caller = yield self.send(build_request(prompt()))
        yield wait_until(lambda: len(caller.events) == 3)
        request_id = caller.headers["x-request-id"]
        cancel = CancelAttempt(attempt_id=f"{request_id}.0", reason=CancelReason.PREEMPTED)
        late = stream_events(first.requests[0])[3:]
        first.requests[0].send(*map(chunked, late))
        self.process.shell._carry_out(cancel)
        first.requests[0].send(*map(chunked, late))
        self.process.shell._carry_out(self.policy.dispatch(request_id, 1))
        yield wait_until(lambda: caller.is_complete)
        assert caller.text == TEXT
        assert second.requests[0].json["resume"] == {"token_ids": [0, 1, 2]}

    @inlineCallbacks
    def test_concurrent_answers_do_not_mix(self):
        def echo(request) -> None:
            text = request.json["prompt"] * 3
            choice = {"text": text, "token_ids": [1], "finish_reason": "stop"}
            request.send(HEAD, chunked(event({"id": "a", "choices": [choice]})))
            request.send(chunked(b"data: [DONE]\n\n"), b"0\r\n\r\n")

        self.adopt(self.engine(echo))
        callers = []
        for number in range(40):
            caller = yield self.send(build_request(prompt(prompt=f"<{number}>")))
            callers.append(caller)
        yield wait_until(lambda: all(caller.is_complete for caller in callers))
        assert [caller.text for caller in callers] == [f"<{n}>" * 3 for n in range(40)]


class ConnectionCase(EntryCase):
    def build_policy(self):
        self.policy = SimplePolicy(upstreams=("engine-0",))
        return self.policy

    @inlineCallbacks
    def test_a_connection_is_used_again_after_a_refusal(self):
        engine = self.engine(respond(503, b"busy", "X-Not-Started: true"), answer_whole)
        self.adopt(engine)
        yield self.call(build_request(prompt()))
        caller = yield self.call(build_request(prompt()))
        assert caller.text == TEXT
        assert len(engine.connections) == 1

    @inlineCallbacks
    def test_a_connection_that_the_upstream_closed_is_not_used_again(self):
        engine = self.engine(answer_whole)
        self.adopt(engine)
        yield self.call(build_request(prompt()))
        engine.connections[0].transport.loseConnection()
        caller = yield self.call(build_request(prompt()))
        assert caller.text == TEXT

    @inlineCallbacks
    def test_a_request_is_never_sent_twice_by_the_client(self):
        engine = self.engine(answer_whole, lambda r: r.send(CLOSE))
        self.adopt(engine)
        yield self.call(build_request(prompt()))
        caller = yield self.call(build_request(prompt()))
        assert caller.error["run"] == "may_have_run"
        assert len(engine.requests) == 2
