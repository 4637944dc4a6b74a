"""Plain services, and non-idempotent requests, which run at most once."""

from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.configuration import PlainService
from greengagestage.entry import DeliveryLimits
from greengagestage.ids import ServiceName
from greengagestage.results import ResultCode

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
    TEXT,
    answer_then,
    answer_whole,
    chunked,
    refuse,
    respond,
    stream_events,
)

ORDER = "/services/bookings/orders?day=1"
NON_IDEMPOTENT = ("X-Idempotent: false", "Idempotency-Key: order-1")
LARGE = b"x" * 5_000


def build_get(path: str = ORDER, *headers: str, method: str = "GET") -> bytes:
    return build_request(None, *headers, method=method, path=path)


def build_order(key: str = "order-1", body: bytes = b"planks", *headers: str) -> bytes:
    return build_request(body, f"Idempotency-Key: {key}", *headers, path=ORDER)


def send_unfinished_body(data: bytes, *end: object):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return lambda request: request.send(head, chunked(data), *end)


class ServiceCase(EntryCase):
    limits = DeliveryLimits(service_buffer_bytes=1_000, kept_answer_bytes=100_000)

    @inlineCallbacks
    def test_requests_are_forwarded_without_credentials(self):
        service = self.start_upstream(respond(201, b"drawing", "Content-Type: image/x", "ETag: 7"))
        self.configure(services=(service,))
        caller = yield self.call(build_get(ORDER, "Accept: image/x", "Connection: keep-alive"))
        (request,) = service.requests
        assert (request.method, request.target) == ("GET", "/orders?day=1")
        assert request.headers["accept"] == "image/x"
        assert "authorization" not in request.headers
        assert (caller.status, caller.body) == (201, b"drawing")
        assert (caller.headers["content-type"], caller.headers["etag"]) == ("image/x", "7")
        assert caller.headers["x-request-id"] == request.headers["x-request-id"]

    @inlineCallbacks
    def test_answers_without_a_body_end_at_once(self):
        service = self.start_upstream(lambda r: r.send(b"HTTP/1.1 204 X\r\n\r\n"))
        self.configure(services=(service,))
        for method in ("HEAD", "GET"):
            caller = yield self.call(build_get(method=method))
            assert (caller.status, caller.body) == (204, b"")

    @inlineCallbacks
    def test_an_error_status_of_the_service_is_passed_through(self):
        self.configure(services=(self.start_upstream(respond(404, b"no such drawing")),))
        caller = yield self.call(build_get())
        assert (caller.status, caller.body) == (404, b"no such drawing")

    @inlineCallbacks
    def test_a_truncated_small_answer_is_retried(self):
        bad = send_unfinished_body(b"half", CLOSE)
        services = (self.start_upstream(bad), self.start_upstream(bad))
        services[1].scripts = services[0].scripts = [bad, respond(200, b"whole")]
        self.configure(services=services)
        caller = yield self.call(build_get())
        assert (caller.status, caller.body) == (200, b"whole")

    @inlineCallbacks
    def test_a_large_answer_is_passed_through(self):
        service = self.start_upstream(send_unfinished_body(LARGE))
        self.configure(services=(service,))
        caller = yield self.send(build_get())
        yield wait_until(lambda: len(caller.body) == len(LARGE))
        service.requests[0].send(chunked(b"end"), b"0\r\n\r\n")
        yield wait_until(lambda: caller.is_complete)
        assert caller.body == LARGE + b"end"

    @inlineCallbacks
    def test_a_truncated_large_answer_never_looks_complete(self):
        self.configure(services=(self.start_upstream(send_unfinished_body(LARGE, CLOSE)),))
        caller = yield self.send(build_get())
        yield wait_until(lambda: caller.closed)
        assert not caller.is_complete

    @inlineCallbacks
    def test_a_body_shorter_than_its_length_is_refused(self):
        short = b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf"
        self.configure(services=(self.start_upstream(lambda r: r.send(short, CLOSE)),))
        caller = yield self.call(build_order())
        assert caller.error["code"] == ResultCode.ANSWER_INCOMPLETE.value
        assert caller.error["run"] == "may_have_run"

    @inlineCallbacks
    def test_declared_methods_are_idempotent(self):
        service = self.start_upstream(respond(200, b"done"))
        bookings = PlainService(name=ServiceName("bookings"), idempotent_methods=("GET", "PUT"))
        self.configure(services=(service,), declared=(bookings,))
        caller = yield self.call(build_request(b"x", method="PUT", path=ORDER))
        assert caller.status == 200
        assert self.claims.rows == {}


