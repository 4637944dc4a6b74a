"""Descriptions of orders and leases for operators."""

from collections.abc import Mapping, Sequence

from msgspec import Struct

from greengagestage.configuration import EngineRole
from greengagestage.ids import FencingNumber, HostId, UpstreamName
from greengagestage.services import Row

from ._adoption import OrderState
from ._intents import read_intent
from ._lease import read_lease


class OrderDescription(Struct, frozen=True, kw_only=True):
    """The order for one engine."""

    upstream: UpstreamName
    state: OrderState
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: EngineRole
    fencing_number: FencingNumber
    message: str = ""


class LeaseDescription(Struct, frozen=True, kw_only=True):
    """One lease; ``remaining_s`` is None unless this host holds it."""

    name: str
    holder: HostId
    fencing_number: FencingNumber
    remaining_s: float | None = None


def describe_orders(
    rows: Sequence[Row], known: Mapping[UpstreamName, tuple[OrderState, str]]
) -> tuple[OrderDescription, ...]:
    """Return the orders of intent rows, with the progress that this host knows of."""
    described = []
    for row in rows:
        intent = read_intent(row)
        if intent is None:
            continue
        name = UpstreamName(row.key.partition("/")[2])
        state, message = known.get(name, (OrderState.PENDING, ""))
        order = OrderDescription(
            upstream=name,
            state=OrderState.SETTLED if intent.settled else state,
            models=intent.models,
            adapters=intent.adapters,
            role=intent.role,
            fencing_number=intent.fencing_number,
            message="" if intent.settled else message,
        )
        described.append(order)
    return tuple(described)


def describe_leases(rows: Sequence[Row], held: Mapping[str, float]) -> tuple[LeaseDescription, ...]:
    """Return the leases of lease rows."""
    described = []
    for row in rows:
        lease = read_lease(row)
        if lease is not None:
            name = row.key.partition("/")[2]
            described.append(
                LeaseDescription(
                    name=name,
                    holder=lease.holder,
                    fencing_number=lease.fencing_number,
                    remaining_s=held.get(name),
                )
            )
    return tuple(described)
