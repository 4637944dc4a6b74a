"""Runs operators' commands."""

import time
import uuid

from eliot import log_message
from msgspec.structs import replace
from returns.result import Failure, Result, Success

from greengagestage.configuration import (
    Declaration,
    Fault,
    check_declaration,
    compare_declarations,
    decode_declaration,
    read_checked_declaration,
)
from greengagestage.ids import CommandId, ConfigurationVersion, OperatorName, RequestId
from greengagestage.language import (
    SCHEMAS,
    Change,
    CommandAnswer,
    CommandRequest,
    Explain,
    Help,
    LanguageFault,
    OrderArtifact,
    OrderRole,
    Row,
    Show,
    Subject,
    apply_change,
    arrange_rows,
    build_code_answer,
    build_fault_answer,
    check_show,
    describe_topic,
    parse,
    select_rows,
)
from greengagestage.outcomes import Unavailable
from greengagestage.results import ResultCode

from ._configuration_store import (
    Acceptance,
    Accepted,
    ConfigurationStore,
    HeadState,
    NotAccepted,
    Proposal,
    Undecided,
    VersionConflict,
)
from ._configuration_watch import ConfigurationWatch
from ._host_view import HostView
from ._orders import OrderHandler
from ._queries import QueryService

MAX_LISTED_LINES = 200


class CommandRunner:
    """Parses, checks and runs commands."""

    def __init__(
        self,
        *,
        host_view: HostView,
        queries: QueryService,
        store: ConfigurationStore,
        watch: ConfigurationWatch,
        orders: OrderHandler,
    ) -> None:
        self._orders = orders
        self._host_view = host_view
        self._queries = queries
        self._store = store
        self._watch = watch

    async def run(self, request: CommandRequest, operator: OperatorName) -> CommandAnswer:
        """Run a command and return its answer, with the version in force on this host."""
        match parse(request.text):
            case Failure(LanguageFault() as fault):
                answer = build_fault_answer(fault, request.text)
            case Success(command):
                log_message("operators: command", operator=operator, text=request.text)
                answer = await self._run_command(command, request, operator)
            case _:
                answer = build_code_answer(ResultCode.INTERNAL_ERROR)
        return replace(answer, version=self._watch.adoption.version)

    async def apply_text(
        self, toml: str, request: CommandRequest, operator: OperatorName, *, first_only: bool
    ) -> CommandAnswer:
        """Make a complete declaration the next version; with ``first_only``, only the first."""
        match read_checked_declaration(toml):
            case Success(Declaration() as declaration):
                answer = await self._apply(declaration, request, operator, first_only)
            case Failure(faults):
                answer = _answer_faults(faults)
            case _:
                answer = build_code_answer(ResultCode.INTERNAL_ERROR)
        return replace(answer, version=self._watch.adoption.version)

    async def _apply(
        self,
        declaration: Declaration,
        request: CommandRequest,
        operator: OperatorName,
        first_only: bool,
    ) -> CommandAnswer:
        head = await self._store.read_head()
        if isinstance(head, Unavailable):
            return build_code_answer(ResultCode.STORE_UNAVAILABLE, head.reason)
        if first_only and head.row is not None:
            reason = f"version {head.version} already declares the operators"
            return build_code_answer(ResultCode.UNKNOWN_OPERATOR, reason)
        return await self._propose(declaration, head, request, operator)

    async def _run_command(
        self, command: object, request: CommandRequest, operator: OperatorName
    ) -> CommandAnswer:
        match command:
            case Show():
                return await self._show(command, request.text)
            case Explain():
                return await self._explain(command, request.text)
            case Help(topic=topic):
                return CommandAnswer(messages=tuple(describe_topic(topic)))
            case OrderArtifact() | OrderRole():
                command_id = request.command_id or create_command_id()
                return await self._orders.run(command, operator, command_id, request.dry_run)
            case _:
                return await self._change(command, request, operator)  # type: ignore[arg-type]

    async def _show(self, show: Show, text: str) -> CommandAnswer:
        match check_show(show):
            case Failure(LanguageFault() as fault):
                return build_fault_answer(fault, text)
        if SCHEMAS[show.table].per_host:
            gathered = await self._queries.gather(text)
            shown = arrange_rows(show, gathered.rows)
            return CommandAnswer(
                columns=shown.columns, rows=shown.rows, silent_hosts=gathered.silent_hosts
            )
        rows = await self._list_rows(show.table)
        if isinstance(rows, Unavailable):
            return build_code_answer(ResultCode.STORE_UNAVAILABLE, rows.reason)
        shown = arrange_rows(show, select_rows(show, rows, time.time()))
        return CommandAnswer(columns=shown.columns, rows=shown.rows)

    async def _list_rows(self, table: str) -> list[Row] | Unavailable:
        if table in ("orders", "leases"):
            return await self._orders.list_rows(table)
        return await self._host_view.list_rows(table)

    async def _explain(self, explain: Explain, text: str) -> CommandAnswer:
        if explain.subject is Subject.UPSTREAM:
            lines = self._host_view.explain_upstream(explain.name)
            if lines is None:
                return build_code_answer(
                    ResultCode.UNKNOWN_NAME, f"upstream {explain.name!r} is not declared"
                )
            return CommandAnswer(messages=lines)
        own = self._host_view.explain_request(RequestId(explain.name))
        if own is not None:
            return CommandAnswer(messages=own)
        gathered = await self._queries.gather(text)
        if gathered.rows:
            return CommandAnswer(messages=tuple(str(row[0]) for row in gathered.rows))
        answer = build_code_answer(
            ResultCode.UNKNOWN_NAME, f"no host has a record of request {explain.name!r}"
        )
        return replace(answer, silent_hosts=gathered.silent_hosts)

    async def _change(
        self, change: Change, request: CommandRequest, operator: OperatorName
    ) -> CommandAnswer:
        head = await self._store.read_head()
        if isinstance(head, Unavailable):
            return build_code_answer(ResultCode.STORE_UNAVAILABLE, head.reason)
        if change.if_version is not None and change.if_version != head.version:
            return _answer_conflict(change.if_version, head.version)
        base = await self._read_base(head)
        if isinstance(base, Unavailable):
            return build_code_answer(ResultCode.STORE_UNAVAILABLE, base.reason)
        if base is None:
            return build_code_answer(ResultCode.NO_CONFIGURATION)
        changed: Result[Declaration, LanguageFault] = apply_change(change, base)
        match changed:
            case Failure(LanguageFault() as fault):
                return build_fault_answer(fault, request.text)
            case Success(Declaration() as declaration):
                return await self._propose(declaration, head, request, operator)
        return build_code_answer(ResultCode.INTERNAL_ERROR)

    async def _read_base(self, head: HeadState) -> Declaration | Unavailable | None:
        """Return the newest accepted declaration, which a change is applied to."""
        in_force = self._watch.adoption.in_force
        if in_force is not None and in_force.head.version >= head.version:
            return in_force.declaration
        if head.row is None:
            return None
        document = await self._store.read_document(head.row.digest)
        return document if isinstance(document, Unavailable) else decode_declaration(document)

    async def _propose(
        self,
        declaration: Declaration,
        head: HeadState,
        request: CommandRequest,
        operator: OperatorName,
    ) -> CommandAnswer:
        faults = check_declaration(declaration)
        if faults:
            return _answer_faults(faults)
        lines = await self._describe_difference(declaration, head)
        if request.dry_run or not lines:
            note = "nothing was changed: dry run" if lines else "nothing to change"
            return CommandAnswer(messages=(*lines, note))
        proposal = Proposal(
            declaration=declaration,
            operator=operator,
            command_id=request.command_id or create_command_id(),
            command=request.text,
        )
        accepted = await self._store.accept(proposal, head, self._watch.adoption.version)
        if isinstance(accepted, Accepted):
            self._watch.receive_accepted(accepted.head, declaration)
        return _answer_acceptance(accepted, lines)

    async def _describe_difference(
        self, declaration: Declaration, head: HeadState
    ) -> tuple[str, ...]:
        base = await self._read_base(head)
        known = None if isinstance(base, Unavailable) else base
        differences = compare_declarations(known, declaration)
        lines = tuple(difference.describe() for difference in differences[:MAX_LISTED_LINES])
        left = len(differences) - len(lines)
        return (*lines, f"and {left} more") if left else lines


