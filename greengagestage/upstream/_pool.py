"""A pool of persistent connections to upstreams."""

import socket
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from greengagestage.services import BoundedClientProtocol

SWEEP_INTERVAL_S = 1.0
"""How often expired idle connections are closed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """Host and port on which an upstream listens."""

    host: str
    port: int

    @classmethod
    def from_url(cls, url: str) -> "Address":
        """Parse a URL of the form ``http://host:port``."""
        host, _, port = url.removeprefix("http://").rstrip("/").rpartition(":")
        return cls(host=host.strip("[]"), port=int(port))


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolLimits:
    """Limits of a connection pool; ``idle_per_address`` counts connections."""

    connect_timeout_s: float = 2.0
    idle_timeout_s: float = 15.0
    idle_per_address: int = 64


class Connection(BoundedClientProtocol):
    """A client connection that records the monotonic time at which it became idle."""

    idle_since_s = 0.0

    def __init__(self, on_idle: Callable[["Connection"], None]) -> None:
        super().__init__(on_idle)  # type: ignore[no-untyped-call]

    @property
    def reusable(self) -> bool:
        """Whether no request is in progress and the peer has neither closed nor sent anything."""
        if self.state != "QUIESCENT":
            return False
        handle = cast(Any, self.transport).getHandle()
        try:
            handle.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class _ConnectionFactory(Factory):
    noisy = False

    def __init__(self, on_idle: Callable[["Connection"], None]) -> None:
        self._on_idle = on_idle

    def buildProtocol(self, addr: object) -> Connection:  # noqa: N802
        """Build the protocol of a new connection."""
        return Connection(self._on_idle)


class ConnectionPool:
    """Provides idle or new connections and keeps those whose response ended completely.

    The pool never resends a request: the code that uses a connection decides what a failure on a
    reused one means.
    """

    def __init__(self, *, reactor: Any, limits: PoolLimits) -> None:
        self._reactor = reactor
        self._limits = limits
        self._idle: defaultdict[Address, list[Connection]] = defaultdict(list)
        self._sweep = LoopingCall(self._close_expired)
        self._sweep.clock = reactor

    def start(self) -> None:
        """Start closing expired idle connections periodically."""
        self._sweep.start(SWEEP_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stop the periodic work and close all idle connections."""
        if self._sweep.running:
            self._sweep.stop()
        for connections in self._idle.values():
            for connection in connections:
                _abort(connection)
        self._idle.clear()

    def get(self, address: Address, *, fresh: bool = False) -> Deferred[Connection]:
        """Return an idle connection or open one; with ``fresh``, always open one."""
        idle = self._idle[address]
        while idle and not fresh:
            connection = idle.pop()
            if connection.reusable:
                return succeed(connection)
            _abort(connection)
        return self._connect(address)

    def _connect(self, address: Address) -> Deferred[Connection]:
        kind = TCP6ClientEndpoint if ":" in address.host else TCP4ClientEndpoint
        endpoint = kind(
            self._reactor, address.host, address.port, timeout=self._limits.connect_timeout_s
        )

        factory = _ConnectionFactory(lambda connection: self._put_idle(address, connection))
        return cast("Deferred[Connection]", endpoint.connect(cast(Any, factory)))

    def _put_idle(self, address: Address, connection: Connection) -> None:
        idle = self._idle[address]
        if len(idle) >= self._limits.idle_per_address:
            _abort(connection)
            return
        connection.idle_since_s = self._reactor.seconds()
        idle.append(connection)

    def _close_expired(self) -> None:
        oldest_s = self._reactor.seconds() - self._limits.idle_timeout_s
        for address, connections in list(self._idle.items()):
            kept = [c for c in connections if c.idle_since_s >= oldest_s and c.reusable]
            for connection in connections:
                if connection not in kept:
                    _abort(connection)
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]


def _abort(connection: Connection) -> None:
    cast(Any, connection.transport).abortConnection()
