"""Signals to a server program, from its first lines to the end of its process."""

import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from twisted.internet.defer import Deferred

from ._held_signals import SIGNALS


@contextmanager
def handle_signals(
    reactor: Any, *, stop: Callable[[], Deferred[None]], reload: Callable[[], None] | None = None
) -> Iterator[None]:
    """Handle signals, also those held since ``hold_signals``, while the reactor runs in the block.

    After the block they are ignored. Python gives handled signals their default action back while
    it ends, so that a late one would end the process with a status of its own.

    Args:
        stop: Called at the first SIGTERM or SIGINT; the reactor is stopped when it has finished.
        reload: Called after SIGHUP, once for signals that arrive together; None to ignore it.
    """
    stopping = reloading = False

    def handle_stop(number: int, frame: object) -> None:
        nonlocal stopping
        if not stopping:
            stopping = True
            reactor.callFromThread(begin_stop)

    def begin_stop() -> None:
        stop().addBoth(lambda _: reactor.stop())

    def handle_reload(number: int, frame: object) -> None:
        nonlocal reloading
        if not reloading:
            reloading = True
            reactor.callFromThread(begin_reload)

    def begin_reload() -> None:
        nonlocal reloading
        reloading = False
        if reload is not None:
            reload()

    signal.signal(signal.SIGTERM, handle_stop)
    signal.signal(signal.SIGINT, handle_stop)
    signal.signal(signal.SIGHUP, signal.SIG_IGN if reload is None else handle_reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    try:
        yield
    finally:
        for number in SIGNALS:
            signal.signal(number, signal.SIG_IGN)
