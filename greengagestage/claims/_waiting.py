"""Waiting for a result that may take longer than its caller can wait."""

from typing import Any, TypeVar

from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

T = TypeVar("T")


def wait_at_most(reactor: Any, work: Deferred[T], seconds: float, default: T) -> Deferred[T]:
    """Return the result of some work, or a default once the time is over.

    The work itself goes on.
    """
    waiting: Deferred[T] = Deferred()

    def give_default() -> None:
        if not waiting.called:
            waiting.callback(default)

    timer = reactor.callLater(seconds, give_default)

    def give_result(result: T | Failure) -> None:
        if timer.active():
            timer.cancel()
        if isinstance(result, Failure):
            log_message(message_type="claims: work failed", reason=repr(result.value))
            give_default()
        elif not waiting.called:
            waiting.callback(result)

    work.addBoth(give_result)
    return waiting
