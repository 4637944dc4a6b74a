"""Configures the reactor's clock."""

import time
from typing import Any


def use_monotonic_time(reactor: Any) -> None:
    """Base the reactor's timers on the monotonic clock, which wall clock changes do not affect."""
    reactor.seconds = time.monotonic
