"""Silence of engines while they owe a part of an answer."""

from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks

from . import entry_harness
from .builders import build_class
from .entry_harness import EntryCase
from .raw_caller import build_body, build_request, wait_until
from .scripted_upstreams import HEAD, LAST_CHUNK, TEXT, chunked, refuse, stream_events

PAUSE_S = 2.6
"""Longer than the shortest time between tokens after which an engine counts as silent, 2.0 s."""


class SilentEngineCase(EntryCase):
    def setUp(self) -> None:
        super().setUp()
        self.timers: list[Any] = []
        self.addCleanup(lambda: [timer.cancel() for timer in self.timers if timer.active()])
        self.patch(
            entry_harness,
            "build_class",
            lambda name, priority: build_class(name, priority, inter_token_target_ms=20),
        )

    def pause_after_two_tokens(self, request) -> None:
        events = list(map(chunked, stream_events(request)))

        def complete() -> None:
            if not request.closed:
                request.send(*events[2:], LAST_CHUNK)

        request.send(HEAD, *events[:2])
        self.timers.append(reactor.callLater(PAUSE_S, complete))

    # Guards against an answer that is cut from its only engine because that engine pauses.
    @inlineCallbacks
    def test_an_answer_survives_a_pause_of_its_only_engine(self):
        self.configure(self.start_upstream(self.pause_after_two_tokens))
        caller = yield self.call(build_request(build_body()))
        assert caller.text == TEXT

    # Guards against an answer that is cut from a live engine before another one has taken it.
    @inlineCallbacks
    def test_an_answer_survives_a_pause_if_the_other_engine_is_full(self):
        first = self.start_upstream(self.pause_after_two_tokens)
        second = self.start_upstream(self.pause_after_two_tokens)
        self.configure(first, second)
        caller = yield self.send(build_request(build_body()))
        yield wait_until(lambda: first.requests or second.requests)
        (second if first.requests else first).scripts = [refuse]
        yield wait_until(lambda: caller.is_complete or caller.closed)
        assert caller.text == TEXT

    # Guards against a run that silence can only lose, because it must not be repeated.
    @inlineCallbacks
    def test_a_request_that_runs_once_survives_a_pause_of_its_engine(self):
        self.configure(*(self.start_upstream(self.pause_after_two_tokens) for _ in range(2)))
        request = build_request(build_body(), "X-Idempotent: false", "Idempotency-Key: k1")
        caller = yield self.call(request)
        assert caller.text == TEXT
