"""The states of a request and the transitions allowed between them."""

from enum import Enum


class RequestState(Enum):
    """The state of a request between its arrival and its final answer."""

    RECEIVED = "received"
    CLAIMING = "claiming"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    STREAMING = "streaming"
    DELIVERED = "delivered"
    REPLAYED = "replayed"
    REFUSED = "refused"
    FAILED = "failed"


FINAL_STATES = frozenset(
    {
        RequestState.DELIVERED,
        RequestState.REPLAYED,
        RequestState.REFUSED,
        RequestState.FAILED,
    }
)

TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.RECEIVED: frozenset(
        {RequestState.CLAIMING, RequestState.QUEUED, RequestState.REFUSED}
    ),
    RequestState.CLAIMING: frozenset(
        {
            RequestState.QUEUED,
            RequestState.REPLAYED,
            RequestState.REFUSED,
            RequestState.FAILED,
        }
    ),
    RequestState.QUEUED: frozenset(
        {RequestState.DISPATCHED, RequestState.REFUSED, RequestState.FAILED}
    ),
    RequestState.DISPATCHED: frozenset(
        {
            RequestState.STREAMING,
            RequestState.QUEUED,
            RequestState.DELIVERED,
            RequestState.REFUSED,
            RequestState.FAILED,
        }
    ),
    RequestState.STREAMING: frozenset(
        {RequestState.QUEUED, RequestState.DELIVERED, RequestState.FAILED}
    ),
    RequestState.DELIVERED: frozenset(),
    RequestState.REPLAYED: frozenset(),
    RequestState.REFUSED: frozenset(),
    RequestState.FAILED: frozenset(),
}


class InvalidTransitionError(Exception):
    """A transition that ``TRANSITIONS`` does not allow."""

    def __init__(self, *, source: RequestState, target: RequestState) -> None:
        super().__init__(f"{source.value} -> {target.value}")
        self.source = source
        self.target = target


def check_transition(*, source: RequestState, target: RequestState) -> None:
    """Raise ``InvalidTransitionError`` unless ``TRANSITIONS`` allows the transition."""
    if target not in TRANSITIONS[source]:
        raise InvalidTransitionError(source=source, target=target)
