"""Socket options shared by all connections."""

import socket
from typing import Any

UNACKNOWLEDGED_LIMIT_MS = 2_500
"""A connection whose sent bytes stay unacknowledged for this long is closed; otherwise a broken
network path goes unnoticed. The limit is shorter than three seconds, the bound set by the operators
after which they count a host as reachable again, so that connections broken in the meantime are
closed by then."""


def tune_socket(transport: Any) -> None:
    """Disable Nagle's algorithm and limit the time that sent bytes may stay unacknowledged."""
    transport.setTcpNoDelay(True)
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if option is not None:
        transport.getHandle().setsockopt(socket.IPPROTO_TCP, option, UNACKNOWLEDGED_LIMIT_MS)
