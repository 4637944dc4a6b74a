"""Silence of engines and services while they owe a part of an answer."""

from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks

from greengagestage.entry import DeliveryLimits
from greengagestage.policy import _dispatching

from . import entry_harness
from .builders import build_class
from .entry_harness import EntryCase
from .raw_caller import build_body, build_request, wait_until
from .scripted_upstreams import (
    HEAD,
    LAST_CHUNK,
    TEXT,
    answer_then,
    answer_whole,
    chunked,
    refuse,
    stay_silent,
    stream_events,
)

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

    # Guards against a caller that waits for an engine that never goes on.
    @inlineCallbacks
    def test_another_engine_takes_over_an_answer_that_stays_silent(self):
        first, second, caller = yield self.start_two(answer_then(2), answer_whole)
        yield wait_until(lambda: caller.is_complete or caller.closed)
        assert caller.text == TEXT
        assert second.requests[0].json["resume"]["token_ids"] == [0, 1]
        yield wait_until(lambda: first.requests[0].closed)
        assert first.cancelled == [first.requests[0].headers["x-attempt-id"]]
        assert not second.cancelled

    # Guards against a second attempt that goes on beside the first one.
    @inlineCallbacks
    def test_the_second_attempt_is_cancelled_once_the_first_engine_goes_on(self):
        first, second, caller = yield self.start_two(self.pause_after_two_tokens, stay_silent)
        yield wait_until(lambda: caller.is_complete or caller.closed)
        assert caller.text == TEXT
        yield wait_until(lambda: second.requests[0].closed and second.cancelled)
        assert second.cancelled == [second.requests[0].headers["x-attempt-id"]]
        assert not first.cancelled

    @inlineCallbacks
    def start_two(self, first_script, second_script):
        """Send a request; the engine that gets it runs the first script, the other the second."""
        engines = [self.start_upstream(first_script) for _ in range(2)]
        self.configure(*engines)
        caller = yield self.send(build_request(build_body()))
        yield wait_until(lambda: engines[0].requests or engines[1].requests)
        first, second = engines if engines[0].requests else reversed(engines)
        second.scripts = [second_script]
        return first, second, caller

    # Guards against a run that must not be repeated and occupies a dead engine without an end.
    @inlineCallbacks
    def test_a_silent_request_that_runs_once_ends_at_its_deadline(self):
        engine = self.start_upstream(stay_silent)
        self.configure(engine)
        headers = "X-Idempotent: false", "Idempotency-Key: k1", "X-Deadline-Ms: 3000"
        caller = yield self.call(build_request(build_body(), *headers))
        assert caller.error["run"] == "may_have_run"
        assert len(engine.requests) == 1
        yield wait_until(lambda: engine.requests[0].closed)


class SilentServiceCase(EntryCase):
    limits = DeliveryLimits(service_buffer_bytes=1_000)

    def setUp(self) -> None:
        super().setUp()
        self.patch(_dispatching, "MINIMUM_SERVICE_TIMEOUT_S", 0.3)
        self.patch(
            entry_harness,
            "build_class",
            lambda name, priority: build_class(name, priority, answer_target_ms=300),
        )

    # Guards against an answer that mixes the bytes of two upstreams.
    @inlineCallbacks
    def test_a_service_that_goes_on_alone_completes_its_answer(self):
        paused, hanging, caller = yield self.start_two()
        paused.requests[0].send(chunked(b"b" * 900))
        yield wait_until(lambda: hanging.requests[0].closed)
        paused.requests[0].send(chunked(b"c" * 900), LAST_CHUNK)
        yield wait_until(lambda: caller.is_complete or caller.closed)
        assert caller.body == b"a" * 900 + b"b" * 900 + b"c" * 900

    @inlineCallbacks
    def test_a_service_that_answers_replaces_a_silent_one(self):
        paused, hanging, caller = yield self.start_two()
        hanging.requests[0].send(HEAD, chunked(b"d" * 2_000))
        yield wait_until(lambda: paused.requests[0].closed)
        hanging.requests[0].send(LAST_CHUNK)
        yield wait_until(lambda: caller.is_complete or caller.closed)
        assert caller.body == b"d" * 2_000

    @inlineCallbacks
    def start_two(self):
        """Start an answer at a service that falls silent, and wait for the second attempt."""
        services = [
            self.start_upstream(lambda request: request.send(HEAD, chunked(b"a" * 900)))
            for _ in range(2)
        ]
        self.configure(services=tuple(services))
        request = build_request(None, method="GET", path="/services/bookings/orders")
        caller = yield self.send(request)
        yield wait_until(lambda: services[0].requests or services[1].requests)
        first, second = services if services[0].requests else reversed(services)
        second.scripts = [stay_silent]
        yield wait_until(lambda: second.requests)
        return first, second, caller
