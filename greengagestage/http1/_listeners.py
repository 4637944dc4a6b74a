"""Listening sockets, and the connections in their queues that are not accepted yet."""

import struct
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ._sockets import read_tcp_info

_QUEUE_INFO_BEGIN = struct.Struct("=24xI")
"""The beginning of ``tcp_info`` with ``tcpi_unacked``, for a listening socket the number of
connections in its queue."""


def count_unaccepted(listener: Any) -> int:
    """Return the number of connections in the queue of a listening socket; 0 if it is not known."""
    info = read_tcp_info(listener.socket, _QUEUE_INFO_BEGIN) if listener.connected else None
    return 0 if info is None else int(info[0])


def close_listener(listener: Any) -> None:
    """Accept the connections in the queue of a listening socket, then close it at once.

    The system resets those that are in the queue when the socket is closed.
    """
    if not listener.connected:
        return
    accepted = None
    while listener.sessionno != accepted:
        accepted = listener.sessionno
        listener.doRead()
    listener.stopReading()
    listener.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
