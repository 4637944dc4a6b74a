"""HTTP clients for model engines and plain HTTP services."""

from ._attempts import (
    AttemptFailure,
    EngineAttempt,
    EngineListener,
    ServiceAttempt,
    ServiceListener,
)
from ._completion_stream import (
    CompletionChunk,
    CompletionStreamReader,
    MalformedStreamError,
    decode_chunk,
)
from ._event_stream import EventStreamParser, EventTooLargeError, ServerSentEvent
from ._exchange import Exchange, ExchangeListener, ResponseHead, SilenceLimits
from ._pool import Address, ConnectionPool, PoolLimits
from ._request import Header, OutboundRequest

__all__ = [
    "Address",
    "AttemptFailure",
    "CompletionChunk",
    "CompletionStreamReader",
    "ConnectionPool",
    "EngineAttempt",
    "EngineListener",
    "EventStreamParser",
    "EventTooLargeError",
    "Exchange",
    "ExchangeListener",
    "Header",
    "MalformedStreamError",
    "OutboundRequest",
    "PoolLimits",
    "ResponseHead",
    "ServerSentEvent",
    "ServiceAttempt",
    "ServiceListener",
    "SilenceLimits",
    "decode_chunk",
]
