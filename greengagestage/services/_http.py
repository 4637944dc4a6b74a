"""An HTTP client for one server: single attempts with limits on time, size and concurrency."""

from dataclasses import dataclass
from typing import Any, cast

from twisted.internet import error
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import Agent, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

from greengagestage.outcomes import Unavailable, Unknown

from ._body import BytesProducer
from ._client_protocol import BoundedConnectionPool

IDLE_CONNECTION_TIMEOUT_S = 20.0
MAX_IDLE_CONNECTIONS_PER_HOST = 4
MAX_REQUESTS_IN_FLIGHT = 64
CONNECT_TIMEOUT_SHARE = 0.5
"""Fraction of a call's timeout after which connecting fails. It is below 1 so that a call that
times out while it connects is known not to have been sent."""

CONNECT_ERRORS = (error.ConnectError, error.TimeoutError, error.NoRouteError)
"""Failures to connect, which prove that the request was not sent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A response whose body was received completely."""

    status: int
    headers: Headers
    body: bytes


class BodyTooLargeError(Exception):
    """The response body is larger than the limit."""


class _BodyReader(Protocol):
    """Collects a response body up to a limit."""

    def __init__(self, *, limit_bytes: int, done: Deferred[bytes]) -> None:
        self._limit_bytes = limit_bytes
        self._done = done
        self._chunks: list[bytes] = []
        self._length = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk, or fail and close the connection once the body exceeds the limit."""
        self._length += len(data)
        if self._length <= self._limit_bytes:
            self._chunks.append(data)
            return
        self._chunks.clear()
        self._fail(Failure(BodyTooLargeError()))  # type: ignore[no-untyped-call]
        self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Deliver the body if the response was framed and complete, otherwise fail."""
        if self._done.called:
            return
        if isinstance(reason.value, ResponseDone):
            self._done.callback(b"".join(self._chunks))
        else:
            self._fail(reason)

    def abort(self) -> None:
        """Close the connection so that it is not reused."""
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()

    def _fail(self, reason: Failure) -> None:
        if not self._done.called:
            self._done.errback(reason)


def read_body(response: IResponse, limit_bytes: int) -> Deferred[bytes]:
    """Read a whole response body; fail if it is truncated or larger than ``limit_bytes``."""
    done: Deferred[bytes] = Deferred(lambda _: reader.abort())
    reader = _BodyReader(limit_bytes=limit_bytes, done=done)
    cast(Any, response).deliverBody(reader)
    return done


def create_pool(reactor: Any) -> BoundedConnectionPool:
    """Return a connection pool that keeps a few idle connections and never retries a request."""
    return BoundedConnectionPool(
        reactor,
        idle_per_host=MAX_IDLE_CONNECTIONS_PER_HOST,
        idle_timeout_s=IDLE_CONNECTION_TIMEOUT_S,
    )


class HttpClient:
    """Sends single requests to one server: a service of the platform or an engine.

    Twisted's automatic retries are turned off: only the caller knows whether a call may be
    repeated.
    """

    def __init__(self, *, reactor: Any, base_url: str, timeout_s: float) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._in_flight = 0
        self._pool = create_pool(reactor)
        self._agent = cast(Any, Agent)(
            reactor, connectTimeout=timeout_s * CONNECT_TIMEOUT_SHARE, pool=self._pool
        )

    def close(self) -> Deferred[Any]:
        """Close the idle connections."""
        closing: Any = self._pool.closeCachedConnections()  # type: ignore[no-untyped-call]
        return cast(Deferred[Any], closing)

    @inlineCallbacks
    def send(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        limit_bytes: int,
    ) -> Any:
        """Send one request.

        Returns:
            An ``HttpResponse`` of any status; ``Unavailable`` if the request was certainly not
            sent; ``Unknown`` if it may have been sent and no complete response arrived.
        """
        if self._in_flight >= MAX_REQUESTS_IN_FLIGHT:
            return Unavailable(reason="too many calls in flight")
        self._in_flight += 1
        try:
            call = self._exchange(method, path, body, headers or {}, limit_bytes)
            call.addTimeout(self._timeout_s, self._reactor)
            result = yield call
            return result
        except CONNECT_ERRORS as failure:
            return Unavailable(reason=type(failure).__name__)
        except Exception as failure:
            return Unknown(reason=type(failure).__name__)
        finally:
            self._in_flight -= 1

    @inlineCallbacks
    def _exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        limit_bytes: int,
    ) -> Any:
        producer = None if body is None else BytesProducer(body)
        sent_headers = Headers({name: [value] for name, value in headers.items()})
        url = (self._base_url + path).encode()
        response = yield self._agent.request(method.encode(), url, sent_headers, producer)
        content = yield read_body(response, limit_bytes)
        return HttpResponse(status=response.code, headers=response.headers, body=content)


def classify_error_status(status: int) -> Unavailable | Unknown:
    """Return the outcome of a call with an error status: only a 4xx proves that it did nothing."""
    reason = f"status {status}"
    return Unavailable(reason=reason) if 400 <= status < 500 else Unknown(reason=reason)
