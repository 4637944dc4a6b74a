"""Translates operators' orders to engines between the command language and the reconciler."""

from greengagestage.ids import CommandId, OperatorName, UpstreamName
from greengagestage.language import (
    Artifact,
    CommandAnswer,
    Order,
    OrderArtifact,
    OrderRole,
    Row,
    build_code_answer,
)
from greengagestage.orders import (
    ArtifactChange,
    ArtifactKind,
    OrderAccepted,
    OrderCommand,
    OrderConflict,
    OrderOutcome,
    OrderRefused,
    OrderUndecided,
    Reconciler,
    RoleChange,
)
from greengagestage.outcomes import Unavailable
from greengagestage.results import ResultCode

_KINDS = {Artifact.MODEL: ArtifactKind.MODEL, Artifact.ADAPTER: ArtifactKind.ADAPTER}
_MS_PER_S = 1000


class OrderHandler:
    """Passes orders to the reconciler and lists orders and leases."""

    def __init__(self, *, reconciler: Reconciler) -> None:
        self._reconciler = reconciler

    async def run(
        self, order: Order, operator: OperatorName, command_id: CommandId, dry_run: bool
    ) -> CommandAnswer:
        """Accept an order; with ``dry_run``, only check it."""
        command = build_order_command(order, operator, command_id)
        return answer_outcome(await self._reconciler.request_order(command, dry_run), dry_run)

    async def list_rows(self, table: str) -> list[Row] | Unavailable:
        """Return the rows of the tables ``orders`` and ``leases``."""
        return await (self._list_orders() if table == "orders" else self._list_leases())

    async def _list_orders(self) -> list[Row] | Unavailable:
        orders = await self._reconciler.describe_orders()
        if isinstance(orders, Unavailable):
            return orders
        return [
            (
                item.upstream,
                item.state.value,
                ", ".join(item.models),
                ", ".join(item.adapters),
                item.role.value,
                item.fencing_number,
                item.message,
            )
            for item in orders
        ]

    async def _list_leases(self) -> list[Row] | Unavailable:
        leases = await self._reconciler.describe_leases()
        if isinstance(leases, Unavailable):
            return leases
        return [
            (
                item.name,
                item.holder,
                item.fencing_number,
                None if item.remaining_s is None else int(_MS_PER_S * item.remaining_s),
            )
            for item in leases
        ]


def build_order_command(
    order: Order, operator: OperatorName, command_id: CommandId
) -> OrderCommand:
    """Return an order as the reconciler expects it."""
    match order:
        case OrderArtifact(artifact=artifact, name=name, loaded=loaded, forced=forced):
            change = ArtifactChange(artifact=_KINDS[artifact], name=name, loaded=loaded)
            return OrderCommand(
                upstream=UpstreamName(order.upstream),
                change=change,
                operator=operator,
                command_id=command_id,
                forced=forced,
            )
        case OrderRole(role=role):
            return OrderCommand(
                upstream=UpstreamName(order.upstream),
                change=RoleChange(role=role),
                operator=operator,
                command_id=command_id,
            )


def answer_outcome(outcome: OrderOutcome, dry_run: bool) -> CommandAnswer:
    """Return the answer that tells an operator the outcome of an order."""
    match outcome:
        case OrderAccepted(intent=intent):
            note = "nothing was changed: dry run" if dry_run else "accepted, see: show orders"
            return CommandAnswer(messages=(intent.change.describe(), note))
        case OrderConflict():
            detail = (
                f"command {outcome.command_id} conflicts with {outcome.other_command_id} "
                f"of {outcome.other_operator}"
            )
            return build_code_answer(ResultCode.ORDER_REFUSED, outcome.message, detail)
        case OrderRefused(code=code, message=message):
            return build_code_answer(code, message)
        case OrderUndecided(reason=reason):
            return build_code_answer(
                ResultCode.OUTCOME_UNKNOWN, reason, "the order can safely be sent again"
            )
