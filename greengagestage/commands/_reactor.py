"""Configures the reactor's clock and its shutdown on signals."""

import signal
import time
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred


def use_monotonic_time(reactor: Any) -> None:
    """Base the reactor's timers on the monotonic clock, which wall clock changes do not affect."""
    reactor.seconds = time.monotonic


def stop_on_signals(reactor: Any, stop: Callable[[], Deferred[None]]) -> None:
    """On the first SIGTERM or SIGINT, call ``stop`` and stop the reactor when it has finished."""
    stopping = False

    def handle_signal(signum: int, frame: object) -> None:
        nonlocal stopping
        if not stopping:
            stopping = True
            reactor.callFromThread(begin_stop)

    def begin_stop() -> None:
        stop().addBoth(lambda _: reactor.stop())

    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
