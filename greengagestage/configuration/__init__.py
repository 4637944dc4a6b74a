"""The fleet's declaration, which operators keep in version control, its checks and its versions."""

from ._adoption import Adoption, AdoptionOutcome, Version
from ._checks import check_declaration
from ._declaration import (
    Declaration,
    EngineRole,
    FencingMode,
    LateAnswer,
    Model,
    Operator,
    PlainService,
    ServiceClass,
    Upstream,
    UpstreamKind,
    Workspace,
    WorkspaceKey,
)
from ._difference import Difference, DifferenceKind, compare_declarations
from ._documents import compute_digest, decode_declaration, encode_declaration, read_declaration
from ._faults import Fault
from ._reading import read_checked_declaration
from ._versions import (
    HEAD_KEY,
    HISTORY_PREFIX,
    NO_VERSION,
    CommandRow,
    Head,
    VersionRow,
    format_command_key,
    format_document_key,
    format_history_key,
)

__all__ = [
    "Adoption",
    "AdoptionOutcome",
    "CommandRow",
    "Declaration",
    "Difference",
    "DifferenceKind",
    "EngineRole",
    "Fault",
    "FencingMode",
    "HEAD_KEY",
    "HISTORY_PREFIX",
    "Head",
    "LateAnswer",
    "Model",
    "NO_VERSION",
    "Operator",
    "PlainService",
    "ServiceClass",
    "Upstream",
    "UpstreamKind",
    "Version",
    "VersionRow",
    "Workspace",
    "WorkspaceKey",
    "check_declaration",
    "compare_declarations",
    "compute_digest",
    "decode_declaration",
    "encode_declaration",
    "format_command_key",
    "format_document_key",
    "format_history_key",
    "read_checked_declaration",
    "read_declaration",
]
