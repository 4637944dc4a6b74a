"""A loopback proxy that delays, holds back or resets the connections of one link."""

import math
import socket
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

CONNECT_TIMEOUT_S = 2.0
TCP_ESTABLISHED = 1
"""State of a connection that neither side has closed, as the kernel numbers them."""


class LinkFault(Enum):
    """What a link does to the bytes of its connections.

    ``CUT_REQUESTS`` and ``CUT_ANSWERS`` hold one direction back, ``SILENT`` both, until the fault
    ends. ``REFUSING`` resets new connections.
    """

    NONE = "none"
    DELAYED = "delayed"
    CUT_REQUESTS = "cut_requests"
    CUT_ANSWERS = "cut_answers"
    SILENT = "silent"
    REFUSING = "refusing"


_HELD = {
    LinkFault.CUT_REQUESTS: (True,),
    LinkFault.CUT_ANSWERS: (False,),
    LinkFault.SILENT: (True, False),
}


@dataclass(slots=True)
class Passage:
    """When the bytes of a caller's connection were passed on to a target that was still open.

    Attributes:
        ends: Offsets of the ends of what was passed on at once, and the times.
        closed: Whether the target is known to have closed its side, or to have refused it.
    """

    ends: list[tuple[int, float]] = field(default_factory=list)
    closed: bool = False

    def find_passed_s(self, offset: int) -> float:
        """Return when the bytes up to an offset had been passed on; infinite if they were not."""
        return next((passed_s for end, passed_s in self.ends if end >= offset), math.inf)


class _Close(Enum):
    HALF = "half"
    FULL = "full"
    RESET = "reset"


@implementer(IHalfCloseableProtocol)
class _Side(Protocol):
    """One of the two connections of a pair; queues what its peer received for it."""

    transport: Any

    def __init__(self, link: "Link", *, takes_requests: bool) -> None:
        self.link = link
        self.takes_requests = takes_requests
        self.peer: _Side | None = None
        self.passage = Passage()
        self._queue: deque[tuple[float, bytes | _Close]] = deque()
        self._open = False
        self._resets = False
        self._read_closed = False
        self._write_closed = False

    def connectionMade(self) -> None:
        self._open = True
        self.transport.setTcpNoDelay(True)
        self.link.sides.add(self)
        if not self.takes_requests:
            self.link.connect(self)
        self.pump()

    def dataReceived(self, data: bytes) -> None:
        self._pass_on(data)

    def readConnectionLost(self) -> None:
        """Close the peer's sending side."""
        self._read_closed = self.passage.closed = True
        self._pass_on(_Close.HALF)
        self._close_if_done()

    def writeConnectionLost(self) -> None:
        """Do nothing: the proxy itself closed the sending side."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Close the peer in the same way."""
        self._open = False
        if isinstance(reason.value, ConnectionLost) and not self._resets:
            self.passage.closed = True
        self.link.sides.discard(self)
        clean = isinstance(reason.value, ConnectionDone)
        self._pass_on(_Close.FULL if clean else _Close.RESET)

    def enqueue(self, item: bytes | _Close) -> None:
        """Queue an item that is sent once the link lets it pass."""
        self._queue.append((self.link.seconds() + self.link.delay_s, item))
        if self.link.delay_s:
            self.link.reactor.callLater(self.link.delay_s, self.pump)
        self.pump()

    def pump(self) -> None:
        """Send the queued items that are due, unless this direction is held back."""
        if not self._open or self.link.holds(requests=self.takes_requests):
            return
        while self._open and self._queue and self._queue[0][0] <= self.link.seconds() + 1e-6:
            self._send(self._queue.popleft()[1])

    def reset(self) -> None:
        """Reset the connection."""
        if self._open:
            self._resets = True
            self.transport.abortConnection()

    def _send(self, item: bytes | _Close) -> None:
        match item:
            case _Close.HALF:
                self._write_closed = True
                self.transport.loseWriteConnection()
                self._close_if_done()
            case _Close.FULL:
                self.transport.loseConnection()
            case _Close.RESET:
                self.reset()
            case bytes():
                self._send_bytes(item)

    def _send_bytes(self, data: bytes) -> None:
        """Send bytes at once, and note those that reach a target which has not closed before."""
        handle = self.transport.getHandle()
        state = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        self.transport.write(data)
        self.transport.doWrite()
        if state == TCP_ESTABLISHED:
            passed = self.passage.ends[-1][0] if self.passage.ends else 0
            self.passage.ends.append((passed + len(data), self.link.seconds()))

    def _pass_on(self, item: bytes | _Close) -> None:
        if self.peer is not None:
            self.peer.enqueue(item)

    def _close_if_done(self) -> None:
        if self._read_closed and self._write_closed:
            self.transport.loseConnection()


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, side: _Side) -> None:
        self._side = side

    def buildProtocol(self, addr: Any) -> _Side:  # type: ignore[override]
        return self._side

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Reset the accepted connection: the target is gone."""
        self._side.passage.closed = isinstance(reason.value, ConnectionRefusedError)
        if self._side.peer is not None:
            self._side.peer.reset()


class _Acceptor(Factory):
    noisy = False

    def __init__(self, link: "Link") -> None:
        self._link = link

    def buildProtocol(self, addr: Any) -> _Side:
        return _Side(self._link, takes_requests=False)


@dataclass(slots=True, kw_only=True)
class Link:
    """A listening port whose connections lead to a target through the proxy.

    Attributes:
        ended: Whether the target has ended and refuses connections, so that the link stays shut.
    """

    reactor: Any
    interface: str
    target: tuple[str, int]
    fault: LinkFault = LinkFault.NONE
    delay_s: float = 0.0
    sides: set[_Side] = field(default_factory=set)
    passages: dict[int, Passage] = field(default_factory=dict)
    address: tuple[str, int] = ("", 0)
    ended: bool = False
    _port: Any = None

    def open(self) -> tuple[str, int]:
        """Listen, at the same address as before if there is one, and return it."""
        if self._port is None and not self.ended:
            number = self.address[1]
            self._port = self.reactor.listenTCP(number, _Acceptor(self), interface=self.interface)
            self.address = self.interface, int(self._port.getHost().port)
        return self.address

    def shut(self) -> None:
        """Listen no more, so that new connections are refused; open ones go on."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def seconds(self) -> float:
        """Return the reactor's time."""
        return float(self.reactor.seconds())

    def find_passage(self, port: int) -> Passage:
        """Return what was passed on of the connection from a caller's port."""
        return self.passages.get(port, Passage())

    def holds(self, *, requests: bool) -> bool:
        """Return whether a direction is held back."""
        return requests in _HELD.get(self.fault, ())

    def set_fault(self, fault: LinkFault, *, delay_s: float = 0.0) -> None:
        """Change the link's behavior; what was held back is sent if it may pass now."""
        self.fault = fault
        self.delay_s = delay_s
        for side in list(self.sides):
            side.pump()

    def reset(self) -> None:
        """Reset all connections."""
        for side in list(self.sides):
            side.reset()

    def connect(self, accepted: _Side) -> None:
        """Connect a new pair to the target."""
        if self.fault is LinkFault.REFUSING:
            accepted.reset()
            return
        side = _Side(self, takes_requests=True)
        side.peer, accepted.peer = accepted, side
        self.passages[accepted.transport.getPeer().port] = side.passage
        address, port = self.target
        self.reactor.connectTCP(address, port, _Connector(side), timeout=CONNECT_TIMEOUT_S)
