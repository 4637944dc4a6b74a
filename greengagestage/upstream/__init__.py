"""HTTP client of the entry process for model engines and plain services, on Twisted's client.

The package ``http1`` is independent of it. Its classes of the same names, such as ``Exchange`` and
``ConnectionPool``, belong to the clients and servers that use h11.
"""

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
