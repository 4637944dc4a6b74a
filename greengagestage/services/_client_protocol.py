"""Client connections that read no more than a limit before the answer's body begins."""

from typing import Any, cast

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.web._newclient import HTTP11ClientProtocol
from twisted.web.client import HTTPConnectionPool

from greengagestage.http1 import MAX_RESPONSE_HEAD_BYTES


class BoundedClientProtocol(HTTP11ClientProtocol):
    """A client connection that is aborted if the head of an answer has no end.

    Twisted limits the length of a line, but not the number of lines, nor of interim answers.
    """

    _awaits_head = False
    _head_bytes = 0

    def request(self, request: Any) -> Deferred[Any]:
        """Send a request; the result fires with the head of its answer."""
        self._awaits_head, self._head_bytes = True, 0
        answer: Deferred[Any] = super().request(request)  # type: ignore[no-untyped-call]
        return answer.addBoth(self._end_head)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes; abort the connection once the head exceeds the limit."""
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        if self._awaits_head:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
                self._awaits_head = False
                cast(Any, self.transport).abortConnection()

    def _end_head(self, result: Any) -> Any:
        self._awaits_head = False
        return result


class _ConnectionFactory(Factory):
    """Builds the connections of a pool, with the interface that Twisted's pool expects."""

    noisy = False

    def __init__(self, on_idle: Any, metadata: Any) -> None:
        self._on_idle = on_idle
        self._metadata = metadata

    def __repr__(self) -> str:
        return f"_ConnectionFactory({self._metadata!r})"

    def buildProtocol(self, addr: Any) -> BoundedClientProtocol:  # noqa: N802
        """Build the protocol of a new connection."""
        build: Any = BoundedClientProtocol
        connection: BoundedClientProtocol = build(self._on_idle)
        return connection


class BoundedConnectionPool(HTTPConnectionPool):
    """A pool of such connections, which never sends a request again by itself.

    Args:
        idle_per_host: Number of idle connections kept for one server.
        idle_timeout_s: Time after which an idle connection is closed.
    """

    _factory = cast(Any, _ConnectionFactory)

    def __init__(self, reactor: Any, *, idle_per_host: int, idle_timeout_s: float) -> None:
        super().__init__(reactor, persistent=True)  # type: ignore[no-untyped-call]
        self.retryAutomatically = False
        self.maxPersistentPerHost = idle_per_host
        self.cachedConnectionTimeout = cast(Any, idle_timeout_s)
