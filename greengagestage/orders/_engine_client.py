"""Client for the order interface of one engine: sends orders and reads its state."""

from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.outcomes import Unavailable, Unknown
from greengagestage.services import HttpClient, HttpResponse

from ._states import EngineState

STATE_LIMIT_BYTES = 256 * 1024
ORDERS_PATH = "/orders/state"
JSON_HEADERS = {"Content-Type": "application/json"}


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderTaken:
    """The engine accepted the order; ``state`` is the state in its answer."""

    state: EngineState


@dataclass(frozen=True, slots=True, kw_only=True)
class OldNumber:
    """The engine refused the order, since it has seen a higher fencing number."""

    state: EngineState


OrderReply = OrderTaken | OldNumber | Unavailable | Unknown


class EngineClient:
    """Calls the order interface of one engine; failed calls are not repeated."""

    def __init__(self, *, reactor: Any, url: str, timeout_s: float) -> None:
        self._http = HttpClient(reactor=reactor, base_url=url, timeout_s=timeout_s)

    def close(self) -> Deferred[Any]:
        """Close the idle connections."""
        return self._http.close()

    @inlineCallbacks
    def _read(self) -> Any:
        answer = yield self._http.send("GET", ORDERS_PATH, limit_bytes=STATE_LIMIT_BYTES)
        if not isinstance(answer, HttpResponse):
            return Unavailable(reason=answer.reason)
        state = decode_state(answer)
        if answer.status != 200 or state is None:
            return Unavailable(reason=f"unusable answer with status {answer.status}")
        return state

    def read(self) -> Deferred[EngineState | Unavailable]:
        """Read the engine's state."""
        return self._read()

    @inlineCallbacks
    def _order(self, state: EngineState) -> Any:
        answer = yield self._http.send(
            "PUT",
            ORDERS_PATH,
            body=msgspec.json.encode(state),
            headers=JSON_HEADERS,
            limit_bytes=STATE_LIMIT_BYTES,
        )
        return classify_order_answer(answer)

    def order(self, state: EngineState) -> Deferred[OrderReply]:
        """Order the engine into a complete desired state."""
        return self._order(state)


def decode_state(answer: HttpResponse) -> EngineState | None:
    """Return the state in an answer, or None if there is none."""
    try:
        return msgspec.json.decode(answer.body, type=EngineState)
    except msgspec.DecodeError:
        return None


def classify_order_answer(answer: HttpResponse | Unavailable | Unknown) -> OrderReply:
    """Return the result of an order according to its answer."""
    if not isinstance(answer, HttpResponse):
        return answer
    state = decode_state(answer)
    if answer.status == 200 and state is not None:
        return OrderTaken(state=state)
    if answer.status == 409 and state is not None:
        return OldNumber(state=state)
    reason = f"unusable answer with status {answer.status}"
    return Unavailable(reason=reason) if 400 <= answer.status < 500 else Unknown(reason=reason)
