"""A pool of persistent connections to servers; it never resends a request."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any
from urllib.parse import urlsplit

from twisted.internet.address import IPv4Address
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ._client import DEFAULT_IDLE_S, ClientConnection

CONNECT_TIMEOUT_S = 0.4
"""Connect timeout within a region, where a round trip takes about 2 ms. TCP retransmits a lost SYN
only after one second, so waiting for it costs more than trying another server."""

HTTP_PORT = 80
"""Default port for URLs without a port."""

IDLE_PER_ENDPOINT = 32
"""Maximum number of idle connections kept for one server."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """Address and port on which a server listens."""

    address: str
    port: int

    @classmethod
    def from_url(cls, url: str) -> "Endpoint":
        """Return the endpoint of an HTTP URL.

        Raises:
            ValueError: The URL has no host, or its port is not a valid number.
        """
        parts = urlsplit(url)
        if not parts.hostname:
            raise ValueError(f"{url!r} names no host")
        return cls(address=parts.hostname, port=parts.port or HTTP_PORT)


class _ConnectionFactory(ClientFactory):
    """Opens one connection.

    The transport refers to its factory for as long as it lives, and the callbacks to a request:
    they are forgotten once the connection is open or has failed.
    """

    noisy = False

    def __init__(
        self, create: Callable[[], ClientConnection], on_failed: Callable[[], None]
    ) -> None:
        self._create_connection: Callable[[], ClientConnection] | None = create
        self._on_failed: Callable[[], None] | None = on_failed

    def buildProtocol(self, addr: IPv4Address) -> ClientConnection | None:  # type: ignore[override]
        """Build the protocol of the new connection."""
        create = self._create_connection
        self._forget()
        return None if create is None else create()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report that the connection could not be opened."""
        on_failed = self._on_failed
        self._forget()
        if on_failed is not None:
            on_failed()

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Break the cycle of Twisted's connector and transport, with the transport's buffers."""
        connector.transport = None

    def _forget(self) -> None:
        self._create_connection = self._on_failed = None


class _PooledConnection(ClientConnection):
    """A connection that reports when it is open."""

    def __init__(self, *, on_open: Callable[[ClientConnection], None], **arguments: Any) -> None:
        super().__init__(**arguments)
        self._on_open: Callable[[ClientConnection], None] | None = on_open

    def connectionMade(self) -> None:
        """Set the socket options and report the open connection."""
        super().connectionMade()
        on_open, self._on_open = self._on_open, None
        if on_open is not None:
            on_open(self)


class ConnectionPool:
    """Provides idle connections, most recently used first, and opens new ones.

    Args:
        bind_address: Local address of the connections; None to let the system choose.
        max_connections: How many connections may be open before the one that has been idle longest
            is closed for another; None for any number.

    Attributes:
        opened: Number of attempts to open a connection so far, including those that failed.
        on_aborted: Called when a server has aborted a connection.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        bind_address: str | None = None,
        max_connections: int | None = None,
    ) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._bind_address = None if bind_address is None else (bind_address, 0)
        self._idle: dict[Endpoint, list[ClientConnection]] = {}
        self._open: dict[Endpoint, set[ClientConnection]] = {}
        self._aborted_s: dict[Endpoint, float] = {}
        self._expiry_timer: Any = None
        self._max_connections = max_connections
        self._open_count = 0
        self.opened = 0
        self.on_aborted: Callable[[Endpoint], None] = lambda endpoint: None

    def take_idle(
        self, endpoint: Endpoint, *, idle_limit_s: float, recipient: str | None = None
    ) -> ClientConnection | None:
        """Return a reusable connection idle for less than the limit, or ``None``; close others.

        A connection that was used for another recipient is closed, too. The same request may have
        been refused on it, and a refusal that the server repeats would look like the answer.
        """
        idle = self._idle.get(endpoint, [])
        while idle:
            connection = idle.pop()
            is_for_others = connection.recipient not in (None, recipient)
            if connection.reusable and connection.idle_s < idle_limit_s and not is_for_others:
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
        """Open a connection; calls either ``on_open`` or ``on_failed``, once."""
        self.opened += 1
        if self._max_connections is not None and self._open_count >= self._max_connections:
            self._close_longest_idle()
        create = partial(
            _PooledConnection,
            seconds=self._reactor.seconds,
            on_open=partial(self._handle_open, endpoint, on_open),
            on_idle=partial(self.put_idle, endpoint),
            on_closed=partial(self._discard, endpoint),
        )
        self._reactor.connectTCP(
            endpoint.address,
            endpoint.port,
            _ConnectionFactory(create, on_failed),
            timeout=self._connect_timeout_s,
            bindAddress=self._bind_address,
        )

    def put_idle(self, endpoint: Endpoint, connection: ClientConnection) -> None:
        """Keep an idle connection for reuse, or close it if enough are kept."""
        idle = self._idle.setdefault(endpoint, [])
        if len(idle) >= IDLE_PER_ENDPOINT:
            connection.close()
            return
        idle.append(connection)
        if self._expiry_timer is None:
            self._expiry_timer = self._reactor.callLater(DEFAULT_IDLE_S, self._close_expired)

    def count_alive_since_before(self, endpoint: Endpoint, time_s: float) -> int:
        """Return how many connections to a server were opened before a time and are in use.

        Idle ones count while they are reusable: a connection can go silent without a reset. One
        that is not read does not count: its end would not be noticed.
        """

        def is_alive(connection: ClientConnection) -> bool:
            return connection.reusable or (connection.busy and not connection.paused)

        return sum(
            connection.opened_s < time_s and is_alive(connection)
            for connection in self._open.get(endpoint, ())
        )

    def list_aborted(self, began_s: float, ended_s: float) -> dict[Endpoint, float]:
        """Return the servers to which connections were last aborted in a span of time, and when."""
        return {
            endpoint: aborted_s
            for endpoint, aborted_s in self._aborted_s.items()
            if began_s <= aborted_s <= ended_s
        }

    def close_endpoint(self, endpoint: Endpoint) -> None:
        """Close the idle connections to a server that is gone."""
        self._aborted_s.pop(endpoint, None)
        for connection in self._idle.pop(endpoint, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for endpoint in list(self._idle):
            self.close_endpoint(endpoint)
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None

    def _handle_open(
        self,
        endpoint: Endpoint,
        on_open: Callable[[ClientConnection], None],
        connection: ClientConnection,
    ) -> None:
        self._open.setdefault(endpoint, set()).add(connection)
        self._open_count += 1
        on_open(connection)

    def _close_longest_idle(self) -> None:
        oldest = [connections[0] for connections in self._idle.values() if connections]
        if oldest:
            max(oldest, key=lambda connection: connection.idle_s).close()

    def _close_expired(self) -> None:
        """Close the idle connections that cannot be reused, and check the others again later."""
        self._expiry_timer = None
        idle = [connection for connections in self._idle.values() for connection in connections]
        expired = [connection for connection in idle if not connection.reusable]
        for connection in expired:
            connection.close()
        if len(expired) < len(idle):
            self._expiry_timer = self._reactor.callLater(DEFAULT_IDLE_S, self._close_expired)

    def _discard(self, endpoint: Endpoint, connection: ClientConnection) -> None:
        if connection.was_aborted:
            self._aborted_s[endpoint] = self._reactor.seconds()
        connections = self._open.get(endpoint, set())
        self._open_count -= connection in connections
        connections.discard(connection)
        if not connections:
            self._open.pop(endpoint, None)
        idle = self._idle.get(endpoint)
        if idle is not None and connection in idle:
            idle.remove(connection)
        if connection.was_aborted:
            self.on_aborted(endpoint)
