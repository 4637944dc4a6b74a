"""Reads a declaration in TOML and reports all its faults with their lines."""

import tomllib
from typing import Any

import msgspec
from msgspec import structs
from returns.result import Failure, Result, Success

from ._checks import check_declaration
from ._declaration import Declaration
from ._documents import MAX_DECLARATION_BYTES
from ._faults import Fault, find_line


def read_checked_declaration(text: str) -> Result[Declaration, tuple[Fault, ...]]:
    """Read and check a TOML text; return the declaration or its faults.

    Values are checked only if the text is valid TOML and all types are right.
    """
    if len(text.encode()) > MAX_DECLARATION_BYTES:
        message = f"the text is longer than {MAX_DECLARATION_BYTES} bytes"
        return Failure((Fault(path="text", message=message),))
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure((Fault(path="text", message=str(error)),))
    faults = tuple(_find_type_faults(raw))
    if faults:
        return Failure(_add_lines(text, faults))
    declaration = msgspec.convert(raw, Declaration)
    faults = check_declaration(declaration)
    return Failure(_add_lines(text, faults)) if faults else Success(declaration)


def _add_lines(text: str, faults: tuple[Fault, ...]) -> tuple[Fault, ...]:
    return tuple(
        Fault(path=fault.path, message=fault.message, line=find_line(text, fault.path))
        for fault in faults
    )


def _find_type_faults(raw: dict[str, Any]) -> list[Fault]:
    fields = {field.name: field for field in structs.fields(Declaration)}
    faults = _find_name_faults("", raw, fields)
    for name, value in raw.items():
        if name not in fields:
            continue
        item_type = fields[name].type.__args__[0]
        if not isinstance(value, list):
            faults.append(Fault(path=name, message="it is not a list"))
        elif item_type is str:
            faults += _find_value_fault(name, value, fields[name].type)
        else:
            for index, item in enumerate(value):
                faults += _find_item_faults(f"{name}[{index}]", item, item_type)
    return faults


def _find_item_faults(path: str, item: Any, item_type: type[msgspec.Struct]) -> list[Fault]:
    if not isinstance(item, dict):
        return [Fault(path=path, message="it is not a table")]
    fields = {field.name: field for field in structs.fields(item_type)}
    faults = _find_name_faults(f"{path}.", item, fields)
    for name, value in item.items():
        if name in fields:
            faults += _find_value_fault(f"{path}.{name}", value, fields[name].type)
    return faults


def _find_name_faults(
    prefix: str, item: dict[str, Any], fields: dict[str, structs.FieldInfo]
) -> list[Fault]:
    unknown = [
        Fault(path=f"{prefix}{name}", message="unknown field")
        for name in item
        if name not in fields
    ]
    missing = [
        Fault(path=f"{prefix}{name}", message="it is missing")
        for name, field in fields.items()
        if field.required and name not in item
    ]
    return unknown + missing


def _find_value_fault(path: str, value: Any, value_type: Any) -> list[Fault]:
    try:
        msgspec.convert(value, value_type)
    except msgspec.ValidationError as error:
        message, _, subpath = str(error).partition(" - at `$")
        return [Fault(path=path + subpath.rstrip("`"), message=message)]
    return []
