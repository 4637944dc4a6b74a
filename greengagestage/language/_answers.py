"""Messages between the operator's terminal and an agent: commands and their answers."""

from msgspec import Struct

from greengagestage.ids import CommandId, ConfigurationVersion, HostId
from greengagestage.results import CODE_DETAILS, ResultCode

from ._commands import Scalar
from ._faults import LanguageFault


class CommandRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One command of an operator. ``command_id`` makes a retried change idempotent."""

    text: str
    dry_run: bool = False
    command_id: CommandId = CommandId("")


class ApplyRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A complete declaration in TOML to accept as the next version."""

    toml: str
    dry_run: bool = False
    command_id: CommandId = CommandId("")


class CommandAnswer(Struct, frozen=True, kw_only=True):
    """The result of a command.

    Attributes:
        code: A ``ResultCode`` value; 0 for success.
        messages: Lines for the operator, including the difference that a change makes.
        version: The configuration version in force, after the command, on the host that answers.
            The store may have accepted a higher one, and it is that one which ``if version``
            is compared with.
        silent_hosts: Hosts whose rows are missing or incomplete: they did not answer in time,
            their answer could not be decoded, or it was truncated.
    """

    code: int = 0
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Scalar, ...], ...] = ()
    messages: tuple[str, ...] = ()
    version: ConfigurationVersion | None = None
    silent_hosts: tuple[HostId, ...] = ()


def build_fault_answer(fault: LanguageFault, line: str) -> CommandAnswer:
    """Return the answer that reports a fault in the line."""
    return CommandAnswer(code=fault.code.value, messages=tuple(fault.describe(line).splitlines()))


def build_code_answer(code: ResultCode, *details: str) -> CommandAnswer:
    """Return the answer for a result code: its message, then the lines of ``details``."""
    return CommandAnswer(code=code.value, messages=(CODE_DETAILS[code].message, *details))
