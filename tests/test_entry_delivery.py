"""Answers are delivered completely, token by token, and without repetition."""

from twisted.internet.defer import inlineCallbacks

from .entry_harness import (
    EntryCase,
)
from .raw_caller import (
    build_body,
    build_request,
    wait_until,
)
from .scripted_upstreams import (
    HEAD,
    LAST_CHUNK,
    TEXT,
    answer_then,
    answer_whole,
    chunked,
    event,
    stream_events,
)

LARGE_CHUNK = chunked(event({"id": "a", "choices": [{"text": "x" * 60_000, "token_ids": [1]}]}))


class DeliveryCase(EntryCase):
    @inlineCallbacks
    def test_a_stream_is_delivered_token_by_token(self):
        engine = self.start_upstream(answer_then(2))
        self.configure(engine)
        caller = yield self.send(build_request(build_body()))
        yield wait_until(lambda: len(caller.events) == 2)
        upstream_request = engine.requests[0]
        rest = stream_events(upstream_request)[2:]
        for count, piece in enumerate(rest[:-2], start=3):
            upstream_request.send(chunked(piece))
            yield wait_until(lambda count=count: len(caller.events) == count)
        upstream_request.send(*map(chunked, rest[-2:]))
        yield wait_until(lambda: caller.is_complete)
        assert caller.body == b"".join(stream_events(upstream_request))
        assert caller.headers["content-type"].startswith("text/event-stream")
        assert caller.headers["x-request-id"] == upstream_request.headers["x-request-id"]

    @inlineCallbacks
    def test_a_collected_answer_is_one_json_body(self):
        self.configure(self.start_upstream(answer_whole))
        caller = yield self.call(build_request(build_body(stream=False)))
        assert caller.status == 200
        assert caller.json["choices"] == [{"index": 0, "text": TEXT, "finish_reason": "stop"}]
        assert caller.json["usage"]["completion_tokens"] == 7

    # Guards against answers that are kept until they are complete without being counted.
    @inlineCallbacks
    def test_a_collected_answer_is_counted_while_it_grows(self):
        engine = self.start_upstream(lambda r: r.send(HEAD, *[LARGE_CHUNK] * 20))
        self.configure(engine)
        caller = yield self.send(build_request(build_body(stream=False)))
        yield wait_until(lambda: self.held_bytes > 20 * 60_000)
        request = engine.requests[0]
        request.send(*map(chunked, stream_events(request)[-2:]), LAST_CHUNK)
        yield wait_until(lambda: caller.is_complete)
        yield wait_until(lambda: self.held_bytes == 0)

    @property
    def held_bytes(self):
        return sum(channel.held_bytes for channel in self.process._server.channels)
