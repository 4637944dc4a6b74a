"""Tests that the clients based on Twisted's give up an answer whose head has no end."""

from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from greengagestage.agent._load_client import LoadClient
from greengagestage.commands._agent_client import send_command
from greengagestage.language import CommandRequest
from greengagestage.services import HttpClient
from greengagestage.upstream import (
    Address,
    ConnectionPool,
    Exchange,
    OutboundRequest,
    PoolLimits,
    SilenceLimits,
)

from .reactors import run_until, running_reactor
from .test_exchange_silence import RecordingListener

LONG_S = 60.0
PIECE_BYTES = 16_384
MAX_SENT_BYTES = 33_554_432
"""Far more than the buffers of a loopback connection hold beside the limit for heads."""


class EndlessServer(Protocol):
    """Answers with a status line and then sends one piece after the other until it is cut off."""

    transport: Any

    def __init__(self, reactor: Any, piece: bytes) -> None:
        self._reactor = reactor
        self._piece = piece * (PIECE_BYTES // len(piece))
        self.sent = 0
        self.closed = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.sent:
            self.transport.write(b"HTTP/1.1 200 OK\r\nx-a: b\r\n")
            self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        self.sent += len(self._piece)
        self.transport.write(self._piece)

    def stopProducing(self) -> None:  # noqa: N802
        pass

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.closed = True


def call_service(reactor: Any, port: int) -> Any:
    client = HttpClient(reactor=reactor, base_url=f"http://127.0.0.1:{port}", timeout_s=LONG_S)
    return client.send("GET", "/", limit_bytes=1_000)


def read_load(reactor: Any, port: int) -> Any:
    client = LoadClient(reactor=reactor, timeout_s=LONG_S)
    return Deferred.fromCoroutine(client.read(f"http://127.0.0.1:{port}"))


def call_upstream(reactor: Any, port: int) -> Any:
    exchange = Exchange(
        reactor=reactor,
        pool=ConnectionPool(reactor=reactor, limits=PoolLimits()),
        address=Address(host="127.0.0.1", port=port),
        request=OutboundRequest(method=b"GET", target=b"/"),
        limits=SilenceLimits(first_byte_s=LONG_S, between_bytes_s=LONG_S),
        listener=RecordingListener(),
    )
    exchange.start()
    return exchange


def call_agent(reactor: Any, port: int) -> Any:
    request = CommandRequest(text="show upstreams")
    url = f"http://127.0.0.1:{port}"
    return Deferred.fromCoroutine(send_command(reactor, url, "key", request))


# Guards against a client that keeps all that a faulty server sends, until its memory is full.
@pytest.mark.parametrize("piece", [b"x-noise: abcdef\r\n", b" folded line\r\n"])
@pytest.mark.parametrize("call", [call_service, read_load, call_upstream, call_agent])
def test_a_head_without_end_is_cut_off(call: Callable[[Any, int], Any], piece: bytes) -> None:
    with running_reactor() as reactor:
        server = EndlessServer(reactor, piece)
        factory: Any = Factory.forProtocol(lambda: server)
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        call(reactor, port.getHost().port)
        run_until(reactor, lambda: server.closed or server.sent > MAX_SENT_BYTES)
        assert server.closed
        port.stopListening()
