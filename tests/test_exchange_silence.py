"""Tests of the silence limits of an upstream exchange, on a simulated clock."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from greengagestage.policy import FailureKind
from greengagestage.upstream import Address, Exchange, OutboundRequest, SilenceLimits


class FakeConnection:
    """A fake connection that is also its own pool and transport."""

    def __init__(self) -> None:
        self.transport = self
        self.aborted = False

    def get(self, address: Address, *, fresh: bool) -> Deferred[Any]:
        return succeed(self)

    def request(self, request: OutboundRequest) -> Deferred[Any]:
        return Deferred()

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


class RecordingListener:
    """Records the events of the exchange."""

    def __init__(self) -> None:
        self.failures: list[FailureKind] = []
        self.silences = 0
        self.body = b""

    def receive_head(self, head: Any) -> None:
        pass

    def receive_body(self, data: bytes) -> None:
        self.body += data

    def end_body(self) -> None:
        pass

    def report_silence(self) -> None:
        self.silences += 1

    def fail(self, kind: FailureKind) -> None:
        self.failures.append(kind)


WAIT, BYTE, PAUSE, RESUME = "wait", "byte", "pause", "resume"

SCENARIOS = {
    "no first byte": ([(WAIT, 9.9)], [(WAIT, 0.2)], 1),
    "first byte, then nothing": ([(WAIT, 9.0), (BYTE, 0), (WAIT, 1.9)], [(WAIT, 0.2)], 1),
    "steady bytes": ([(BYTE, 0), (WAIT, 1.9)] * 20, [(WAIT, 0.2)], 1),
    "a pause does not count": (
        [(BYTE, 0), (PAUSE, 0), (WAIT, 60.0)],
        [(RESUME, 0), (WAIT, 4.1)],
        2,
    ),
    "resumed and steady": (
        [(BYTE, 0), (PAUSE, 0), (WAIT, 60.0), (RESUME, 0), (WAIT, 1.9), (BYTE, 0), (WAIT, 1.9)],
        [(WAIT, 4.1)],
        2,
    ),
}


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_silence_limits(scenario: str) -> None:
    steps_without_silence, steps_to_silence, silences = SCENARIOS[scenario]
    clock, connection, listener = Clock(), FakeConnection(), RecordingListener()
    exchange = build_exchange(clock, connection, listener)
    exchange.start()
    for step in steps_without_silence:
        run_step(exchange, clock, *step)
    assert listener.silences == 0
    for step in steps_to_silence:
        run_step(exchange, clock, *step)
    assert listener.silences == silences
    assert listener.failures == []
    assert not connection.aborted
    exchange.close()
    assert connection.aborted
    assert clock.getDelayedCalls() == []


# Guards against a silent upstream that is reported once and never replaced.
def test_silence_is_reported_again_while_it_lasts() -> None:
    clock, connection, listener = Clock(), FakeConnection(), RecordingListener()
    exchange = build_exchange(clock, connection, listener)
    exchange.start()
    clock.pump([0.1] * 301)
    assert (listener.silences, listener.failures) == (3, [])
    exchange.handle_body(b"x")
    clock.pump([0.1] * 41)
    assert (listener.silences, listener.failures) == (5, [])
    exchange.close()
    clock.pump([0.1] * 41)
    assert listener.silences == 5


def build_exchange(
    clock: Clock, connection: FakeConnection, listener: RecordingListener
) -> Exchange:
    return Exchange(
        reactor=clock,
        pool=connection,  # type: ignore[arg-type]
        address=Address(host="127.0.0.1", port=1),
        request=OutboundRequest(method=b"GET", target=b"/"),
        limits=SilenceLimits(first_byte_s=10.0, between_bytes_s=2.0),
        listener=listener,
    )


def run_step(exchange: Exchange, clock: Clock, kind: str, seconds: float) -> None:
    match kind:
        case "byte":
            exchange.handle_body(b"x")
        case "pause":
            exchange.pause()
        case "resume":
            exchange.resume()
        case _:
            clock.pump([0.1] * round(seconds * 10))
