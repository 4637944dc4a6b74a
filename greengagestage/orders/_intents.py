"""Stores operators' orders in the table as intents, which hold an engine's desired state."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any

import msgspec
from eliot import log_message
from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.configuration import Upstream, UpstreamKind
from greengagestage.ids import FencingNumber, UpstreamName
from greengagestage.outcomes import Unavailable, Unknown
from greengagestage.results import ResultCode
from greengagestage.services import Check, Committed, Conflict, Operation, Put, Row, TableClient

from ._outcomes import OrderAccepted, OrderConflict, OrderOutcome, OrderRefused, OrderUndecided
from ._states import (
    ArtifactChange,
    ArtifactKind,
    Intent,
    OrderCommand,
    apply_order_change,
    contradicts,
    declared_state,
    intent_key,
)

WRITE_TRIES = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownIntent:
    """A declared engine together with its intent, as read from the table."""

    upstream: Upstream
    row: Row
    intent: Intent | None

    def has_model(self, name: str) -> bool:
        """Whether this engine certainly has a model loaded and is to keep it."""
        if self.intent is None:
            return name in self.upstream.models
        return self.intent.settled and name in self.intent.models


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The intent that an order results in, and the transaction that writes it."""

    intent: Intent
    operations: tuple[Operation, ...]


def read_intent(row: Row) -> Intent | None:
    """Return the intent of a row, or None when there is none that can be read."""
    try:
        return row.decode(Intent)
    except msgspec.DecodeError:
        return None


def plan_intent(
    command: OrderCommand, target: KnownIntent, others: Collection[KnownIntent]
) -> Plan | OrderOutcome:
    """Return the transaction for an order, or the outcome if nothing is to be written."""
    current = target.intent
    if target.row.exists and current is None:
        return OrderRefused(code=ResultCode.ORDER_REFUSED, message="The intent cannot be read")
    if current is not None and current.command_id == command.command_id:
        return OrderAccepted(intent=current)
    if current is not None and contradicts_unsettled(command, current):
        return describe_conflict(command, current)
    intent = build_intent(command, target)
    put = Put(key=target.row.key, value=intent, expect=target.row.revision)
    if command.forced or not removes_wanted_model(command, target):
        return Plan(intent=intent, operations=(put,))
    remaining = find_remaining_copy(get_artifact_name(command), others)
    if remaining is None:
        message = f"{command.upstream} has the last copy of {get_artifact_name(command)}"
        return OrderRefused(code=ResultCode.ORDER_REFUSED, message=message)
    check = Check(key=remaining.row.key, expect=remaining.row.revision)
    return Plan(intent=intent, operations=(put, check))


def contradicts_unsettled(command: OrderCommand, current: Intent) -> bool:
    """Whether an order that is not forced undoes an earlier one that is not settled yet."""
    unsettled = not current.settled and not command.forced
    return unsettled and contradicts(command.change, current.change)


def describe_conflict(command: OrderCommand, current: Intent) -> OrderConflict:
    """Return a conflict that names both orders."""
    message = (
        f"order {command.command_id} ({command.change.describe()}) conflicts with order "
        f"{current.command_id} of {current.operator} ({current.change.describe()})"
    )
    return OrderConflict(
        command_id=command.command_id,
        other_command_id=current.command_id,
        other_operator=current.operator,
        message=message,
    )


def build_intent(command: OrderCommand, target: KnownIntent) -> Intent:
    """Return the intent after an order; no lease holder has adopted it yet."""
    current = target.intent
    before = current.state if current else declared_state(target.upstream)
    after = apply_order_change(before, command.change)
    return Intent(
        models=after.models,
        adapters=after.adapters,
        role=after.role,
        fencing_number=current.fencing_number if current else FencingNumber(0),
        command_id=command.command_id,
        operator=command.operator,
        change=command.change,
    )


def unloads_model(command: OrderCommand) -> bool:
    """Whether an order unloads a model."""
    match command.change:
        case ArtifactChange(artifact=ArtifactKind.MODEL, loaded=False):
            return True
        case _:
            return False


def removes_wanted_model(command: OrderCommand, target: KnownIntent) -> bool:
    """Whether an order unloads a model that its engine has or is about to have."""
    current = target.intent.models if target.intent else target.upstream.models
    return unloads_model(command) and get_artifact_name(command) in current


