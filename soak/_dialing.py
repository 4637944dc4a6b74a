"""Connects protocols to loopback addresses."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientCreator, Protocol


def dial(
    reactor: Any,
    build: Callable[[], Protocol],
    address: tuple[str, int],
    *,
    timeout_s: float = 1.0,
) -> Any:
    """Return a ``Deferred`` that fires with the connected protocol."""
    create: Any = ClientCreator
    return create(reactor, build).connectTCP(*address, timeout=timeout_s)
