"""A reactor of its own for each test, turned by the test until a condition holds."""

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from twisted.internet.epollreactor import EPollReactor

PATIENCE_S = 10.0


def choose_address() -> str:
    """Return a loopback address whose port the system chose."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


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


def turn_until(reactor: EPollReactor, condition: Callable[[], bool]) -> None:
    """Turn the reactor until the condition holds; fail when it never does."""
    end = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < end, "the condition never held"
        reactor.iterate(0.01)
