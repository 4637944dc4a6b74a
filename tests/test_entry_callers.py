"""Callers that disconnect or read slowly, and attempts that send data after their end."""

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
    build_body,
    build_request,
    wait_until,
)
from .scripted_upstreams import (
    CLOSE,
    HEAD,
    LAST_CHUNK,
    TEXT,
    answer_then,
    answer_whole,
    chunked,
    event,
    respond,
    stream_events,
)

LARGE_CHUNK = chunked(event({"id": "a", "choices": [{"text": "x" * 60_000, "token_ids": [1]}]}))

LARGE_END = chunked(
    event(
        {"id": "a", "choices": [{"text": "x" * 60_000, "token_ids": [1], "finish_reason": "stop"}]}
    )
    + b"data: [DONE]\n\n"
)


class DisconnectCase(EntryCase):
    @inlineCallbacks
    def test_a_disconnect_cancels_the_attempt_on_the_engine(self):
        for body in (build_body(), build_body(stream=False)):
            engine = self.start_upstream(answer_then(2))
            self.configure(engine, version=len(self.upstreams))
            caller = yield self.send(build_request(body))
            yield wait_until(lambda engine=engine: engine.requests)
            caller.transport.abortConnection()
            yield wait_until(lambda engine=engine: engine.cancelled)
            (request,) = engine.requests
            assert engine.cancelled == [request.headers["x-attempt-id"]]
            yield wait_until(lambda request=request: request.closed)
            assert self.process.shell.is_idle

    # Guards against work that goes on for callers that have closed their connection: until a write
    # fails, the process learns only that they send nothing more.
    @inlineCallbacks
    def test_a_caller_that_closes_its_sending_side_counts_as_gone(self):
        engine = self.start_upstream(answer_then(2))
        self.configure(engine)
        caller = yield self.send(build_request(build_body()))
        yield wait_until(lambda: engine.requests)
        caller.transport.loseWriteConnection()
        yield wait_until(lambda: engine.cancelled and self.process.shell.is_idle)

    @inlineCallbacks
    def test_a_disconnect_removes_a_queued_request(self):
        engine = self.start_upstream(answer_then(2))
        self.configure(engine)
        for _ in range(4):
            yield self.send(build_request(build_body()))
        yield wait_until(lambda: len(engine.requests) == 4)
        waiting = yield self.send(build_request(build_body()))
        yield wait_until(lambda: len(self.process.shell.requests) == 5)
        waiting.transport.loseConnection()
        yield wait_until(lambda: len(self.process.shell.requests) == 4)
        assert len(engine.requests) == 4

    @inlineCallbacks
    def test_a_disconnect_after_the_answer_cancels_nothing(self):
        engine = self.start_upstream(answer_whole)
        self.configure(engine)
        caller = yield self.call(build_request(build_body()))
        caller.transport.loseConnection()
        again = yield self.call(build_request(build_body()))
        assert again.status == 200
        assert engine.cancelled == []
        assert len(engine.connections) == 1


class SlowCallerCase(EntryCase):
    limits = DeliveryLimits(caller_stall_s=0.3)

    def build_policy(self):
        self.policy = SimplePolicy(upstreams=("engine-0", "engine-1"))
        return self.policy

    @inlineCallbacks
    def test_a_stalled_caller_pauses_the_upstream_and_is_disconnected(self):
        written = []

        def send_until_paused(request) -> None:
            request.send(HEAD)
            producer = ChunkProducer(request, written)
            request.transport.registerProducer(producer, True)
            producer.resumeProducing()

        self.configure(self.start_upstream(send_until_paused))
        caller = yield self.connect()
        caller.transport.pauseProducing()
        caller.transport.write(build_request(build_body()))
        yield wait_until(lambda: self.policy.find_events(CallerLeft))
        total = sum(written)
        assert total < 30_000_000
        assert self.policy.find_events(RequestArrived)
        yield wait_until(lambda: self.process.shell.is_idle)

    @inlineCallbacks
    def test_a_caller_that_resumes_reading_gets_the_complete_answer(self):
        engine = self.start_upstream(lambda r: r.send(HEAD, *[LARGE_CHUNK] * 200))
        self.configure(engine)
        caller = yield self.connect()
        caller.transport.pauseProducing()
        caller.transport.write(build_request(build_body()))
        (active,) = yield self.find_active()
        yield wait_until(lambda: active.is_stalled)
        caller.transport.resumeProducing()
        yield wait_until(lambda: len(caller.data) > 200 * 60_000)
        engine.requests[0].send(*map(chunked, stream_events(engine.requests[0])[-2:]))
        yield wait_until(lambda: caller.is_complete)
        assert caller.body.endswith(b"data: [DONE]\n\n")

    # Guards against a stall timer that outlives the answer whose last part filled the buffer.
    @inlineCallbacks
    def test_a_long_last_part_does_not_count_as_a_stall_later(self):
        engine = self.start_upstream(answer_then(2))
        self.configure(engine)
        caller = yield self.send(build_request(build_body()))
        (active,) = yield self.find_active()
        yield wait_until(lambda: len(caller.events) == 2)
        engine.requests[0].send(LARGE_END, LAST_CHUNK)
        yield wait_until(lambda: caller.is_complete)
        assert not active.is_stalled

    @inlineCallbacks
    def find_active(self):
        yield wait_until(lambda: self.process.shell.requests)
        return list(self.process.shell.requests)


