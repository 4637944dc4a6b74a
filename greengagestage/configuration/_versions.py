"""Rows and objects that keep accepted versions in the platform's service."""

from msgspec import Struct

from greengagestage.ids import CommandId, ConfigurationVersion, OperatorName

HEAD_KEY = "configuration/head"
HISTORY_PREFIX = "configuration/history/"
NO_VERSION = ConfigurationVersion(0)
_VERSION_DIGITS = 10


class VersionRow(Struct, frozen=True, kw_only=True):
    """The row of the head and of each version of the history.

    Attributes:
        at: Unix seconds of the acceptance, by the clock of the host that sent it.
        command: What the operator asked for, for the record.
    """

    version: ConfigurationVersion
    digest: str
    command_id: CommandId
    operator: OperatorName
    at: float
    command: str = ""


class CommandRow(Struct, frozen=True, kw_only=True):
    """The end of a command: the version it made, or ``NO_VERSION`` when it was abandoned.

    A command's transaction needs this row absent. Whoever has lost the answer writes the row
    with ``NO_VERSION``: either that fails and shows the accepted version, or the transaction
    can never take effect any more.
    """

    version: ConfigurationVersion


class Head(Struct, frozen=True, kw_only=True, array_like=True):
    """A version and the digest of its document."""

    version: ConfigurationVersion
    digest: str


def format_history_key(version: ConfigurationVersion) -> str:
    """Return the key of a version's row in the history."""
    return f"{HISTORY_PREFIX}{version:0{_VERSION_DIGITS}d}"


def format_command_key(command_id: CommandId) -> str:
    """Return the key of a command's row."""
    return f"configuration/command/{command_id}"


def format_document_key(digest: str) -> str:
    """Return the key of a document's object."""
    return f"configuration/{digest}"
