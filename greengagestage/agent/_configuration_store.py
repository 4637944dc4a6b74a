"""Configuration versions in the platform's table and object store.

A version is accepted by one transaction that moves the head by compare-and-set, writes the history
row and the command's row. Its document is stored first, so that a head never refers to a missing
document. When the transaction's answer is lost, the command's row shows whether it committed.
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from eliot import log_message
from msgspec import MsgspecError

from greengagestage.configuration import (
    HEAD_KEY,
    NO_VERSION,
    CommandRow,
    Declaration,
    Head,
    VersionRow,
    compute_digest,
    encode_declaration,
    format_command_key,
    format_document_key,
    format_history_key,
)
from greengagestage.ids import CommandId, ConfigurationVersion, OperatorName
from greengagestage.outcomes import Unavailable, Unknown
from greengagestage.platform import ObjectClient, ObjectMissing
from greengagestage.services import (
    ABSENT,
    Committed,
    Conflict,
    Put,
    Row,
    TableClient,
    TransactOutcome,
)

RESOLVE_ATTEMPTS = 5
RESOLVE_PAUSE_S = 0.5

Pause = Callable[[float], Awaitable[object]]
"""Waits for a number of seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HeadState:
    """The head as it was read; ``row`` is None before the first version."""

    row: VersionRow | None
    revision: int

    @property
    def version(self) -> ConfigurationVersion:
        """The head's version, ``NO_VERSION`` before the first."""
        return NO_VERSION if self.row is None else self.row.version


@dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """A declaration to put into force, with the operator and the command that requested it.

    ``command`` is the text of the command, which is kept in the history.
    """

    declaration: Declaration
    operator: OperatorName
    command_id: CommandId
    command: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The version is accepted and will come into force on all hosts."""

    head: Head


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionConflict:
    """Another version was accepted first, so this one was not."""

    based_on: ConfigurationVersion
    accepted: ConfigurationVersion


@dataclass(frozen=True, slots=True, kw_only=True)
class NotAccepted:
    """This call accepted no version, and nothing that it wrote will take effect later.

    If the command's row could not be read, an earlier sending of the same command may still have
    been accepted.
    """

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Undecided:
    """The version may have been accepted.

    Either the store did not answer in time, or the command created a version earlier, but the
    history row of that version is missing or cannot be read.
    """

    reason: str


Acceptance = Accepted | VersionConflict | NotAccepted | Undecided


class ConfigurationStore:
    """Reads and updates the configuration's head."""

    def __init__(
        self,
        *,
        table: TableClient,
        objects: ObjectClient,
        pause: Pause,
        seconds: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._objects = objects
        self._pause = pause
        self._seconds = seconds

    async def read_head(self) -> HeadState | Unavailable:
        """Read the head."""
        row = await self._table.read_row(HEAD_KEY)
        if isinstance(row, Unavailable):
            return row
        return _decode_head(row)

    async def read_document(self, digest: str) -> bytes | Unavailable:
        """Read a version's document. Its digest is not checked here."""
        document = await self._objects.get(format_document_key(digest))
        if isinstance(document, ObjectMissing):
            return Unavailable(reason=f"document {digest} is missing from the object store")
        return document

    async def accept(
        self, proposal: Proposal, base: HeadState, in_force: ConfigurationVersion = NO_VERSION
    ) -> Acceptance:
        """Make a proposal the next version after ``base``.

        ``in_force`` is the version in force on this host: the new version is higher even if the
        store has lost versions. A command that was accepted before is not applied again.
        """
        document = encode_declaration(proposal.declaration)
        digest = compute_digest(document)
        earlier = await self._read_command(proposal.command_id)
        if not isinstance(earlier, _NoCommand):
            return earlier
        stored = await self._objects.put(format_document_key(digest), document)
        if isinstance(stored, Unavailable | Unknown):
            return NotAccepted(reason=f"the document was not stored: {stored.reason}")
        version = ConfigurationVersion(max(base.version, in_force) + 1)
        row = VersionRow(
            version=version,
            digest=digest,
            command_id=proposal.command_id,
            operator=proposal.operator,
            at=self._seconds(),
            command=proposal.command,
        )
        outcome = await self._table.transact(_build_operations(row, base.revision))
        return await self._resolve_outcome(outcome, row, base)

    async def restore(self, row: VersionRow, document: bytes, base: HeadState) -> bool:
        """Write a version back to a store that has lost it; return whether the head was written.

        A head that has changed since ``base`` was read is left as it is, and so is a history row
        that exists.
        """
        stored = await self._objects.put(format_document_key(row.digest), document)
        if isinstance(stored, Unavailable | Unknown):
            return False
        outcome = await self._table.transact([Put(key=HEAD_KEY, value=row, expect=base.revision)])
        history = Put(key=format_history_key(row.version), value=row, expect=ABSENT)
        await self._table.transact([history])
        return isinstance(outcome, Committed)

    async def _resolve_outcome(
        self, outcome: TransactOutcome, row: VersionRow, base: HeadState
    ) -> Acceptance:
        match outcome:
            case Committed():
                return Accepted(head=Head(version=row.version, digest=row.digest))
            case Conflict(rows=rows):
                return _resolve_conflict(rows, row, base)
            case Unavailable(reason=reason):
                return NotAccepted(reason=reason)
            case Unknown(reason=reason):
                return await self._resolve_unknown(row, reason)

    async def _resolve_unknown(self, row: VersionRow, reason: str) -> Acceptance:
        """Find out whether a transaction committed, or make sure that it never does.

        Both the transaction and the write below require that the command's row is absent, so only
        one of the two can commit.
        """
        key = format_command_key(row.command_id)
        abandon = Put(key=key, value=CommandRow(version=NO_VERSION), expect=ABSENT)
        for _ in range(RESOLVE_ATTEMPTS):
            log_message("configuration: settling a lost answer", command_id=row.command_id)
            outcome = await self._table.transact([abandon])
            match outcome:
                case Committed():
                    return NotAccepted(reason=f"the transaction did not commit: {reason}")
                case Conflict(rows=rows):
                    return _resolve_command(rows[0], row.digest)
                case _:
                    await self._pause(RESOLVE_PAUSE_S)
        return Undecided(reason=reason)

    async def _read_command(self, command_id: CommandId) -> "Acceptance | _NoCommand":
        row = await self._table.read_row(format_command_key(command_id))
        if isinstance(row, Unavailable):
            return NotAccepted(reason=row.reason)
        if not row.exists:
            return _NoCommand()
        version = row.decode(CommandRow).version
        if version == NO_VERSION:
            return NotAccepted(reason="the command was abandoned earlier; use a new command id")
        history = await self._table.read_row(format_history_key(version))
        if isinstance(history, Unavailable) or not history.exists:
            return Undecided(
                reason=f"the command created version {version}, but its history row cannot be read"
            )
        digest = history.decode(VersionRow).digest
        return Accepted(head=Head(version=version, digest=digest))


@dataclass(frozen=True, slots=True)
class _NoCommand:
    """The store has no row of the command."""


def _build_operations(row: VersionRow, revision: int) -> list[Put]:
    return [
        Put(key=HEAD_KEY, value=row, expect=revision),
        Put(key=format_history_key(row.version), value=row, expect=ABSENT),
        Put(
            key=format_command_key(row.command_id),
            value=CommandRow(version=row.version),
            expect=ABSENT,
        ),
    ]


def _decode_head(row: Row) -> HeadState | Unavailable:
    if not row.exists:
        return HeadState(row=None, revision=ABSENT)
    try:
        return HeadState(row=row.decode(VersionRow), revision=row.revision)
    except MsgspecError as error:
        return Unavailable(reason=f"the head row cannot be decoded: {error}")


def _resolve_conflict(rows: tuple[Row, ...], row: VersionRow, base: HeadState) -> Acceptance:
    head = _decode_head(rows[0])
    if isinstance(head, Unavailable):
        return NotAccepted(reason=head.reason)
    if head.row is not None and head.row.command_id == row.command_id:
        return Accepted(head=Head(version=head.row.version, digest=head.row.digest))
    return VersionConflict(based_on=base.version, accepted=head.version)


def _resolve_command(command: Row, digest: str) -> Acceptance:
    version = command.decode(CommandRow).version
    if version == NO_VERSION:
        return NotAccepted(reason="the transaction did not commit")
    return Accepted(head=Head(version=version, digest=digest))
