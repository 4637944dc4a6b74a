"""Waits a limited time for a result, without cancelling the work behind it."""

from typing import Any, TypeVar

from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

T = TypeVar("T")


def wait_at_most(reactor: Any, work: Deferred[T], seconds: float, default: T) -> Deferred[T]:
    """Return the result of some work, or a default if it fails or takes longer than ``seconds``.

    The work itself is not cancelled.
    """
    waiting: Deferred[T] = Deferred()

    def resolve_with_default() -> None:
        if not waiting.called:
            waiting.callback(default)

    timer = reactor.callLater(seconds, resolve_with_default)

    def resolve_with_result(result: T | Failure) -> None:
        if timer.active():
            timer.cancel()
        if isinstance(result, Failure):
            log_message(message_type="claims: work failed", reason=repr(result.value))
            resolve_with_default()
        elif not waiting.called:
            waiting.callback(result)

    work.addBoth(resolve_with_result)
    return waiting
