"""Reads the load reports of model engines."""

from typing import Any, cast

import msgspec
from msgspec import Struct
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import Agent

from greengagestage.services import BoundedConnectionPool

REPORT_LIMIT_BYTES = 64 * 1024
IDLE_CONNECTION_TIMEOUT_S = 60.0


class LoadReport(Struct, frozen=True, kw_only=True):
    """The load that an engine reports of itself, measured ``age_ms`` milliseconds ago."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    age_ms: int = 0


class _BodyReader(Protocol):
    """Collects a response body of up to ``REPORT_LIMIT_BYTES``."""

    def __init__(self) -> None:
        self.done: Deferred[bytes] = Deferred(lambda _: self.abort())
        self._data = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk, or close the connection when the body is too long."""
        self._data += data
        if len(self._data) > REPORT_LIMIT_BYTES:
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Deliver the data received; a truncated body fails to decode."""
        if not self.done.called:
            self.done.callback(self._data)

    def abort(self) -> None:
        """Close the connection, so that it is not reused."""
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()


class LoadClient:
    """Reads load reports over persistent connections, of which one per engine is kept when idle.

    Calls to the same engine may overlap; the client does not limit them.
    """

    def __init__(self, *, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._pool: Any = BoundedConnectionPool(
            reactor, idle_per_host=1, idle_timeout_s=IDLE_CONNECTION_TIMEOUT_S
        )
        self._http = cast(Any, Agent)(reactor, connectTimeout=timeout_s, pool=self._pool)

    async def read(self, url: str) -> LoadReport | None:
        """Return an engine's report, or None if the call failed or timed out."""
        try:
            call: Deferred[LoadReport | None] = Deferred.fromCoroutine(self._exchange(url))
            return await call.addTimeout(self._timeout_s, self._reactor)
        except Exception:
            return None

    def close(self) -> Deferred[Any]:
        """Close the idle connections."""
        return cast(Deferred[Any], self._pool.closeCachedConnections())

    async def _exchange(self, url: str) -> LoadReport | None:
        response = await self._http.request(b"GET", f"{url.rstrip('/')}/load".encode())
        reader = _BodyReader()
        response.deliverBody(reader)
        body = await reader.done
        return msgspec.json.decode(body, type=LoadReport) if response.code == 200 else None
