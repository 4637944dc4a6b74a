"""The declaration that operators keep in version control, its checks and its versions."""

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
from ._documents import compute_digest, decode_declaration, encode_declaration, read_declaration

__all__ = [
    "Declaration",
    "EngineRole",
    "FencingMode",
    "LateAnswer",
    "Model",
    "Operator",
    "PlainService",
    "ServiceClass",
    "Upstream",
    "UpstreamKind",
    "Workspace",
    "WorkspaceKey",
    "compute_digest",
    "decode_declaration",
    "encode_declaration",
    "read_declaration",
]
