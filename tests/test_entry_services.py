"""Plain services, and requests that may run once only."""

from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.configuration import PlainService
from greengagestage.entry import DeliveryLimits
from greengagestage.ids import ServiceName
from greengagestage.results import ResultCode

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
    TEXT,
    answer_then,
    answer_whole,
    chunked,
    refuse,
    respond,
    stream_events,
)

ORDER = "/services/bookings/orders?day=1"
ONCE = ("X-Idempotent: false", "Idempotency-Key: order-1")
LARGE = b"x" * 5_000


def get(path: str = ORDER, *headers: str, method: str = "GET") -> bytes:
    return build_request(None, *headers, method=method, path=path)


def order(key: str = "order-1", body: bytes = b"planks", *headers: str) -> bytes:
    return build_request(body, f"Idempotency-Key: {key}", *headers, path=ORDER)


def open_body(data: bytes, *end: object):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return lambda request: request.send(head, chunked(data), *end)


class ServiceCase(EntryCase):
    limits = DeliveryLimits(service_buffer_bytes=1_000, kept_answer_bytes=100_000)

    @inlineCallbacks
    def test_passes_calls_through(self):
        service = self.engine(respond(201, b"drawing", "Content-Type: image/x", "ETag: 7"))
        self.adopt(services=(service,))
        caller = yield self.call(get(ORDER, "Accept: image/x", "Connection: keep-alive"))
        (request,) = service.requests
        assert (request.method, request.target) == ("GET", "/orders?day=1")
        assert request.headers["accept"] == "image/x"
        assert "authorization" not in request.headers
        assert (caller.status, caller.body) == (201, b"drawing")
        assert (caller.headers["content-type"], caller.headers["etag"]) == ("image/x", "7")
        assert caller.headers["x-request-id"] == request.headers["x-request-id"]

    @inlineCallbacks
    def test_head_and_no_content(self):
        service = self.engine(lambda r: r.send(b"HTTP/1.1 204 X\r\n\r\n"))
        self.adopt(services=(service,))
        for method in ("HEAD", "GET"):
            caller = yield self.call(get(method=method))
            assert (caller.status, caller.body) == (204, b"")

    @inlineCallbacks
    def test_the_services_own_refusals_are_answers(self):
        self.adopt(services=(self.engine(respond(404, b"no such drawing")),))
        caller = yield self.call(get())
        assert (caller.status, caller.body) == (404, b"no such drawing")

    @inlineCallbacks
    def test_a_cut_small_answer_is_asked_for_elsewhere(self):
        bad = open_body(b"half", CLOSE)
        services = (self.engine(bad), self.engine(bad))
        services[1].scripts = services[0].scripts = [bad, respond(200, b"whole")]
        self.adopt(services=services)
        caller = yield self.call(get())
        assert (caller.status, caller.body) == (200, b"whole")

    @inlineCallbacks
    def test_a_large_answer_is_passed_through(self):
        service = self.engine(open_body(LARGE))
        self.adopt(services=(service,))
        caller = yield self.send(get())
        yield wait_until(lambda: len(caller.body) == len(LARGE))
        service.requests[0].send(chunked(b"end"), b"0\r\n\r\n")
        yield wait_until(lambda: caller.is_complete)
        assert caller.body == LARGE + b"end"

    @inlineCallbacks
    def test_a_large_cut_answer_never_looks_complete(self):
        self.adopt(services=(self.engine(open_body(LARGE, CLOSE)),))
        caller = yield self.send(get())
        yield wait_until(lambda: caller.closed)
        assert not caller.is_complete

    @inlineCallbacks
    def test_a_body_shorter_than_its_length_is_refused(self):
        short = b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf"
        self.adopt(services=(self.engine(lambda r: r.send(short, CLOSE)),))
        caller = yield self.call(order())
        assert caller.error["code"] == ResultCode.ANSWER_INCOMPLETE.value
        assert caller.error["run"] == "may_have_run"

    @inlineCallbacks
    def test_declared_methods_are_idempotent(self):
        service = self.engine(respond(200, b"done"))
        bookings = PlainService(name=ServiceName("bookings"), idempotent_methods=("GET", "PUT"))
        self.adopt(services=(service,), declared=(bookings,))
        caller = yield self.call(build_request(b"x", method="PUT", path=ORDER))
        assert caller.status == 200
        assert self.claims.rows == {}


