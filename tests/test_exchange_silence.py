"""When an exchange counts its upstream as silent, on a clock that the test moves."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from greengagestage.policy import FailureKind
from greengagestage.upstream import Address, Exchange, OutboundRequest, SilenceLimits


class FakeConnection:
    """Stands for a connection, its pool and its transport."""

    def __init__(self) -> None:
        self.transport = self
        self.aborted = False

    def get(self, address: Address, *, fresh: bool) -> Deferred[Any]:
        return succeed(self)

    def request(self, request: OutboundRequest) -> Deferred[Any]:
        return Deferred()

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


class Listener:
    """Keeps what the exchange tells."""

    def __init__(self) -> None:
        self.failures: list[FailureKind] = []
        self.body = b""

    def receive_head(self, head: Any) -> None:
        pass

    def receive_body(self, data: bytes) -> None:
        self.body += data

    def end_body(self) -> None:
        pass

    def fail(self, kind: FailureKind) -> None:
        self.failures.append(kind)


WAIT, BYTE, PAUSE, RESUME = "wait", "byte", "pause", "resume"

STORIES = {
    "no first byte": ([(WAIT, 9.9)], [(WAIT, 0.2)]),
    "first byte, then nothing": ([(WAIT, 9.0), (BYTE, 0), (WAIT, 1.9)], [(WAIT, 0.2)]),
    "steady bytes": ([(BYTE, 0), (WAIT, 1.9)] * 20, [(WAIT, 0.2)]),
    "a pause does not count": ([(BYTE, 0), (PAUSE, 0), (WAIT, 60.0)], [(RESUME, 0), (WAIT, 4.1)]),
    "resumed and steady": (
        [(BYTE, 0), (PAUSE, 0), (WAIT, 60.0), (RESUME, 0), (WAIT, 1.9), (BYTE, 0), (WAIT, 1.9)],
        [(WAIT, 4.1)],
    ),
}


@pytest.mark.parametrize("story", STORIES)
def test_silence(story: str) -> None:
    quiet_until, end = STORIES[story]
    clock, connection, listener = Clock(), FakeConnection(), Listener()
    exchange = Exchange(
        reactor=clock,
        pool=connection,  # type: ignore[arg-type]
        address=Address(host="127.0.0.1", port=1),
        request=OutboundRequest(method=b"GET", target=b"/"),
        limits=SilenceLimits(first_byte_s=10.0, between_bytes_s=2.0),
        listener=listener,
    )
    exchange.start()
    for step in quiet_until:
        take_step(exchange, clock, *step)
    assert listener.failures == []
    for step in end:
        take_step(exchange, clock, *step)
    assert listener.failures == [FailureKind.SILENT]
    assert connection.aborted
    assert clock.getDelayedCalls() == []


def take_step(exchange: Exchange, clock: Clock, kind: str, seconds: float) -> None:
    match kind:
        case "byte":
            exchange.handle_body(b"x")
        case "pause":
            exchange.pause()
        case "resume":
            exchange.resume()
        case _:
            clock.pump([0.1] * round(seconds * 10))
