"""How many connections of each kind a host may open with the descriptors that it has."""

from dataclasses import dataclass

FILE_DESCRIPTORS = 200
"""Descriptors that the operators reserve for files."""

OTHER_SOCKETS = 24
"""Listeners, and connections of the load balancer and to the store."""

CALLER_RATIO = 0.45
FORWARDING_RATIO = 0.05
"""Parts of the other descriptors. A request of a caller takes two, one on each side."""

MIN_CONNECTIONS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionCounts:
    """Numbers of connections.

    Attributes:
        callers: From callers, and as many to upstreams.
        forwarding: From other hosts, and as many to them.
    """

    callers: int
    forwarding: int


def divide_descriptors(max_descriptors: int) -> ConnectionCounts:
    """Divide a process's descriptors between the kinds of connections."""
    sockets = max_descriptors - FILE_DESCRIPTORS - OTHER_SOCKETS
    return ConnectionCounts(
        callers=max(int(sockets * CALLER_RATIO), MIN_CONNECTIONS),
        forwarding=max(int(sockets * FORWARDING_RATIO), MIN_CONNECTIONS),
    )
