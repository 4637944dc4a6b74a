"""Orders to a stand-in engine, which checks or ignores their fencing numbers."""

from enum import Enum

from msgspec import Struct


class Fencing(Enum):
    """Whether the engine refuses orders with an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


class OrdersState(Struct, frozen=True, kw_only=True):
    """The models, adapters and role that an order sets, with its fencing number."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
    fencing_number: int = 0


class Orders:
    """The current state and every order received."""

    def __init__(self, *, state: OrdersState, fencing: Fencing) -> None:
        self.state = state
        self.received: list[OrdersState] = []
        self._fencing = fencing

    def apply(self, order: OrdersState) -> bool:
        """Apply an order; return whether it was accepted."""
        self.received.append(order)
        if self._fencing is Fencing.CHECKED and order.fencing_number < self.state.fencing_number:
            return False
        self.state = order
        return True
