"""Separate Twisted reactors for tests, which iterate them until a condition holds."""

import socket
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import SystemRandom
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.task import Clock
from zope.interface import directlyProvides, providedBy

CONDITION_TIMEOUT_S = 10.0


NON_EPHEMERAL_PORTS = range(20_000, 32_000)
"""Ports outside the range from which operating systems assign free ports to sockets."""

SOCKET_KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)

MAX_RESERVATIONS = 100
"""Number of ports reserved by a process: more than a test chooses before it listens."""

_random = SystemRandom()
_reservations: deque[socket.socket] = deque()


def choose_address() -> str:
    """Return a loopback address whose port is free for both TCP and UDP.

    The port lies outside the ephemeral range, so that the system does not assign it to another
    socket before the test listens on it, and no other process of the tests chooses it meanwhile.
    """
    while True:
        port = _random.choice(NON_EPHEMERAL_PORTS)
        # Reserved first: a probe, too, keeps others from listening on the port.
        if reserve_port(port) and all(is_free(port, kind) for kind in SOCKET_KINDS):
            return f"127.0.0.1:{port}"


def reserve_port(port: int) -> bool:
    """Reserve a port among all test processes of this machine; return whether none had done so.

    The name of an abstract socket is unique, and does not occupy the port itself. The oldest
    reservation ends where a process has more than ``MAX_RESERVATIONS``.
    """
    reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        reservation.bind(f"\0greengagestage-tests-port-{port}")
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    if len(_reservations) > MAX_RESERVATIONS:
        _reservations.popleft().close()
    return True


def is_free(port: int, kind: socket.SocketKind) -> bool:
    """Whether no socket uses a port, at whatever address: fleets listen on several of them."""
    with socket.socket(type=kind) as probe:
        try:
            probe.bind(("", port))
        except OSError:
            return False
    return True


@contextmanager
def running_reactor() -> Iterator[EPollReactor]:
    """Yield a started reactor; cancel its delayed calls and remove its readers at the end."""
    reactor = EPollReactor()
    reactor.startRunning(installSignalHandlers=False)
    try:
        yield reactor
    finally:
        for call in reactor.getDelayedCalls():
            call.cancel()
        reactor.removeAll()


def run_until(reactor: EPollReactor, condition: Callable[[], bool]) -> None:
    """Iterate the reactor until the condition holds; fail after ``CONDITION_TIMEOUT_S``."""
    deadline_s = time.monotonic() + CONDITION_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "the condition did not hold in time"
        reactor.iterate(0.01)


class ClockedReactor:
    """A reactor with real connections, whose timers run on a ``Clock``.

    A time-out passes only when a test advances the clock, however slow the machine is.

    Attributes:
        clock: Drives ``callLater`` and ``seconds``.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self.clock = Clock()
        self.callLater = self.clock.callLater
        self.seconds = self.clock.seconds
        directlyProvides(self, providedBy(reactor))

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)