class NonIdempotentCase(EntryCase):
    limits = DeliveryLimits(kept_answer_bytes=20_000, store_wait_s=0.2)

    @inlineCallbacks
    def test_a_retry_gets_the_same_answer(self):
        service = self.start_upstream(respond(201, b"order 17", "Content-Type: text/x"))
        self.configure(services=(service,))
        first = yield self.call(build_order())
        again = yield self.call(build_order())
        assert (first.status, first.body) == (again.status, again.body) == (201, b"order 17")
        assert again.headers["content-type"] == "text/x"
        assert len(service.requests) == 1
        assert service.requests[0].headers["idempotency-key"] == "order-1"

    @inlineCallbacks
    def test_a_completion_is_replayed_byte_for_byte_in_either_form(self):
        engine = self.start_upstream(answer_whole)
        self.configure(engine)
        streamed = yield self.call(build_request(build_body(), *NON_IDEMPOTENT))
        collected = yield self.call(build_request(build_body(stream=False), *NON_IDEMPOTENT))
        assert (streamed.text, len(engine.requests)) == (TEXT, 1)
        again = yield self.call(build_request(build_body(), *NON_IDEMPOTENT))
        assert again.body == streamed.body
        other = ("X-Idempotent: false", "Idempotency-Key: order-2")
        first = yield self.call(build_request(build_body(stream=False), *other))
        second = yield self.call(build_request(build_body(stream=False), *other))
        assert first.body == second.body
        assert first.json["choices"] == collected.json["choices"]
        assert len(engine.requests) == 2

    @inlineCallbacks
    def test_a_request_completes_after_its_caller_leaves(self):
        engine = self.start_upstream(answer_then(2))
        self.configure(engine)
        caller = yield self.send(build_request(build_body(), *NON_IDEMPOTENT))
        yield wait_until(lambda: len(caller.events) == 2)
        caller.transport.abortConnection()
        running = yield self.call(build_request(build_body(), *NON_IDEMPOTENT))
        assert running.error["code"] == ResultCode.STILL_RUNNING.value
        engine.requests[0].send(*map(chunked, stream_events(engine.requests[0])[2:]))
        yield wait_until(lambda: not self.process.shell.requests)
        again = yield self.call(build_request(build_body(), *NON_IDEMPOTENT))
        assert again.text == TEXT
        assert (len(engine.requests), engine.cancelled) == (1, [])

    @inlineCallbacks
    def test_a_request_completes_if_its_caller_leaves_before_the_first_token(self):
        engine = self.start_upstream(answer_then(0))
        self.configure(engine)
        caller = yield self.send(build_request(build_body(), *NON_IDEMPOTENT))
        yield wait_until(lambda: engine.requests)
        caller.transport.abortConnection()
        yield wait_until(lambda: not self.process._server.channels)
        engine.requests[0].send(*map(chunked, stream_events(engine.requests[0])))
        yield wait_until(lambda: not self.process.shell.requests)
        again = yield self.call(build_request(build_body(), *NON_IDEMPOTENT))
        assert (again.text, len(engine.requests)) == (TEXT, 1)

    @inlineCallbacks
    def test_a_large_answer_is_passed_through_and_not_stored(self):
        service = self.start_upstream(respond(200, b"x" * 30_000))
        self.configure(services=(service,))
        first = yield self.call(build_order())
        again = yield self.call(build_order())
        assert (first.status, len(first.body)) == (200, 30_000)
        assert again.error["code"] == ResultCode.EARLIER_RUN_UNKNOWN.value
        assert len(service.requests) == 1

    @inlineCallbacks
    def test_a_lost_request_is_never_repeated(self):
        service, other = (
            self.start_upstream(lambda r: r.send(CLOSE)),
            self.start_upstream(respond(200, b"x")),
        )
        other.scripts = service.scripts
        self.configure(services=(service, other))
        first = yield self.call(build_order())
        again = yield self.call(build_order())
        assert first.error["code"] == ResultCode.UPSTREAM_LOST.value
        assert again.error["code"] == ResultCode.EARLIER_RUN_UNKNOWN.value
        assert first.error["run"] == again.error["run"] == "may_have_run"
        assert len(service.requests) + len(other.requests) == 1

    @inlineCallbacks
    def test_a_refusal_follows_the_record_of_its_possible_run(self):
        """A resend right after the refusal must not be told that the first run goes on."""
        self.claims.marked = Deferred()
        self.configure(services=(self.start_upstream(lambda r: r.send(CLOSE)),))
        caller = yield self.send(build_order())
        yield wait_until(lambda: "unknown" in self.claims.rows.values())
        assert not self.process.shell.finisher.ended_records
        self.claims.marked.callback(None)
        yield wait_until(lambda: caller.is_complete)
        assert caller.error["code"] == ResultCode.UPSTREAM_LOST.value
        again = yield self.call(build_order())
        assert again.error["code"] == ResultCode.EARLIER_RUN_UNKNOWN.value

    @inlineCallbacks
    def test_a_silent_store_delays_a_refusal_for_a_bounded_time(self):
        self.claims.marked = Deferred()
        self.configure(services=(self.start_upstream(lambda r: r.send(CLOSE)),))
        caller = yield self.call(build_order())
        assert caller.error["code"] == ResultCode.UPSTREAM_LOST.value
        self.claims.marked.callback(None)

    @inlineCallbacks
    def test_a_refused_request_releases_its_claim(self):
        self.configure(services=(self.start_upstream(refuse),))
        caller = yield self.call(build_order())
        assert caller.error["run"] == "not_run"
        assert len(self.claims.released) == 1

    @inlineCallbacks
    def test_a_slow_store_delays_the_end_for_a_bounded_time(self):
        self.claims.recorded = Deferred()
        self.configure(services=(self.start_upstream(respond(200, b"done")),))
        caller = yield self.call(build_order())
        assert caller.body == b"done"
        self.claims.recorded.callback(False)

    @inlineCallbacks
    def test_an_answer_too_large_to_store_is_delivered_and_not_repeated(self):
        self.configure(self.start_upstream(lambda r: long_answer(r)))
        first = yield self.call(build_request(build_body(), *NON_IDEMPOTENT))
        again = yield self.call(build_request(build_body(), *NON_IDEMPOTENT))
        assert first.body.endswith(b"data: [DONE]\n\n")
        assert again.error["code"] == ResultCode.EARLIER_RUN_UNKNOWN.value

    @inlineCallbacks
    def test_an_order_uses_a_new_connection(self):
        service = self.start_upstream(respond(200, b"done"))
        self.configure(services=(service,))
        yield self.call(build_get())
        assert len(service.connections) == 1
        yield self.call(build_order())
        assert len(service.connections) == 2


def long_answer(request) -> None:
    events = stream_events(request)
    many = [events[0]] * 200 + events[-2:]
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    request.send(head, *map(chunked, many), b"0\r\n\r\n")
