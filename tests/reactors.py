"""A reactor of its own for each test, turned by the test until a condition holds."""

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import SystemRandom

from twisted.internet.epollreactor import EPollReactor

PATIENCE_S = 10.0


FIXED_PORTS = range(20_000, 32_000)
"""Ports that no system gives to a socket which asks for any free one."""

_random = SystemRandom()


def choose_address() -> str:
    """Return a loopback address whose port is free for connections and for datagrams.

    The port lies outside the range from which the system serves other sockets, so that none of
    them takes it before the test listens there.
    """
    while True:
        port = _random.choice(FIXED_PORTS)
        if _is_free(port, socket.SOCK_STREAM) and _is_free(port, socket.SOCK_DGRAM):
            return f"127.0.0.1:{port}"


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(type=kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@contextmanager
def running_reactor() -> Iterator[EPollReactor]:
    """Yield a started reactor, and close its readers at the end."""
    reactor = EPollReactor()
    reactor.startRunning(installSignalHandlers=False)
    try:
        yield reactor
    finally:
        for call in reactor.getDelayedCalls():
            call.cancel()
        reactor.removeAll()


def run_until(reactor: EPollReactor, condition: Callable[[], bool]) -> None:
    """Turn the reactor until the condition holds; fail when it never does."""
    end = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < end, "the condition never held"
        reactor.iterate(0.01)