class OnceCase(EntryCase):
    limits = DeliveryLimits(kept_answer_bytes=20_000, store_wait_s=0.2)

    @inlineCallbacks
    def test_a_resend_gets_the_same_answer(self):
        service = self.engine(respond(201, b"order 17", "Content-Type: text/x"))
        self.adopt(services=(service,))
        first = yield self.call(order())
        again = yield self.call(order())
        assert (first.status, first.body) == (again.status, again.body) == (201, b"order 17")
        assert again.headers["content-type"] == "text/x"
        assert len(service.requests) == 1
        assert service.requests[0].headers["idempotency-key"] == "order-1"

    @inlineCallbacks
    def test_a_completion_is_replayed_byte_for_byte_in_either_form(self):
        engine = self.engine(answer_whole)
        self.adopt(engine)
        streamed = yield self.call(build_request(prompt(), *ONCE))
        collected = yield self.call(build_request(prompt(stream=False), *ONCE))
        assert (streamed.text, len(engine.requests)) == (TEXT, 1)
        again = yield self.call(build_request(prompt(), *ONCE))
        assert again.body == streamed.body
        other = ("X-Idempotent: false", "Idempotency-Key: order-2")
        first = yield self.call(build_request(prompt(stream=False), *other))
        second = yield self.call(build_request(prompt(stream=False), *other))
        assert first.body == second.body
        assert first.json["choices"] == collected.json["choices"]
        assert len(engine.requests) == 2

    @inlineCallbacks
    def test_runs_on_without_its_caller(self):
        engine = self.engine(answer_then(2))
        self.adopt(engine)
        caller = yield self.send(build_request(prompt(), *ONCE))
        yield wait_until(lambda: len(caller.events) == 2)
        caller.transport.abortConnection()
        running = yield self.call(build_request(prompt(), *ONCE))
        assert running.error["code"] == ResultCode.STILL_RUNNING.value
        engine.requests[0].send(*map(chunked, stream_events(engine.requests[0])[2:]))
        yield wait_until(lambda: not self.process.shell.requests)
        again = yield self.call(build_request(prompt(), *ONCE))
        assert again.text == TEXT
        assert (len(engine.requests), engine.cancelled) == (1, [])

    @inlineCallbacks
    def test_runs_on_when_the_caller_leaves_before_the_first_token(self):
        engine = self.engine(answer_then(0))
        self.adopt(engine)
        caller = yield self.send(build_request(prompt(), *ONCE))
        yield wait_until(lambda: engine.requests)
        caller.transport.abortConnection()
        yield wait_until(lambda: not self.process._server.channels)
        engine.requests[0].send(*map(chunked, stream_events(engine.requests[0])))
        yield wait_until(lambda: not self.process.shell.requests)
        again = yield self.call(build_request(prompt(), *ONCE))
        assert (again.text, len(engine.requests)) == (TEXT, 1)

    @inlineCallbacks
    def test_a_large_order_is_passed_through_and_not_kept(self):
        service = self.engine(respond(200, b"x" * 30_000))
        self.adopt(services=(service,))
        first = yield self.call(order())
        again = yield self.call(order())
        assert (first.status, len(first.body)) == (200, 30_000)
        assert again.error["code"] == ResultCode.EARLIER_RUN_UNKNOWN.value
        assert len(service.requests) == 1

    @inlineCallbacks
    def test_a_lost_run_is_never_repeated(self):
        service, other = self.engine(lambda r: r.send(CLOSE)), self.engine(respond(200, b"x"))
        other.scripts = service.scripts
        self.adopt(services=(service, other))
        first = yield self.call(order())
        again = yield self.call(order())
        assert first.error["code"] == ResultCode.UPSTREAM_LOST.value
        assert again.error["code"] == ResultCode.EARLIER_RUN_UNKNOWN.value
        assert first.error["run"] == again.error["run"] == "may_have_run"
        assert len(service.requests) + len(other.requests) == 1

    @inlineCallbacks
    def test_a_refused_run_gives_its_claim_up(self):
        self.adopt(services=(self.engine(refuse),))
        caller = yield self.call(order())
        assert caller.error["run"] == "not_run"
        assert len(self.claims.given_up) == 1

    @inlineCallbacks
    def test_a_slow_store_delays_the_end_for_a_bounded_time(self):
        self.claims.recorded = Deferred()
        self.adopt(services=(self.engine(respond(200, b"done")),))
        caller = yield self.call(order())
        assert caller.body == b"done"
        self.claims.recorded.callback(False)

    @inlineCallbacks
    def test_an_answer_too_large_to_keep_is_delivered_and_not_repeated(self):
        self.adopt(self.engine(lambda r: long_answer(r)))
        first = yield self.call(build_request(prompt(), *ONCE))
        again = yield self.call(build_request(prompt(), *ONCE))
        assert first.body.endswith(b"data: [DONE]\n\n")
        assert again.error["code"] == ResultCode.EARLIER_RUN_UNKNOWN.value

    @inlineCallbacks
    def test_an_order_uses_a_new_connection(self):
        service = self.engine(respond(200, b"done"))
        self.adopt(services=(service,))
        yield self.call(get())
        assert len(service.connections) == 1
        yield self.call(order())
        assert len(service.connections) == 2


def long_answer(request) -> None:
    events = stream_events(request)
    many = [events[0]] * 200 + events[-2:]
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    request.send(head, *map(chunked, many), b"0\r\n\r\n")
