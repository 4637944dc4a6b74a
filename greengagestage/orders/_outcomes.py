"""The possible outcomes of an operator's order."""

from dataclasses import dataclass

from greengagestage.ids import CommandId, OperatorName
from greengagestage.results import ResultCode

from ._states import Intent


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderAccepted:
    """The desired state is written; the lease holder sends orders for it until it is settled."""

    intent: Intent


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderConflict:
    """Another operator's order conflicts with this one, which had no effect."""

    command_id: CommandId
    other_command_id: CommandId
    other_operator: OperatorName
    message: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRefused:
    """The order certainly had no effect."""

    code: ResultCode
    message: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderUndecided:
    """Whether the order took effect is not known; sending it again is harmless."""

    reason: str


OrderOutcome = OrderAccepted | OrderConflict | OrderRefused | OrderUndecided
