"""Reading a TOML declaration so that every fault is named with its line."""

import tomllib
from typing import Any

import msgspec
from msgspec import structs
from returns.result import Failure, Result, Success

from ._checks import check_declaration
from ._declaration import Declaration
from ._faults import Fault, find_line

DECLARATION_LIMIT_BYTES = 3 * 1024 * 1024
"""Fits, sealed, into one message between agents."""


def read_checked_declaration(text: str) -> Result[Declaration, tuple[Fault, ...]]:
    """Read and check a TOML text; return the declaration or all its faults."""
    if len(text.encode()) > DECLARATION_LIMIT_BYTES:
        message = f"the text is longer than {DECLARATION_LIMIT_BYTES} bytes"
        return Failure((Fault(place="text", message=message),))
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure((Fault(place="text", message=str(error)),))
    faults = tuple(_find_type_faults(raw))
    if faults:
        return Failure(_add_lines(text, faults))
    declaration = msgspec.convert(raw, Declaration)
    faults = check_declaration(declaration)
    return Failure(_add_lines(text, faults)) if faults else Success(declaration)


def _add_lines(text: str, faults: tuple[Fault, ...]) -> tuple[Fault, ...]:
    return tuple(
        Fault(place=fault.place, message=fault.message, line=find_line(text, fault.place))
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
            faults.append(Fault(place=name, message="it is not a list"))
        elif item_type is str:
            faults += _find_value_fault(name, value, fields[name].type)
        else:
            for index, item in enumerate(value):
                faults += _find_item_faults(f"{name}[{index}]", item, item_type)
    return faults


def _find_item_faults(place: str, item: Any, item_type: type[msgspec.Struct]) -> list[Fault]:
    if not isinstance(item, dict):
        return [Fault(place=place, message="it is not a table")]
    fields = {field.name: field for field in structs.fields(item_type)}
    faults = _find_name_faults(f"{place}.", item, fields)
    for name, value in item.items():
        if name in fields:
            faults += _find_value_fault(f"{place}.{name}", value, fields[name].type)
    return faults


def _find_name_faults(
    prefix: str, item: dict[str, Any], fields: dict[str, structs.FieldInfo]
) -> list[Fault]:
    unknown = [
        Fault(place=f"{prefix}{name}", message="there is no such field")
        for name in item
        if name not in fields
    ]
    missing = [
        Fault(place=f"{prefix}{name}", message="it is missing")
        for name, field in fields.items()
        if field.required and name not in item
    ]
    return unknown + missing


def _find_value_fault(place: str, value: Any, value_type: Any) -> list[Fault]:
    try:
        msgspec.convert(value, value_type)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        return [Fault(place=place + path.rstrip("`"), message=message)]
    return []
