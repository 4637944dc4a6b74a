"""Persistent connections to servers. Nothing is ever sent twice here."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from twisted.internet.address import IPv4Address
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ._client import ClientConnection

CONNECT_TIMEOUT_S = 0.4
"""Time to connect within a region, where a round trip takes about 2 ms. A first packet that was
lost is sent again after one second, so waiting longer costs more than asking another server."""

HTTP_PORT = 80
"""The protocol's own port, for URLs that name none."""

IDLE_PER_ENDPOINT = 32
"""Idle connections kept to one server."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """Where a server listens."""

    address: str
    port: int

    @classmethod
    def from_url(cls, url: str) -> "Endpoint":
        """Return the endpoint of a plain URL.

        Raises:
            ValueError: The URL names no host, or a port that is no number.
        """
        parts = urlsplit(url)
        if not parts.hostname:
            raise ValueError(f"{url!r} names no host")
        return cls(address=parts.hostname, port=parts.port or HTTP_PORT)


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(
        self, create: Callable[[], ClientConnection], on_failed: Callable[[], None]
    ) -> None:
        self._create = create
        self._on_failed = on_failed

    def buildProtocol(self, addr: IPv4Address) -> ClientConnection:  # type: ignore[override]
        """Build the protocol of a new connection."""
        return self._create()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report that no connection came about."""
        self._on_failed()


class _Opening(ClientConnection):
    """A connection that reports when it is open."""

    def __init__(self, *, on_open: Callable[[ClientConnection], None], **arguments: Any) -> None:
        super().__init__(**arguments)
        self._on_open = on_open

    def connectionMade(self) -> None:
        """Set the socket's options and report."""
        super().connectionMade()
        self._on_open(self)


class ConnectionPool:
    """Hands out idle connections, newest first, and opens new ones."""

    def __init__(self, *, reactor: Any, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[Endpoint, list[ClientConnection]] = {}
        self.opened = 0

    def take_idle(self, endpoint: Endpoint, *, idle_limit_s: float) -> ClientConnection | None:
        """Return a connection that was idle for less than a limit."""
        idle = self._idle.get(endpoint, [])
        while idle:
            connection = idle.pop()
            if connection.reusable and connection.idle_s < idle_limit_s:
                return connection
            connection.close()
        return None

    def open(
        self,
        endpoint: Endpoint,
        *,
        on_open: Callable[[ClientConnection], None],
        on_failed: Callable[[], None],
    ) -> None:
        """Open a connection; exactly one of the two functions is called."""
        self.opened += 1
        factory = _ConnectionFactory(
            lambda: _Opening(
                seconds=self._reactor.seconds,
                on_open=on_open,
                on_idle=lambda connection: self.put_idle(endpoint, connection),
                on_closed=lambda connection: self._discard(endpoint, connection),
            ),
            on_failed,
        )
        self._reactor.connectTCP(
            endpoint.address, endpoint.port, factory, timeout=self._connect_timeout_s
        )

    def put_idle(self, endpoint: Endpoint, connection: ClientConnection) -> None:
        """Keep an idle connection for later."""
        idle = self._idle.setdefault(endpoint, [])
        if len(idle) >= IDLE_PER_ENDPOINT:
            connection.close()
            return
        idle.append(connection)

    def close_endpoint(self, endpoint: Endpoint) -> None:
        """Close the idle connections to a server that has left."""
        for connection in self._idle.pop(endpoint, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for endpoint in list(self._idle):
            self.close_endpoint(endpoint)

    def _discard(self, endpoint: Endpoint, connection: ClientConnection) -> None:
        idle = self._idle.get(endpoint)
        if idle is not None and connection in idle:
            idle.remove(connection)
