"""The typed answer to a command, as it crosses the wire to the operator's terminal."""

from msgspec import Struct

from greengagestage.ids import CommandId, ConfigurationVersion, HostId
from greengagestage.results import CODE_DETAILS, ResultCode

from ._commands import Scalar
from ._faults import LanguageFault


class CommandRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One command of an operator. ``command_id`` makes a repeated change idempotent."""

    text: str
    dry_run: bool = False
    command_id: CommandId = CommandId("")


class ApplyRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A whole declaration, as TOML, to be accepted as the next version."""

    toml: str
    dry_run: bool = False
    command_id: CommandId = CommandId("")


class CommandAnswer(Struct, frozen=True, kw_only=True):
    """What a command gave.

    Attributes:
        code: A ``ResultCode`` value; 0 for success.
        messages: Lines for the operator, also the difference a change makes.
        version: The configuration version in force on the host asked, after the command.
        silent_hosts: Hosts that should have rows here and did not answer in time.
    """

    code: int = 0
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Scalar, ...], ...] = ()
    messages: tuple[str, ...] = ()
    version: ConfigurationVersion | None = None
    silent_hosts: tuple[HostId, ...] = ()


def build_fault_answer(fault: LanguageFault, line: str) -> CommandAnswer:
    """Return the answer that tells of a fault in the line."""
    return CommandAnswer(code=fault.code.value, messages=tuple(fault.describe(line).splitlines()))


def build_code_answer(code: ResultCode, *details: str) -> CommandAnswer:
    """Return the answer of a command that ended with a code, with more lines of detail."""
    return CommandAnswer(code=code.value, messages=(CODE_DETAILS[code].message, *details))
