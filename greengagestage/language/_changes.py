"""Applies a change to a declaration, in memory."""

from typing import Any, assert_never

import msgspec
from returns.result import Failure, Result, Success

from greengagestage.configuration import (
    Declaration,
    Operator,
    ServiceClass,
    Upstream,
    Workspace,
)
from greengagestage.results import ResultCode

from ._commands import (
    Assignment,
    Change,
    CreateWorkspace,
    DeclaredKind,
    Remove,
    SetDraining,
    SetFields,
    SetQuarantine,
)
from ._faults import LanguageFault

_SETTABLE_FIELDS: dict[DeclaredKind, dict[str, str]] = {
    DeclaredKind.CLASS: {
        "priority": "priority",
        "first_token": "first_token_target_ms",
        "inter_token": "inter_token_target_ms",
        "answer": "answer_target_ms",
        "late_answer": "late_answer",
        "minimum_share": "minimum_share",
        "queue_limit": "queue_limit",
        "retry_ratio": "retry_ratio",
    },
    DeclaredKind.WORKSPACE: {
        "default_class": "default_class",
        "weight": "weight",
        "requests_per_s": "requests_per_s",
        "burst": "burst",
        "concurrency": "concurrency",
        "key": "keys",
    },
    DeclaredKind.UPSTREAM: {
        "slots": "slots",
        "failure_domain": "failure_domain",
        "url": "url",
        "fencing": "fencing",
    },
    DeclaredKind.OPERATOR: {"key": "sha256"},
}
"""For each kind, the field names of the language and the declaration's field of each."""

_COLLECTIONS = {
    DeclaredKind.CLASS: "classes",
    DeclaredKind.WORKSPACE: "workspaces",
    DeclaredKind.UPSTREAM: "upstreams",
    DeclaredKind.OPERATOR: "operators",
}

Declared = ServiceClass | Workspace | Upstream | Operator


def list_settable_fields(kind: DeclaredKind) -> tuple[str, ...]:
    """Return the names of the fields that ``set`` accepts for a kind of item."""
    return tuple(_SETTABLE_FIELDS[kind])


def apply_change(change: Change, declaration: Declaration) -> Result[Declaration, LanguageFault]:
    """Return the declaration after a change.

    The result is not validated as a whole: validate the declaration before it is applied.
    """
    match change:
        case SetDraining(upstream=name, draining=draining):
            return _update_item(
                declaration, DeclaredKind.UPSTREAM, name, Success({"draining": draining})
            )
        case SetFields(kind=kind, name=name, assignments=assignments):
            return _update_item(declaration, kind, name, _convert_assignments(kind, assignments))
        case CreateWorkspace():
            return _create_workspace(change, declaration)
        case Remove(kind=kind, name=name):
            return _remove(declaration, kind, name)
        case SetQuarantine(fingerprint=fingerprint, quarantined=quarantined):
            return Success(_set_quarantine(declaration, fingerprint, quarantined))
        case _:
            assert_never(change)


def _update_item(
    declaration: Declaration,
    kind: DeclaredKind,
    name: str,
    changes: Result[dict[str, Any], LanguageFault],
) -> Result[Declaration, LanguageFault]:
    collection = _COLLECTIONS[kind]
    items: tuple[Declared, ...] = getattr(declaration, collection)
    if not any(item.name == name for item in items):
        return Failure(_build_unknown_name_fault(kind, name))
    return changes.bind(lambda values: _replace_item(declaration, collection, name, values))


def _replace_item(
    declaration: Declaration, collection: str, name: str, values: dict[str, Any]
) -> Result[Declaration, LanguageFault]:
    items: tuple[Declared, ...] = getattr(declaration, collection)
    changed: list[Declared] = []
    for item in items:
        if item.name != name:
            changed.append(item)
            continue
        raw = msgspec.to_builtins(item) | values
        try:
            changed.append(msgspec.convert(raw, type(item)))
        except msgspec.ValidationError as error:
            return Failure(LanguageFault(code=ResultCode.WRONG_TYPE, message=str(error)))
    return Success(msgspec.structs.replace(declaration, **{collection: tuple(changed)}))


def _convert_assignments(
    kind: DeclaredKind, assignments: tuple[Assignment, ...]
) -> Result[dict[str, Any], LanguageFault]:
    values: dict[str, Any] = {}
    for assignment in assignments:
        field = _SETTABLE_FIELDS[kind].get(assignment.field)
        if field is None:
            return Failure(
                LanguageFault(
                    code=ResultCode.UNKNOWN_FIELD,
                    message=f"A {kind.value} has no field {assignment.field!r} to set",
                    column=assignment.column,
                    expected=list_settable_fields(kind),
                )
            )
        values[field] = _convert_value(field, assignment)
    return Success(values)


def _convert_value(field: str, assignment: Assignment) -> Any:
    if field == "keys":
        return [{"sha256": str(assignment.value)}]
    return assignment.value


def _create_workspace(
    change: CreateWorkspace, declaration: Declaration
) -> Result[Declaration, LanguageFault]:
    if any(workspace.name == change.name for workspace in declaration.workspaces):
        message = f"The workspace {change.name!r} already exists"
        return Failure(LanguageFault(code=ResultCode.VERSION_CONFLICT, message=message))
    return _convert_assignments(DeclaredKind.WORKSPACE, change.assignments).bind(
        lambda values: _add_workspace(declaration, change.name, values)
    )


def _add_workspace(
    declaration: Declaration, name: str, values: dict[str, Any]
) -> Result[Declaration, LanguageFault]:
    if "default_class" not in values:
        message = "A new workspace needs a default_class"
        return Failure(LanguageFault(code=ResultCode.MISSING_FIELD, message=message))
    raw: dict[str, Any] = {"name": name, "keys": []} | values
    try:
        workspace = msgspec.convert(raw, Workspace)
    except msgspec.ValidationError as error:
        return Failure(LanguageFault(code=ResultCode.WRONG_TYPE, message=str(error)))
    workspaces = (*declaration.workspaces, workspace)
    return Success(msgspec.structs.replace(declaration, workspaces=workspaces))


def _remove(
    declaration: Declaration, kind: DeclaredKind, name: str
) -> Result[Declaration, LanguageFault]:
    collection = _COLLECTIONS[kind]
    items: tuple[Declared, ...] = getattr(declaration, collection)
    kept = tuple(item for item in items if item.name != name)
    if len(kept) == len(items):
        return Failure(_build_unknown_name_fault(kind, name))
    return Success(msgspec.structs.replace(declaration, **{collection: kept}))


def _set_quarantine(declaration: Declaration, fingerprint: str, quarantined: bool) -> Declaration:
    kept = tuple(known for known in declaration.quarantined if known != fingerprint)
    changed = (*kept, fingerprint) if quarantined else kept
    return msgspec.structs.replace(declaration, quarantined=changed)


def _build_unknown_name_fault(kind: DeclaredKind, name: str) -> LanguageFault:
    return LanguageFault(
        code=ResultCode.UNKNOWN_NAME, message=f"No {kind.value} {name!r} is declared"
    )
