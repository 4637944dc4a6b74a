"""Failures of upstreams at any point, as reported to callers and to the policy."""

from twisted.internet.defer import inlineCallbacks

from greengagestage.entry import DeliveryLimits
from greengagestage.entry._deliveries import CompletionDelivery
from greengagestage.policy import AttemptFailed, AttemptProgressed, AttemptSilent, FailureKind
from greengagestage.results import ResultCode

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
    RESET,
    TEXT,
    WORDS,
    ScriptedUpstream,
    answer_then,
    answer_whole,
    chunked,
    event,
    finish_event,
    refuse,
    respond,
    stay_silent,
    stream_events,
    token_event,
)

END = chunked(b"data: [DONE]\n\n")
LEAVING = "X-Not-Started: true", "X-Leaving: true", "Retry-After: 7"

FAULTS = {
    "refused": (refuse, FailureKind.REFUSED),
    "not loaded": (respond(404, b"", "X-Not-Started: true"), FailureKind.REFUSED),
    "denied without evidence": (respond(503, b"{}", "Retry-After: 7"), FailureKind.ERROR),
    "not found without evidence": (respond(404, b"{}"), FailureKind.ERROR),
    "closed before the head": (lambda r: r.send(CLOSE), FailureKind.LOST),
    "reset before the head": (lambda r: r.send(RESET), FailureKind.LOST),
    "closed inside the head": (lambda r: r.send(HEAD[:30], CLOSE), FailureKind.LOST),
    "not HTTP": (lambda r: r.send(b"hello\r\n\r\n", CLOSE), FailureKind.LOST),
    "closed after the head": (answer_then(0, CLOSE), FailureKind.LOST),
    "closed after tokens": (answer_then(2, CLOSE), FailureKind.LOST),
    "reset after tokens": (answer_then(2, RESET), FailureKind.LOST),
    "ended without a finish": (answer_then(2, LAST_CHUNK), FailureKind.INCOMPLETE),
    "end marker without a finish": (answer_then(2, END), FailureKind.INCOMPLETE),
    "finish without end marker": (
        answer_then(2, chunked(finish_event()), LAST_CHUNK),
        FailureKind.INCOMPLETE,
    ),
    "broken chunk size": (answer_then(2, b"xyz\r\n"), FailureKind.LOST),
    "broken JSON": (answer_then(2, chunked(b"data: {\n\n")), FailureKind.ERROR),
    "error event": (answer_then(2, chunked(b"event: error\ndata: {}\n\n")), FailureKind.ERROR),
    "error field": (answer_then(2, chunked(event({"error": {"code": 1}}))), FailureKind.ERROR),
    "endless event": (answer_then(2, chunked(b"data: " + b"x" * 1_100_000)), FailureKind.ERROR),
}


SILENCES = {
    "silent before the head": stay_silent,
    "silent after the head": answer_then(0),
    "silent after tokens": answer_then(2),
}


class FaultCase(EntryCase):
    def build_policy(self):
        self.policy = SimplePolicy(upstreams=("engine-0",))
        return self.policy

    @inlineCallbacks
    def test_failure_kinds(self):
        for version, (name, (script, kind)) in enumerate(FAULTS.items(), start=1):
            engine = yield self.check_refused(name, script, version)
            failures = self.policy.find_events(AttemptFailed)
            assert (name, [f.kind for f in failures]) == (name, [kind, kind])
            assert all(f.resumable for f in failures)
            assert len(engine.requests) == 2, name

    # Guards against silence that ends an attempt before the policy has decided it.
    @inlineCallbacks
    def test_silence_is_reported_and_ends_only_what_the_policy_cancels(self):
        self.policy.set_timeouts(0.1)
        for version, (name, script) in enumerate(SILENCES.items(), start=1):
            engine = yield self.check_refused(name, script, version)
            silences = self.policy.find_events(AttemptSilent)
            assert (name, [s.resumable for s in silences]) == (name, [True, True])
            assert (name, self.policy.find_events(AttemptFailed)) == (name, [])
            assert len(engine.requests) == 2, name
            cancelled = [r.headers["x-attempt-id"] for r in engine.requests]
            yield wait_until(lambda e=engine, c=cancelled: sorted(e.cancelled) == sorted(c))
            yield wait_until(lambda e=engine: all(r.closed for r in e.requests))

    @inlineCallbacks
    def check_refused(self, name, script, version):
        """Check how callers are refused by an upstream with this script; return the upstream."""
        self.policy.events.clear()
        engine = self.start_upstream(script)
        self.configure(engine, version=version)
        for stream in (True, False):
            caller = yield self.call(build_request(build_body(stream=stream)))
            begun = stream and bool(self.policy.find_events(AttemptProgressed))
            assert (name, b"[DONE]" in caller.body) == (name, False)
            if begun:
                assert caller.events[-1].startswith("event: error\ndata: {"), name
                yield wait_until(lambda caller=caller: caller.closed)
            else:
                assert caller.error["code"] == ResultCode.UPSTREAM_LOST.value, name
        return engine

    @inlineCallbacks
    def test_an_unreachable_upstream_is_reported_as_not_sent(self):
        engine = self.start_upstream(answer_whole)
        self.configure(engine)
        yield engine.port.stopListening()
        yield self.call(build_request(build_body()))
        assert [f.kind for f in self.policy.find_events(AttemptFailed)] == [FailureKind.NOT_SENT]

    @inlineCallbacks
    def test_leaving_is_reported(self):
        self.configure(self.start_upstream(respond(503, b"", *LEAVING)))
        yield self.call(build_request(build_body()))
        (failure,) = self.policy.find_events(AttemptFailed)
        assert (failure.upstream_leaving, failure.retry_after_s) == (True, 7.0)
        assert "engine-0" in [getattr(message, "upstream", "") for message in self.link.sent]

    @inlineCallbacks
    def test_tokens_without_ids_cannot_be_resumed(self):
        anonymous = event({"id": "a", "choices": [{"text": "fog"}]})
        self.configure(self.start_upstream(lambda r: r.send(HEAD, chunked(anonymous), CLOSE)))
        caller = yield self.call(build_request(build_body()))
        assert [f.resumable for f in self.policy.find_events(AttemptFailed)] == [False]
        assert caller.events[-1].startswith("event: error")

    @inlineCallbacks
    def test_an_internal_error_is_not_reported_as_a_lost_upstream(self):
        self.configure(self.start_upstream(answer_whole))
        self.patch(CompletionDelivery, "add", lambda self, chunks: 1 / 0)
        caller = yield self.call(build_request(build_body()))
        assert caller.error["run"] == "may_have_run"
        assert [f.kind for f in self.policy.find_events(AttemptFailed)] == [FailureKind.ERROR]


