"""HTTP/1.1 client and server connections; h11 parses and validates the framing.

The package ``upstream`` is a separate client based on Twisted's, with some classes of the same
names.
"""

from ._callers import CallerListener, ObservedConnection
from ._client import (
    MAX_RESPONSE_HEAD_BYTES,
    ClientConnection,
    Exchange,
    ExchangeFailure,
    OutgoingRequest,
    ResponseHead,
    ResponseListener,
)
from ._listeners import close_listener
from ._memory import MemoryAccount, compute_held_limit
from ._memory_watch import MemoryWatch
from ._piece_buffer import PieceBuffer
from ._pool import ConnectionPool, Endpoint
from ._requests import IncomingRequest, LimitExceeded, Responder
from ._server import CallerConnection, ServerFactory
from ._sockets import (
    count_unsent_bytes,
    end_sending,
    has_unread_bytes,
    limit_buffers,
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
    "MAX_RESPONSE_HEAD_BYTES",
    "ObservedConnection",
    "MemoryAccount",
    "MemoryWatch",
    "OutgoingRequest",
    "PieceBuffer",
    "Responder",
    "ResponseHead",
    "ResponseListener",
    "ServerFactory",
    "close_listener",
    "compute_held_limit",
    "count_unsent_bytes",
    "end_sending",
    "has_unread_bytes",
    "limit_buffers",
]
