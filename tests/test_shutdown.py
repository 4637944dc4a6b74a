"""Tests of a host's shutdown on a fake clock."""

from typing import Any

import eliot
import pytest
from twisted.internet.task import Clock

from greengagestage.gateway._shutdown import Shutdown
from greengagestage.gateway._site import ConfigurationView
from greengagestage.http1 import ServerFactory

GRACE_S = 5.0


class OpenRequest:
    """A request that stays open until the shutdown stops it."""

    def __init__(self, attempt_id: str, requests: set[Any], error: Exception | None) -> None:
        self.attempt_id = attempt_id
        self.stopped = False
        self._requests = requests
        self._error = error
        requests.add(self)

    def stop(self) -> None:
        self.stopped = True
        if self._error is not None:
            raise self._error
        self._requests.discard(self)


class Connection:
    """A caller's connection on which a request is read, and its answer sent a little later."""

    idle = False
    has_unread_bytes = False
    unsent_bytes = 0

    def read(self) -> None:
        self.unsent_bytes = 100

    def send(self) -> None:
        self.unsent_bytes = 0


@pytest.fixture
def messages():
    logged: list[dict[str, Any]] = []
    eliot.add_destinations(logged.append)
    yield logged
    eliot.remove_destination(logged.append)


def build_shutdown(
    clock: Clock, open_requests: set[Any], *connections: Any, grace_s: float = GRACE_S
) -> Shutdown:
    server = ServerFactory(reactor=clock, on_request=lambda *_: None, on_refused=lambda limit: b"")
    server.connections.update(connections)
    return Shutdown(
        reactor=clock,
        grace_s=grace_s,
        servers=(server,),
        configuration=ConfigurationView(read_age_s=lambda: 0.0, key_revocation_s=None),
        open_exchanges=open_requests,
    )


# Guards against one request that cannot be answered and keeps the host from stopping.
def test_a_host_stops_although_one_request_cannot_be_answered(messages) -> None:
    clock, open_requests = Clock(), set()
    requests = [
        OpenRequest("a1", open_requests, None),
        OpenRequest("a2", open_requests, RuntimeError("no answer")),
        OpenRequest("a3", open_requests, None),
    ]
    stopped: list[object] = []
    build_shutdown(clock, open_requests).begin().addCallback(stopped.append)
    clock.pump([0.1] * int(GRACE_S / 0.1))
    assert stopped
    assert all(request.stopped for request in requests)
    (failure,) = [m for m in messages if m.get("message_type") == "host: request not answered"]
    assert failure["request"] == "a2"
    assert "no answer" in failure["fault"]


# Guards against a process that ends after it has read a request and before the answer has left.
@pytest.mark.parametrize("came_s", [step / 50 for step in range(125, 145)])
def test_a_host_ends_with_nothing_read_that_is_not_answered(came_s: float) -> None:
    clock = Clock()
    connection = Connection()
    unsent: list[int] = []
    done = build_shutdown(clock, set(), connection).begin()
    done.addCallback(lambda _: unsent.append(connection.unsent_bytes))
    for call, at_s in ((connection.read, came_s), (connection.send, came_s + 0.03)):
        clock.callLater(at_s, call)
    while not unsent:
        clock.advance(0.01)
    assert unsent == [0]
    assert clock.seconds() < GRACE_S


# Guards against a late process, or a short grace period, that ends with answers it has not sent.
@pytest.mark.parametrize("grace_s", [2.5, 2.7, 2.9, 5.0])
def test_the_last_answers_are_sent_also_after_the_end_of_the_grace_period(grace_s: float) -> None:
    clock, connection, open_requests = Clock(), Connection(), set()
    request = OpenRequest("a1", open_requests, None)
    stop = request.stop

    def answer() -> None:
        stop()
        connection.read()
        clock.callLater(0.03, connection.send)

    request.stop = answer
    unsent: list[int] = []
    done = build_shutdown(clock, open_requests, connection, grace_s=grace_s).begin()
    done.addCallback(lambda _: unsent.append(connection.unsent_bytes))
    while not unsent:
        clock.advance(0.01)
    assert request.stopped and unsent == [0]
