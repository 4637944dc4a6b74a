"""Each kind of invalid request gets its result code and does not reach an upstream."""

import json

from twisted.internet.defer import inlineCallbacks

from greengagestage.results import CODE_DETAILS, ResultCode

from .entry_harness import (
    EntryCase,
)
from .raw_caller import (
    KEY,
    build_body,
    build_request,
    wait_until,
)
from .scripted_upstreams import (
    answer_whole,
    refuse,
)

CHAT = "/v1/chat/completions"
MESSAGES = [{"role": "user", "content": "a gear"}]
LARGE = {"model": "small", "prompt": "x" * 20_000}


def chunked_request(body: bytes, *, end: bytes = b"0\r\n\r\n") -> bytes:
    head = f"POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}\r\n"
    pieces = [body[i : i + 1000] for i in range(0, len(body), 1000)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + end


BAD_REQUESTS = {
    "broken json": (build_request(b'{"model": "small"'), ResultCode.BROKEN_JSON),
    "not utf-8": (build_request(b'{"model": "\xff"}'), ResultCode.BROKEN_JSON),
    "half a surrogate pair": (
        build_request(b'{"model": "small", "prompt": "\\ud800"}'),
        ResultCode.BROKEN_JSON,
    ),
    "deep nesting": (build_request(b"[" * 9_000), ResultCode.BROKEN_JSON),
    "empty body": (build_request(), ResultCode.BROKEN_JSON),
    "body is a list": (build_request([1]), ResultCode.WRONG_TYPE),
    "stream is text": (build_request(build_body(stream="yes")), ResultCode.WRONG_TYPE),
    "prompt is a number": (build_request({"model": "small", "prompt": 1}), ResultCode.WRONG_TYPE),
    "empty prompt": (build_request({"model": "small", "prompt": ""}), ResultCode.WRONG_TYPE),
    "several answers": (build_request(build_body(n=2)), ResultCode.WRONG_TYPE),
    "negative limit": (build_request(build_body(max_tokens=-1)), ResultCode.WRONG_TYPE),
    "resume of a caller": (build_request(build_body(resume={})), ResultCode.WRONG_TYPE),
    "no prompt": (build_request({"model": "small"}), ResultCode.MISSING_FIELD),
    "no model": (build_request({"prompt": "x"}), ResultCode.MISSING_FIELD),
    "no messages": (build_request({"model": "small"}, path=CHAT), ResultCode.MISSING_FIELD),
    "message without role": (
        build_request({"model": "small", "messages": [{"content": "x"}]}, path=CHAT),
        ResultCode.MISSING_FIELD,
    ),
    "no messages in the list": (
        build_request({"model": "small", "messages": []}, path=CHAT),
        ResultCode.WRONG_TYPE,
    ),
    "oversize body": (build_request(LARGE), ResultCode.BODY_TOO_LARGE),
    "oversize chunked body": (
        chunked_request(json.dumps(LARGE).encode()),
        ResultCode.BODY_TOO_LARGE,
    ),
    "unending chunked body": (
        chunked_request(json.dumps(LARGE).encode(), end=b""),
        ResultCode.BODY_TOO_LARGE,
    ),
    "two keys": (
        build_request(build_body(), f"Authorization: Bearer {KEY}"),
        ResultCode.DUPLICATE_HEADER,
    ),
    "two classes": (
        build_request(build_body(), "X-Service-Class: phone", "X-Service-Class: phone"),
        ResultCode.DUPLICATE_HEADER,
    ),
    "two idempotency keys": (
        build_request(build_body(), "Idempotency-Key: a", "idempotency-key: a"),
        ResultCode.DUPLICATE_HEADER,
    ),
    "two lengths": (build_request(build_body(), "Content-Length: 3"), ResultCode.DUPLICATE_HEADER),
    "length and chunks": (
        build_request(build_body(), "Transfer-Encoding: chunked"),
        ResultCode.DUPLICATE_HEADER,
    ),
    "length is text": (
        build_request(build_body()).replace(b"Content-Length: ", b"Content-Length: a"),
        ResultCode.BAD_HEADER,
    ),
    "wrong scheme": (
        build_request(build_body(), "Authorization: Basic eA==", key=None),
        ResultCode.BAD_HEADER,
    ),
    "idempotent is maybe": (
        build_request(build_body(), "X-Idempotent: maybe"),
        ResultCode.BAD_HEADER,
    ),
    "deadline is text": (build_request(build_body(), "X-Deadline-Ms: soon"), ResultCode.BAD_HEADER),
    "deadline is zero": (build_request(build_body(), "X-Deadline-Ms: 0"), ResultCode.BAD_HEADER),
    "deadline is huge": (
        build_request(build_body(), f"X-Deadline-Ms: 1{'0' * 40}"),
        ResultCode.BAD_HEADER,
    ),
    "long idempotency key": (
        build_request(build_body(), "Idempotency-Key: " + "k" * 300),
        ResultCode.BAD_HEADER,
    ),
    "header is not ascii": (
        build_request(build_body()).replace(b"Host: h", b"X-Service-Class: \xc3\xa9"),
        ResultCode.BAD_HEADER,
    ),
    "malformed header": (
        build_request(build_body()).replace(b"Host: h", b"no colon here"),
        ResultCode.BAD_HEADER,
    ),
    "unknown class": (
        build_request(build_body(), "X-Service-Class: vip"),
        ResultCode.UNKNOWN_CLASS,
    ),
    "unknown model": (build_request(build_body(model="big")), ResultCode.UNKNOWN_MODEL),
    "no key": (build_request(build_body(), key=None), ResultCode.MISSING_CREDENTIALS),
    "unknown key": (build_request(build_body(), key="other"), ResultCode.UNKNOWN_CREDENTIALS),
    "unknown service": (
        build_request(method="GET", path="/services/nothing/x"),
        ResultCode.UNKNOWN_SERVICE,
    ),
    "no service": (build_request(method="GET", path="/services/"), ResultCode.UNKNOWN_PATH),
    "service without path": (
        build_request(method="GET", path="/services/bookings"),
        ResultCode.UNKNOWN_PATH,
    ),
    "unknown path": (build_request(build_body(), path="/v2/completions"), ResultCode.UNKNOWN_PATH),
    "wrong method": (build_request(method="GET"), ResultCode.METHOD_NOT_ALLOWED),
    "wrong method of a list": (
        build_request(build_body(), path="/v1/models"),
        ResultCode.METHOD_NOT_ALLOWED,
    ),
    # Guards against a tunnel that is answered at its deadline only.
    "tunnel to a service": (
        build_request(method="CONNECT", path="/services/bookings/x"),
        ResultCode.METHOD_NOT_ALLOWED,
    ),
    "tunnel": (build_request(method="CONNECT", path="h:443"), ResultCode.UNKNOWN_PATH),
    "trace of a service": (
        build_request(method="TRACE", path="/services/bookings/x"),
        ResultCode.METHOD_NOT_ALLOWED,
    ),
    "non-idempotent without key": (
        build_request(build_body(), "X-Idempotent: false"),
        ResultCode.IDEMPOTENCY_KEY_REQUIRED,
    ),
    "order without key": (
        build_request(b"x", path="/services/bookings/orders"),
        ResultCode.IDEMPOTENCY_KEY_REQUIRED,
    ),
}


class BadRequestCase(EntryCase):
    @inlineCallbacks
    def test_each_bad_request_gets_its_result_code(self):
        engine, service = self.start_upstream(answer_whole), self.start_upstream(answer_whole)
        self.configure(engine, services=(service,))
        for name, (data, code) in BAD_REQUESTS.items():
            caller = yield self.call(data)
            details = CODE_DETAILS[code]
            error = caller.error
            assert (name, error["code"], error["name"]) == (name, code.value, code.name)
            assert (name, caller.status) == (name, details.http_status)
            assert error["run"] == "not_run"
            assert error["message"].startswith(details.message)
            assert error["retry_after_s"] is None
            assert "retry-after" not in caller.headers
            assert caller.headers["x-request-id"].startswith("host-1-"), name
        assert engine.requests == service.requests == []

    @inlineCallbacks
    def test_a_connection_stays_usable_after_a_refusal(self):
        self.configure(self.start_upstream(answer_whole))
        caller = yield self.call(build_request(build_body(model="big")))
        caller.data = b""
        caller.transport.write(build_request(build_body()))
        yield wait_until(lambda: caller.is_complete)
        assert caller.status == 200

    @inlineCallbacks
    def test_requests_without_a_configuration_are_refused(self):
        caller = yield self.call(build_request(build_body()))
        assert caller.error["code"] == ResultCode.NOT_READY.value
        assert caller.headers["retry-after"] == "1"
        ready = yield self.call(build_request(method="GET", path="/readyz"))
        assert ready.status == 503
        alive = yield self.call(build_request(method="GET", path="/healthz"))
        assert alive.status == 200

    @inlineCallbacks
    def test_a_refusal_says_when_to_retry(self):
        self.configure(self.start_upstream(refuse))
        caller = yield self.call(build_request(build_body()))
        error = caller.error
        assert (error["run"], error["code"] // 1000) == ("not_run", 2)
        assert int(caller.headers["retry-after"]) >= error["retry_after_s"] > 0
        assert caller.headers["x-request-id"]


class StatusPathsCase(EntryCase):
    @inlineCallbacks
    def test_models_are_listed(self):
        self.configure(self.start_upstream(answer_whole))
        caller = yield self.call(build_request(method="GET", path="/v1/models"))
        assert [model["id"] for model in caller.json["data"]] == ["small"]

    @inlineCallbacks
    def test_metrics_count_codes_and_classes(self):
        self.configure(self.start_upstream(answer_whole))
        yield self.call(build_request(build_body()))
        yield self.call(build_request(build_body(model="big")))
        caller = yield self.call(build_request(method="GET", path="/metrics"))
        text = caller.body.decode()
        assert 'requests_total{class="phone",code="0",name="DELIVERED"} 1.0' in text
        assert 'code="1008",name="UNKNOWN_MODEL"} 1.0' in text
        assert 'first_token_by_class_seconds_count{class="phone"} 1.0' in text
        assert 'answer_by_workspace_seconds_count{workspace="gyor"} 1.0' in text

    @inlineCallbacks
    def test_readiness_depends_on_the_agent_but_requests_are_still_served(self):
        self.configure(self.start_upstream(answer_whole))
        ready = yield self.call(build_request(method="GET", path="/readyz"))
        assert ready.status == 200
        self.link.silence_s = self.times.agent_grace_s + 1
        silent = yield self.call(build_request(method="GET", path="/readyz"))
        assert silent.status == 503
        served = yield self.call(build_request(build_body()))
        assert served.status == 200