class ChunkProducer:
    """A push producer that sends chunks until the transport pauses it."""

    def __init__(self, request, written) -> None:
        self.request = request
        self.written = written
        self.running = False

    def resumeProducing(self) -> None:  # noqa: N802
        self.running = True
        while self.running and sum(self.written) < 60_000_000:
            self.written.append(len(LARGE_CHUNK))
            self.request.send(LARGE_CHUNK)

    def pauseProducing(self) -> None:  # noqa: N802
        self.running = False

    def stopProducing(self) -> None:  # noqa: N802
        self.running = False


class ManyCallersCase(EntryCase):
    server = ServerLimits(connections=3)

    @inlineCallbacks
    def test_connections_above_the_limit_wait(self):
        self.configure(self.start_upstream(answer_whole))
        for _ in range(3):
            yield self.call(build_request(build_body()))
        waiting = yield self.send(build_request(build_body()))
        yield self.callers[0].transport.loseConnection()
        yield wait_until(lambda: waiting.is_complete)
        assert waiting.text == TEXT
        assert len(self.process._server.channels) == 3


class ConcurrentAnswersCase(EntryCase):
    def build_policy(self):
        self.policy = SimplePolicy(upstreams=("engine-0", "engine-1"))
        return self.policy

    @inlineCallbacks
    def test_a_preempted_attempt_delivers_nothing_more(self):
        first, second = self.start_upstream(answer_then(3)), self.start_upstream(answer_whole)
        self.configure(first, second)
        caller = yield self.send(build_request(build_body()))
        yield wait_until(lambda: len(caller.events) == 3)
        request_id = caller.headers["x-request-id"]
        cancel = CancelAttempt(attempt_id=f"{request_id}.0", reason=CancelReason.PREEMPTED)
        late = stream_events(first.requests[0])[3:]
        first.requests[0].send(*map(chunked, late))
        self.process.shell._execute(cancel)
        first.requests[0].send(*map(chunked, late))
        self.process.shell._execute(self.policy.dispatch(request_id, 1))
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

        self.configure(self.start_upstream(echo))
        callers = []
        for number in range(40):
            caller = yield self.send(build_request(build_body(prompt=f"<{number}>")))
            callers.append(caller)
        yield wait_until(lambda: all(caller.is_complete for caller in callers))
        assert [caller.text for caller in callers] == [f"<{n}>" * 3 for n in range(40)]


class ConnectionCase(EntryCase):
    def build_policy(self):
        self.policy = SimplePolicy(upstreams=("engine-0",))
        return self.policy

    @inlineCallbacks
    def test_a_connection_is_used_again_after_a_refusal(self):
        engine = self.start_upstream(respond(503, b"busy", "X-Not-Started: true"), answer_whole)
        self.configure(engine)
        yield self.call(build_request(build_body()))
        caller = yield self.call(build_request(build_body()))
        assert caller.text == TEXT
        assert len(engine.connections) == 1

    @inlineCallbacks
    def test_a_connection_that_the_upstream_closed_is_not_used_again(self):
        engine = self.start_upstream(answer_whole)
        self.configure(engine)
        yield self.call(build_request(build_body()))
        engine.connections[0].transport.loseConnection()
        caller = yield self.call(build_request(build_body()))
        assert caller.text == TEXT

    @inlineCallbacks
    def test_a_request_is_never_sent_twice_by_the_client(self):
        engine = self.start_upstream(answer_whole, lambda r: r.send(CLOSE))
        self.configure(engine)
        yield self.call(build_request(build_body()))
        caller = yield self.call(build_request(build_body()))
        assert caller.error["run"] == "may_have_run"
        assert len(engine.requests) == 2