def create_command_id() -> CommandId:
    """Create an id for a command that was sent without one."""
    return CommandId(uuid.uuid4().hex)


def _answer_faults(faults: tuple[Fault, ...]) -> CommandAnswer:
    return build_code_answer(
        ResultCode.DECLARATION_INVALID, *(fault.describe() for fault in faults[:MAX_LISTED_LINES])
    )


def _answer_conflict(
    based_on: ConfigurationVersion, accepted: ConfigurationVersion
) -> CommandAnswer:
    detail = f"the command is based on version {based_on}, but version {accepted} is accepted"
    return build_code_answer(ResultCode.VERSION_CONFLICT, detail)


def _answer_acceptance(acceptance: Acceptance, lines: tuple[str, ...]) -> CommandAnswer:
    match acceptance:
        case Accepted(head=head):
            return CommandAnswer(messages=(*lines, f"accepted as version {head.version}"))
        case VersionConflict(based_on=based_on, accepted=accepted):
            return _answer_conflict(based_on, accepted)
        case NotAccepted(reason=reason):
            return build_code_answer(ResultCode.STORE_UNAVAILABLE, f"not accepted: {reason}")
        case Undecided(reason=reason):
            return build_code_answer(
                ResultCode.OUTCOME_UNKNOWN, reason, "send it again with the same command id"
            )
