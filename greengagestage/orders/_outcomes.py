"""The possible outcomes of an operator's order."""

from dataclasses import dataclass

from greengagestage.ids import CommandId, OperatorName
from greengagestage.results import ResultCode

from ._states import Intent


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderAccepted:
    """The desired state is written; the lease holder sends orders for it until it is settled.

    In a dry run, it is the state that would be written.
    """

    intent: Intent


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderConflict:
    """The order had no effect, because of another order for the same engine.

    Attributes:
        other_command_id: The order that is stored for the engine.
        other_operator: The operator of that order; it may be the same operator.
    """

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
