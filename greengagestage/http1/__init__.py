"""HTTP/1.1 connections to upstreams and from callers, with framing checked by h11."""

from ._callers import CallerListener, ObservedConnection
from ._client import (
    ClientConnection,
    Exchange,
    ExchangeFailure,
    OutgoingRequest,
    ResponseHead,
    ResponseListener,
)
from ._pool import ConnectionPool, Endpoint
from ._server import (
    CallerConnection,
    IncomingRequest,
    LimitExceeded,
    Responder,
    ServerFactory,
)
from ._types import HeaderList

__all__ = [
    "CallerConnection",
    "CallerListener",
    "ClientConnection",
    "ConnectionPool",
    "Endpoint",
    "Exchange",
    "ExchangeFailure",
    "HeaderList",
    "IncomingRequest",
    "LimitExceeded",
    "ObservedConnection",
    "OutgoingRequest",
    "Responder",
    "ResponseHead",
    "ResponseListener",
    "ServerFactory",
]
