"""Renders a command's answer as a table or as JSON."""

from datetime import UTC, datetime
from typing import Literal

import msgspec
from rich.console import Console
from rich.table import Table

from greengagestage.language import (
    SCHEMAS,
    CommandAnswer,
    FieldType,
    Scalar,
    Show,
    format_duration,
    parse,
)

PIPE_WIDTH_COLUMNS = 240


def open_console() -> Console:
    """Return a console. Output to a file or a pipe uses ``PIPE_WIDTH_COLUMNS`` columns."""
    console = Console()
    return console if console.is_terminal else Console(width=PIPE_WIDTH_COLUMNS)


def render_json(console: Console, answer: CommandAnswer) -> None:
    """Write the answer as one line of JSON."""
    console.print(msgspec.json.encode(answer).decode(), soft_wrap=True, markup=False)


def render_table(console: Console, text: str, answer: CommandAnswer) -> None:
    """Write the answer's rows as a table, its messages, and the hosts whose rows are incomplete."""
    if answer.columns:
        console.print(_build_table(text, answer))
    for message in answer.messages:
        console.print(message, markup=False, highlight=False)
    if answer.silent_hosts:
        console.print(
            "Missing or incomplete answers from: " + ", ".join(answer.silent_hosts),
            style="bold red",
        )
    if answer.code:
        console.print(f"result code {answer.code}", style="bold red")


def _build_table(text: str, answer: CommandAnswer) -> Table:
    types = _get_column_types(text)
    table = Table(show_edge=False, pad_edge=False)
    for column in answer.columns:
        kind = types.get(column, FieldType.NUMBER)
        justify: Literal["left", "right"] = "left" if kind is FieldType.TEXT else "right"
        table.add_column(column, justify=justify, overflow="fold")
    for row in answer.rows:
        cells = zip(answer.columns, row, strict=True)
        table.add_row(*(_format_cell(types.get(name), value) for name, value in cells))
    return table


def _get_column_types(text: str) -> dict[str, FieldType]:
    match parse(text).value_or(None):
        case Show(table=name) if name in SCHEMAS:
            return {field.name: field.type for field in SCHEMAS[name].fields}
        case _:
            return {}


def _format_cell(kind: FieldType | None, value: Scalar) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, str):
        return value
    match kind:
        case FieldType.DURATION:
            return format_duration(value)
        case FieldType.RATIO:
            return f"{value:.3f}"
        case FieldType.TIME:
            return datetime.fromtimestamp(value, UTC).strftime("%Y-%m-%d %H:%M:%S")
        case _:
            return f"{value:g}" if isinstance(value, float) else str(value)
