"""Keys and rows under which accepted versions are stored in the platform's services."""

from msgspec import Struct

from greengagestage.ids import CommandId, ConfigurationVersion, OperatorName

HEAD_KEY = "configuration/head"
"""Key of the ``VersionRow`` of the newest accepted version."""
HISTORY_PREFIX = "configuration/history/"
NO_VERSION = ConfigurationVersion(0)
_VERSION_DIGITS = 10


class VersionRow(Struct, frozen=True, kw_only=True):
    """The row of an accepted version in the history; the newest one is also at ``HEAD_KEY``.

    Attributes:
        at: Unix time in seconds of the acceptance, by the clock of the host that sent the row.
        command: The text of the operator's command, kept for auditing.
    """

    version: ConfigurationVersion
    digest: str
    command_id: CommandId
    operator: OperatorName
    at: float
    command: str = ""


class CommandRow(Struct, frozen=True, kw_only=True):
    """The result of a command: the version it created, or ``NO_VERSION`` if it was abandoned.

    A command's transaction requires that this row is absent. A host that got no answer to the
    transaction writes the row with ``NO_VERSION``: if that fails, the existing row shows the
    accepted version; if it succeeds, the transaction can no longer take effect.
    """

    version: ConfigurationVersion


class Head(Struct, frozen=True, kw_only=True, array_like=True):
    """Identifies a version, not only the newest one, by its number and its document's digest."""

    version: ConfigurationVersion
    digest: str


def format_history_key(version: ConfigurationVersion) -> str:
    """Return the key of a version's row in the history; keys sort in the order of versions."""
    return f"{HISTORY_PREFIX}{version:0{_VERSION_DIGITS}d}"


def format_command_key(command_id: CommandId) -> str:
    """Return the key of the ``CommandRow`` of a command."""
    return f"configuration/command/{command_id}"


def format_document_key(digest: str) -> str:
    """Return the key of the stored object that holds a document."""
    return f"configuration/{digest}"
