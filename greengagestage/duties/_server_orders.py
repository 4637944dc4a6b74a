"""The orders of servers that this host has sent, and what they say about the engines.

The module does no I/O and reads no clock.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from greengagestage.ids import FailureDomain

from ._capacity_placement import EnginePool
from ._capacity_plan import PoolState

BOOT_SLACK_S = 3.0
"""Time after the boot time in which a new server appears in the registry."""

REGISTRY_DELAY_S = 3.0
"""Time in which the registry shows that servers are drained."""

FIRST_RETRY_S = 2.0
LAST_RETRY_S = 8.0
"""Time after a refused order until more servers are ordered again. It doubles with each refusal."""

MAX_DOUBTFUL = 2
"""After this many refused orders of more servers, an order of the present ones shows whether the
platform has refused the token, before any other order. A refused token is thus used at most three
times."""

UNANSWERED_RETRY_S = 1.0
"""Time after which an order without a response is repeated."""


class OrderResponse(Enum):
    """What is known about an order.

    Attributes:
        NONE: It was not sent yet, or has no response yet.
        ACCEPTED: The platform has executed it.
        REFUSED: There are no servers, or the fencing token is too low.
        BUSY: It had no effect, because of too many calls.
        UNANSWERED: It may have been executed, or may be executed later.
    """

    NONE = "none"
    ACCEPTED = "accepted"
    REFUSED = "refused"
    BUSY = "busy"
    UNANSWERED = "unanswered"


@dataclass(slots=True, kw_only=True)
class _PoolOrders:
    """The orders for one pool.

    Attributes:
        accepted: Count of the last accepted order; None before any.
        accepted_s: Time of its response.
        raised_s: Time since when servers are expected to boot.
        seen: Largest number of serving engines since then.
        sent: Count of the last order; None before any.
        sent_s: Time of sending it.
        response: Response to it.
        refusals: Number of refused orders of more servers in a row.
        retry_s: No more servers are ordered before this time.
    """

    accepted: int | None = None
    accepted_s: float = 0.0
    raised_s: float = 0.0
    seen: int = 0
    sent: int | None = None
    sent_s: float = 0.0
    response: OrderResponse = OrderResponse.NONE
    refusals: int = 0
    retry_s: float = 0.0


class ServerOrders:
    """Tracks the orders for one service that were sent under one fencing token.

    Args:
        boot_time_s: Time from an order until a new server serves.
        begun_s: Time at which this host began to send orders.

    Attributes:
        is_token_refused: Whether the platform has refused the token. A refused order of more
            servers does not show that, since there may be none; a refused order of the servers
            that are present does.
    """

    def __init__(self, *, boot_time_s: float, begun_s: float) -> None:
        self.boot_time_s = boot_time_s
        self.is_token_refused = False
        self._begun_s = begun_s
        self._pools: dict[EnginePool, _PoolOrders] = {}
        # Refusals that may have been because of the token, which counts for both pools of a domain.
        self._doubtful: dict[FailureDomain, list[EnginePool]] = {}

    def describe(
        self,
        serving: Mapping[EnginePool, int],
        reclaimed: Mapping[EnginePool, int],
        now_s: float,
    ) -> dict[EnginePool, PoolState]:
        """Return the state of all pools.

        Args:
            serving: Numbers of engines that the registry shows as ready.
            reclaimed: Numbers of engines that it shows with a time at which they leave. They are
                not counted where orders explain that engines leave.
        """
        states = {}
        for pool in {*serving, *reclaimed, *self._pools}:
            ready = serving.get(pool, 0)
            orders = self._get(pool)
            orders.seen = max(orders.seen, ready)
            booting, lost = 0, reclaimed.get(pool, 0)
            if orders.accepted is not None:
                lost = min(lost, max(orders.accepted - ready, 0))
                if now_s - orders.raised_s < self.boot_time_s + BOOT_SLACK_S:
                    booting = max(orders.accepted - orders.seen, 0)
                if now_s - orders.accepted_s < REGISTRY_DELAY_S:
                    ready = min(ready, orders.accepted)
            states[pool] = PoolState(
                serving=ready,
                booting=booting,
                reclaimed=lost,
                blocked=now_s < orders.retry_s,
            )
        return states

    def choose_count(
        self, pool: EnginePool, wanted: int, state: PoolState, now_s: float
    ) -> int | None:
        """Return the count to order for a pool now; None if no order is due."""
        orders = self._get(pool)
        is_unanswered = orders.response is OrderResponse.UNANSWERED
        if is_unanswered and now_s - orders.sent_s < UNANSWERED_RETRY_S:
            return None
        if sum(map(len, self._doubtful.values())) >= MAX_DOUBTFUL:
            return state.present if pool == next(iter(self._doubtful.values()))[-1] else None
        if wanted > state.present:
            return None if now_s < orders.retry_s else wanted
        if is_unanswered and orders.sent is not None:
            return orders.sent if orders.sent < state.present else wanted
        if wanted < state.present:
            return wanted
        # A late call of the former holder has a lower token than this order, and has no effect.
        is_settled = now_s - self._begun_s >= self.boot_time_s + BOOT_SLACK_S
        return wanted if orders.accepted is None and is_settled else None

    def record_sent(self, pool: EnginePool, count: int, now_s: float) -> None:
        """Record that an order is about to be sent."""
        orders = self._get(pool)
        orders.sent, orders.sent_s = count, now_s
        orders.response = OrderResponse.NONE

    def record_response(
        self, pool: EnginePool, response: OrderResponse, state: PoolState, now_s: float
    ) -> None:
        """Record the response to the last order.

        Args:
            state: State of the pool when the order was sent.
        """
        orders = self._get(pool)
        orders.response = response
        assert orders.sent is not None
        more = orders.sent > state.present
        match response:
            case OrderResponse.ACCEPTED:
                if more:
                    orders.refusals, orders.raised_s, orders.seen = 0, now_s, state.serving
                orders.accepted, orders.accepted_s = orders.sent, now_s
                self._doubtful.pop(pool.domain, None)
            case OrderResponse.REFUSED if more:
                delay_s = min(FIRST_RETRY_S * 2**orders.refusals, LAST_RETRY_S)
                orders.refusals += 1
                orders.retry_s = now_s + delay_s
                self._doubtful.setdefault(pool.domain, []).append(pool)
            case OrderResponse.REFUSED:
                self.is_token_refused = True
            case _:
                pass

    def count_ordered(self) -> dict[EnginePool, int]:
        """Return the count of the last accepted order of each pool."""
        return {
            pool: orders.accepted
            for pool, orders in self._pools.items()
            if orders.accepted is not None
        }

    def _get(self, pool: EnginePool) -> _PoolOrders:
        return self._pools.setdefault(pool, _PoolOrders())
