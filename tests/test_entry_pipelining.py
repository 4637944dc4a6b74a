"""Tests of requests that a caller sends to an entry process before earlier ones are answered."""

import socket
import time
from typing import Any

import pytest
from twisted.internet.protocol import ClientCreator

from greengagestage.entry._http import CallerRequest, CallerServer, ServerLimits
from greengagestage.ids import RequestId

from .raw_caller import RawCaller
from .reactors import run_until, running_reactor

REQUEST = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"


def build_server(
    reactor: Any, requests: list[CallerRequest], *, idle_timeout_s: float = 60.0
) -> CallerServer:
    return CallerServer(
        reactor=reactor,
        limits=ServerLimits(idle_timeout_s=idle_timeout_s),
        on_request=requests.append,
        on_refused=lambda code: RequestId("r"),
    )


# Guards against a busy process that closes connections on which a request has arrived unread.
@pytest.mark.parametrize("times_out", [False, True])
def test_a_request_that_has_arrived_unread_keeps_its_connection_open(times_out: bool) -> None:
    with running_reactor() as reactor:
        requests: list[CallerRequest] = []
        server = build_server(reactor, requests, idle_timeout_s=0.2)
        port: Any = server.listen("127.0.0.1", 0)
        address = port.getHost()
        with socket.create_connection((address.host, address.port)) as caller:
            run_until(reactor, lambda: bool(server.channels))
            caller.sendall(REQUEST % 1)
            if times_out:
                time.sleep(0.3)  # the process is busy
            else:
                server.close_idle()
            run_until(reactor, lambda: bool(requests) or not server.channels)
            assert len(requests) == 1
        port.stopListening()


# Guards against a request that was read whole before a stop, and is dropped with its connection
# once the one before it is answered.
@pytest.mark.parametrize("at_once", [True, False])
def test_requests_that_wait_behind_another_one_are_answered_at_a_stop(at_once: bool) -> None:
    with running_reactor() as reactor:
        requests: list[CallerRequest] = []
        server = build_server(reactor, requests)
        port: Any = server.listen("127.0.0.1", 0)
        connected: list[RawCaller] = []
        creator: Any = ClientCreator(reactor, RawCaller)
        creator.connectTCP("127.0.0.1", port.getHost().port).addCallback(connected.append)
        run_until(reactor, lambda: bool(connected))
        caller = connected[0]
        caller.transport.write(REQUEST % 1 + (REQUEST % 2 if at_once else b""))
        run_until(reactor, lambda: len(requests) == 1)
        if not at_once:
            caller.transport.write(REQUEST % 2)
            run_until(reactor, lambda: any(requests[0].channel._dataBuffer))
        server.closing = True
        requests[0].answer(200, "text/plain", b"first", [])
        run_until(reactor, lambda: len(requests) == 2 or caller.closed)
        assert len(requests) == 2
        requests[1].answer(200, "text/plain", b"second", [])
        run_until(reactor, lambda: caller.closed)
        assert b"first" in caller.data and b"second" in caller.data
        assert caller.data.lower().count(b"connection: close") == 1
        port.stopListening()


# Guards against a busy process that announces the end of a connection on which a request has
# arrived unread, and discards the request.
def test_a_request_that_has_arrived_unread_behind_another_one_is_answered_at_a_stop() -> None:
    with running_reactor() as reactor:
        requests: list[CallerRequest] = []
        server = build_server(reactor, requests)
        port: Any = server.listen("127.0.0.1", 0)
        address = port.getHost()
        with socket.create_connection((address.host, address.port)) as caller:
            caller.sendall(REQUEST % 1)
            run_until(reactor, lambda: len(requests) == 1)
            server.closing = True
            caller.sendall(REQUEST % 2)
            requests[0].answer(200, "text/plain", b"first", [])
            run_until(reactor, lambda: len(requests) == 2 or not server.channels)
            assert len(requests) == 2
        port.stopListening()
