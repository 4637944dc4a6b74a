"""Socket options shared by all connections."""

import fcntl
import socket
import struct
import termios
from contextlib import suppress
from typing import Any

UNACKNOWLEDGED_LIMIT_S = 2.5
"""A connection to a server whose sent bytes stay unacknowledged for this long is closed; otherwise
a broken network path goes unnoticed. The limit is shorter than three seconds, the bound set by the
operators after which they count a host as reachable again, so that connections broken in the
meantime are closed by then."""

MIN_UNREAD_S = 0.05
"""Shorter times between the arrival of bytes and their reading do not count: a process that is not
held up reads within milliseconds, and the system's clock for them is coarse."""

_TCP_INFO_BEGIN = struct.Struct("=52xI72xQ")
"""The beginning of Linux's ``tcp_info``, with two of its fields: ``tcpi_last_data_recv``, the
milliseconds since the last bytes have arrived, and ``tcpi_bytes_received``, the number of all."""

BUFFER_BYTES = 16_384
"""Bytes of one read, and of what is written and unsent above which a producer is paused. Hundreds
of connections can add both before a process that runs short of memory closes one of them."""


def tune_socket(transport: Any, *, unacknowledged_limit_s: float = UNACKNOWLEDGED_LIMIT_S) -> None:
    """Disable Nagle's algorithm; limit buffers and the time that bytes may stay unacknowledged.

    The limit also ends a connection whose peer is alive but reads nothing, and would decide when
    keep-alive probes give up. These are not enabled.
    """
    transport.setTcpNoDelay(True)
    limit_buffers(transport)
    limit_unacknowledged(transport, unacknowledged_limit_s)


def limit_buffers(transport: Any) -> None:
    """Limit a read, and what may be unsent while a producer goes on, to ``BUFFER_BYTES``."""
    transport.bufferSize = BUFFER_BYTES


def limit_unacknowledged(transport: Any, limit_s: float | None = UNACKNOWLEDGED_LIMIT_S) -> None:
    """Limit the time that sent bytes may stay unacknowledged; None leaves it to the system."""
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if option is not None:
        limit_ms = 0 if limit_s is None else max(round(limit_s * 1_000), 1)
        transport.getHandle().setsockopt(socket.IPPROTO_TCP, option, limit_ms)


def count_unsent_bytes(transport: Any) -> int:
    """Return the number of written bytes that the process still holds; 0 once closed.

    Twisted has no public interface for the size of a transport's buffer.
    """
    if not transport.connected:
        return 0
    unsent: int = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
    return unsent


def count_undelivered_bytes(transport: Any) -> int:
    """Return the number of written bytes that the peer has not acknowledged; 0 once closed."""
    if not transport.connected:
        return 0
    return count_unsent_bytes(transport) + _count_unacknowledged(transport.getHandle())


def has_unread_bytes(transport: Any) -> bool:
    """Return whether bytes have arrived that the process has not read yet."""
    if not transport.connected:
        return False
    try:
        return bool(transport.getHandle().recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def send_at_once(transport: Any) -> None:
    """Pass written bytes to the system now; Twisted does so when it next looks at its sockets.

    It meets an error of the connection then, so that none is handled here.
    """
    if transport.connected:
        transport.doWrite()


def end_sending(transport: Any) -> None:
    """Tell the peer at once that nothing more is sent, unless written bytes are still unsent.

    Twisted closes a connection when it next looks at its sockets. On a busy machine that can be a
    while later, in which the peer would go on sending.
    """
    if transport.connected and not count_unsent_bytes(transport):
        with suppress(OSError):
            transport.getHandle().shutdown(socket.SHUT_WR)


def measure_unread_s(transport: Any) -> float:
    """Return for how long the bytes that have just been read had waited for the process.

    The system tells it for the last bytes that have arrived, in steps of some milliseconds. Times
    below ``MIN_UNREAD_S`` are 0, as are all where the system does not tell them.
    """
    info = read_tcp_info(transport.getHandle(), _TCP_INFO_BEGIN) if transport.connected else None
    if info is None:
        return 0.0
    unread_ms, received_bytes = info
    unread_s: float = unread_ms / 1_000
    return unread_s if received_bytes and unread_s >= MIN_UNREAD_S else 0.0


def read_tcp_info(handle: socket.socket, layout: struct.Struct) -> tuple[Any, ...] | None:
    """Return fields of the system's ``tcp_info``; None where it does not tell them."""
    option = getattr(socket, "TCP_INFO", None)
    if option is None:
        return None
    try:
        answer = handle.getsockopt(socket.IPPROTO_TCP, option, layout.size)
    except OSError:
        return None
    return layout.unpack(answer) if len(answer) == layout.size else None


def _count_unacknowledged(handle: socket.socket) -> int:
    """Return the number of bytes in the kernel's send queue; 0 where it cannot be read."""
    size = struct.Struct("i")
    try:
        answer = fcntl.ioctl(handle, termios.TIOCOUTQ, bytes(size.size))
    except OSError:
        return 0
    unacknowledged: int = size.unpack(answer)[0]
    return unacknowledged
