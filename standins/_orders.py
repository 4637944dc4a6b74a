"""Orders to a stand-in engine, with fencing numbers honoured or ignored."""

from enum import Enum

from msgspec import Struct


class Fencing(Enum):
    """What the engine does with an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


class OrdersState(Struct, frozen=True, kw_only=True):
    """What the engine is ordered to be."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
    fencing_number: int = 0


class Orders:
    """The state in force and every order that came."""

    def __init__(self, *, state: OrdersState, fencing: Fencing) -> None:
        self.state = state
        self.received: list[OrdersState] = []
        self._fencing = fencing

    def apply(self, order: OrdersState) -> bool:
        """Take an order over; tell whether it was taken."""
        self.received.append(order)
        if self._fencing is Fencing.CHECKED and order.fencing_number < self.state.fencing_number:
            return False
        self.state = order
        return True