class ConnectionLossCase(EntryCase):
    def build_policy(self):
        return SimplePolicy(upstreams=("engine-0", "engine-1"))

    def close_after(self, offset: int, end: object) -> ScriptedUpstream:
        def script(request) -> None:
            data = HEAD + b"".join(map(chunked, stream_events(request))) + LAST_CHUNK
            self.size = len(data)
            request.send(data[:offset], end)

        return script

    @inlineCallbacks
    def test_a_stream_resumes_after_a_loss_at_any_byte(self):
        first, second = self.start_upstream(answer_whole), self.start_upstream(answer_whole)
        self.configure(first, second)
        offset, self.size = 1, 2
        while offset < self.size:
            first.scripts = [self.close_after(offset, RESET if offset % 2 else CLOSE)]
            is_chat = offset % 3 == 0
            yield self.check_streamed(first, offset, is_chat)
            offset += 1
        assert len(second.requests) > 500

    @inlineCallbacks
    def check_streamed(self, first: ScriptedUpstream, offset: int, is_chat: bool):
        body = (
            build_body() if not is_chat else build_body(messages=[{"role": "user", "content": "x"}])
        )
        path = "/v1/chat/completions" if is_chat else "/v1/completions"
        caller = yield self.call(build_request(body, path=path))
        events = caller.events
        expected = stream_events(first.requests[-1])
        chunks = [x for x in events if x.startswith("data: {")]
        assert (offset, caller.status, events[-1]) == (offset, 200, "data: [DONE]")
        assert len(chunks) == len(WORDS) + 1, offset
        own_id = {x.split('"id": "')[1].split('"')[0] for x in chunks if '"id": "' in x}
        own_id |= {x.split('"id":"')[1].split('"')[0] for x in chunks if '"id":"' in x}
        assert len(own_id) == 1, offset
        spaced = [x.replace('": ', '":').replace(", ", ",") for x in chunks]
        wanted = [x.decode().strip().replace('": ', '":').replace(", ", ",") for x in expected[:-1]]
        texts = [x.split("choices", 1)[1] for x in spaced]
        assert texts == [x.split("choices", 1)[1] for x in wanted], offset
        caller.transport.loseConnection()

    @inlineCallbacks
    def test_a_collected_answer_resumes_after_a_loss_at_any_token(self):
        first, second = self.start_upstream(answer_whole), self.start_upstream(answer_whole)
        self.configure(first, second)
        for tokens in range(len(WORDS) + 1):
            first.scripts = [answer_then(tokens, CLOSE)]
            caller = yield self.call(build_request(build_body(stream=False)))
            assert caller.json["choices"][0]["text"] == TEXT
            resumed = second.requests[-1].json.get("resume", {"token_ids": []})
            assert resumed["token_ids"] == list(range(tokens))

    @inlineCallbacks
    def test_a_repeated_role_chunk_is_dropped(self):
        role = event({"id": "b", "choices": [{"delta": {"role": "assistant", "content": ""}}]})

        def resume(request) -> None:
            events = [role, *stream_events(request)]
            request.send(HEAD, *map(chunked, events), LAST_CHUNK)

        first = self.start_upstream(
            lambda r: r.send(HEAD, *map(chunked, [role, *stream_events(r)[:1]]), CLOSE)
        )
        self.configure(first, self.start_upstream(resume))
        body = {"model": "small", "stream": True, "messages": [{"role": "user", "content": "x"}]}
        caller = yield self.call(build_request(body, path="/v1/chat/completions"))
        assert sum('"role"' in x for x in caller.events) == 1
        assert token_event(0, "b", chat=True).decode().strip() not in caller.events[2:]


class InternalErrorCase(EntryCase):
    limits = DeliveryLimits(collected_answer_bytes=500)

    @inlineCallbacks
    def test_a_collected_answer_is_bounded(self):
        self.configure(self.start_upstream(answer_whole))
        collected = yield self.call(build_request(build_body(stream=False)))
        assert collected.error["code"] == ResultCode.UPSTREAM_ERROR.value
        streamed = yield self.call(build_request(build_body(prompt="other")))
        assert streamed.text == TEXT

    @inlineCallbacks
    def test_an_exception_in_the_policy_ends_the_request(self):
        self.configure(self.start_upstream(answer_whole))
        self.patch(self.process.shell.policy, "handle", lambda event, now_s: 1 / 0)
        caller = yield self.call(build_request(build_body()))
        assert caller.error["code"] == ResultCode.INTERNAL_ERROR.value
        assert self.process.shell.is_idle