def get_artifact_name(command: OrderCommand) -> str:
    """Return the name of the artifact that an order changes, or "" for a role change."""
    return command.change.name if isinstance(command.change, ArtifactChange) else ""


def find_remaining_copy(model: str, others: Collection[KnownIntent]) -> KnownIntent | None:
    """Return another engine that has a model and is not draining.

    The unload is made conditional on the row of this engine. Otherwise two concurrent orders
    could unload the last two copies, each relying on the other copy.
    """
    for other in others:
        if other.has_model(model) and not other.upstream.draining:
            return other
    return None


class IntentStore:
    """Validates orders and writes their intents. Any host can do this, with or without a lease."""

    def __init__(
        self,
        *,
        table: TableClient,
        upstreams: Callable[[], Collection[Upstream]],
        is_leaving: Callable[[UpstreamName], bool],
    ) -> None:
        self._table = table
        self._upstreams = upstreams
        self._is_leaving = is_leaving

    @inlineCallbacks
    def _request(self, command: OrderCommand, dry_run: bool) -> Any:
        engines = {x.name: x for x in self._upstreams() if x.kind is UpstreamKind.ENGINE}
        if command.upstream not in engines:
            message = f"No engine {command.upstream!r} is declared"
            return OrderRefused(code=ResultCode.UNKNOWN_NAME, message=message)
        conflict = None
        for _ in range(WRITE_TRIES):
            known = yield self._read_intents(command, engines)
            if isinstance(known, Unavailable):
                return OrderRefused(code=ResultCode.STORE_UNAVAILABLE, message=known.reason)
            plan = plan_intent(command, known[0], known[1:])
            if not isinstance(plan, Plan):
                return plan
            if dry_run:
                return OrderAccepted(intent=plan.intent)
            outcome = yield self._write(plan)
            if not isinstance(outcome, Conflict):
                return outcome
            conflict = outcome
        return build_conflict_outcome(command, conflict)

    def request(self, command: OrderCommand, dry_run: bool = False) -> Deferred[OrderOutcome]:
        """Write an order's intent, or return why it was not written.

        With ``dry_run``, nothing is written: the result is what the order would lead to.
        """
        return self._request(command, dry_run)

    @inlineCallbacks
    def _read_intents(self, command: OrderCommand, engines: dict[UpstreamName, Upstream]) -> Any:
        """Read the target's intent and, for an unload, those of possible other copies."""
        names = [command.upstream]
        if unloads_model(command) and not command.forced:
            names += [x for x in engines if x not in names and not self._is_leaving(x)]
        rows = yield self._table.read_keys([intent_key(name) for name in names])
        if isinstance(rows, Unavailable):
            return rows
        return [
            KnownIntent(upstream=engines[name], row=row, intent=read_intent(row))
            for name, row in zip(names, rows, strict=True)
        ]

    @inlineCallbacks
    def _write(self, plan: Plan) -> Any:
        outcome = yield self._table.transact(plan.operations)
        match outcome:
            case Committed():
                log_message(message_type="orders: accepted", command=plan.intent.command_id)
                return OrderAccepted(intent=plan.intent)
            case Unavailable(reason=reason):
                return OrderRefused(code=ResultCode.STORE_UNAVAILABLE, message=reason)
            case Unknown():
                return (yield self._read_back(plan))
            case _:
                return outcome

    @inlineCallbacks
    def _read_back(self, plan: Plan) -> Any:
        """Read the row to find out whether a write whose answer was lost took effect."""
        row = yield self._table.read_row(plan.operations[0].key)
        if not isinstance(row, Unavailable):
            intent = read_intent(row)
            if intent is not None and intent.command_id == plan.intent.command_id:
                return OrderAccepted(intent=intent)
        return OrderUndecided(reason="the table's answer was lost")


def build_conflict_outcome(command: OrderCommand, conflict: Conflict | None) -> OrderOutcome:
    """Return the outcome of an order whose every write was refused by a concurrent write.

    A conflict names the order in the target's row. If only the check of another engine's row
    failed, that order was there before.
    """
    current = read_intent(conflict.rows[0]) if conflict else None
    if current is not None:
        return describe_conflict(command, current)
    return OrderRefused(code=ResultCode.ORDER_REFUSED, message="Other orders were written first")
