"""Evaluates ``show``: checks names and types, then filters, groups, sorts and limits rows.

``columns`` are the names of a table's columns and ``indexes`` their places in a row. ``column`` is
the character position, from 1, at which a word of the typed line begins; faults point to it.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import assert_never

from returns.result import Failure, Result, Success

from greengagestage.results import ResultCode

from ._commands import (
    AllOf,
    AnyOf,
    Comparator,
    Comparison,
    Condition,
    Literal,
    Membership,
    Negation,
    Scalar,
    Show,
)
from ._faults import LanguageFault
from ._schema import SCHEMAS, Aggregate, Field, FieldType, TableSchema

Row = tuple[Scalar, ...]
"""Values in the order of the table's fields."""

COUNT_FIELD = "rows"
"""Name of the column that counts the rows of a group."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RowSet:
    """Rows under named columns."""

    columns: tuple[str, ...]
    rows: tuple[Row, ...]


def check_show(show: Show) -> Result[TableSchema, LanguageFault]:
    """Check the names and value types of a query and return the schema of its table."""
    schema = SCHEMAS.get(show.table)
    if schema is None:
        return Failure(
            LanguageFault(
                code=ResultCode.UNKNOWN_NAME,
                message=f"There is no table {show.table!r}",
                column=show.table_column,
                expected=tuple(SCHEMAS),
            )
        )
    known = schema.list_field_names()
    for name, column in _list_field_references(show):
        if name not in known:
            return Failure(_build_unknown_field_fault(schema, name, column, known))
    order, columns = show.order_by, _list_columns(show, schema)
    if order is not None and order.name not in columns:
        return Failure(_build_unknown_field_fault(schema, order.name, order.column, columns))
    return _check_types(show, schema)


def select_rows(show: Show, rows: Iterable[Row], now_unix_s: float) -> list[Row]:
    """Return the rows that match the condition and lie within the time window.

    Args:
        show: A query that ``check_show`` accepted.
        rows: Rows of its table.
        now_unix_s: Current Unix time in seconds, for the window on the table's ``at`` field.
    """
    schema = SCHEMAS[show.table]
    indexes = {name: index for index, name in enumerate(schema.list_field_names())}
    return [
        row
        for row in rows
        if _is_within_window(show.window_ms, row, indexes, now_unix_s)
        and (show.condition is None or _matches(show.condition, row, indexes))
    ]


def arrange_rows(show: Show, rows: Sequence[Row]) -> RowSet:
    """Group, sort and limit the selected rows of a query that ``check_show`` accepted."""
    schema = SCHEMAS[show.table]
    columns = _list_columns(show, schema)
    arranged = _group(schema, _list_group_names(show), rows) if show.group_by else list(rows)
    if show.order_by is not None:
        index = columns.index(show.order_by.name)
        arranged.sort(key=lambda row: _sort_key(row[index]), reverse=show.descending)
    if show.limit is not None:
        arranged = arranged[: show.limit]
    return RowSet(columns=columns, rows=tuple(arranged))


def _list_group_names(show: Show) -> tuple[str, ...]:
    return tuple(reference.name for reference in show.group_by)


def _list_columns(show: Show, schema: TableSchema) -> tuple[str, ...]:
    """Return the columns of a query's result, which groups have of their own."""
    if not show.group_by:
        return schema.list_field_names()
    names = _list_group_names(show)
    aggregated = (field.name for field in _list_aggregated_fields(schema, names))
    ratios = (ratio.field for ratio in schema.ratios)
    return (*names, COUNT_FIELD, *aggregated, *ratios)


def _list_field_references(show: Show) -> list[tuple[str, int]]:
    """Return the fields that the groups and the condition name, with their positions."""
    fields = [(reference.name, reference.column) for reference in show.group_by]
    return fields + [(c.field, c.column) for c in _list_comparisons(show.condition)]


def _list_comparisons(condition: Condition | None) -> list[Comparison | Membership]:
    match condition:
        case None:
            return []
        case Comparison() | Membership():
            return [condition]
        case Negation(operand=operand):
            return _list_comparisons(operand)
        case AllOf(operands=operands) | AnyOf(operands=operands):
            return [comparison for operand in operands for comparison in _list_comparisons(operand)]
        case _:
            assert_never(condition)


def _build_unknown_field_fault(
    schema: TableSchema, name: str, column: int, expected: tuple[str, ...]
) -> LanguageFault:
    """Build the fault for a name that is not a field, or is one that groups do not have."""
    subject = "A group of" if name in schema.list_field_names() else "The table"
    return LanguageFault(
        code=ResultCode.UNKNOWN_FIELD,
        message=f"{subject} {schema.name!r} has no field {name!r}",
        column=column,
        expected=expected,
    )


def _check_types(show: Show, schema: TableSchema) -> Result[TableSchema, LanguageFault]:
    for comparison in _list_comparisons(show.condition):
        field = schema.find_field(comparison.field)
        values = comparison.values if isinstance(comparison, Membership) else (comparison.value,)
        if field is not None and not all(_accepts(field, each.value) for each in values):
            return Failure(
                LanguageFault(
                    code=ResultCode.WRONG_TYPE,
                    message=f"The field {field.name!r} takes a {field.type.value}",
                    column=comparison.column,
                )
            )
    return Success(schema)


def _accepts(field: Field, value: Scalar) -> bool:
    if field.type is FieldType.TEXT:
        return True
    if field.type is FieldType.FLAG:
        return isinstance(value, bool)
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_within_window(
    window_ms: int | None, row: Row, indexes: dict[str, int], now_unix_s: float
) -> bool:
    if window_ms is None:
        return True
    if "at" in indexes:
        at = row[indexes["at"]]
        return isinstance(at, int | float) and (now_unix_s - at) * 1000 <= window_ms
    if "age" in indexes:
        age = row[indexes["age"]]
        return isinstance(age, int | float) and age <= window_ms
    return True


def _matches(condition: Condition, row: Row, indexes: dict[str, int]) -> bool:
    match condition:
        case Comparison(field=field, comparator=comparator, value=value):
            return _compare(row[indexes[field]], comparator, value)
        case Membership(field=field, values=values):
            return any(_compare(row[indexes[field]], Comparator.EQUAL, v) for v in values)
        case Negation(operand=operand):
            return not _matches(operand, row, indexes)
        case AllOf(operands=operands):
            return all(_matches(operand, row, indexes) for operand in operands)
        case AnyOf(operands=operands):
            return any(_matches(operand, row, indexes) for operand in operands)
        case _:
            assert_never(condition)


def _compare(actual: Scalar, comparator: Comparator, literal: Literal) -> bool:
    value = literal.text if isinstance(actual, str) else literal.value
    match comparator:
        case Comparator.EQUAL:
            return actual == value
        case Comparator.UNEQUAL:
            return actual != value
        case Comparator.CONTAINS:
            return str(value) in str(actual)
        case _:
            return _compare_order(actual, comparator, value)


def _compare_order(actual: Scalar, comparator: Comparator, value: Scalar) -> bool:
    if actual is None or value is None:
        return False
    left, right = _sort_key(actual), _sort_key(value)
    match comparator:
        case Comparator.LESS:
            return left < right
        case Comparator.LESS_EQUAL:
            return left <= right
        case Comparator.GREATER:
            return left > right
        case _:
            return left >= right


def _sort_key(value: Scalar) -> tuple[int, float, str]:
    if value is None:
        return (0, 0.0, "")
    if isinstance(value, str):
        return (2, 0.0, value)
    return (1, float(value), "")


def _list_aggregated_fields(schema: TableSchema, names: tuple[str, ...]) -> list[Field]:
    return [f for f in schema.fields if f.aggregate is not Aggregate.DROP and f.name not in names]


def _group(schema: TableSchema, names: tuple[str, ...], rows: Sequence[Row]) -> list[Row]:
    """Return one row for each group, with the columns of ``_list_columns``."""
    indexes = {name: index for index, name in enumerate(schema.list_field_names())}
    aggregated = _list_aggregated_fields(schema, names)
    groups: dict[Row, list[Row]] = {}
    for row in rows:
        groups.setdefault(tuple(row[indexes[name]] for name in names), []).append(row)
    arranged: list[Row] = []
    for key, members in groups.items():
        values = {f.name: _aggregate(f, [m[indexes[f.name]] for m in members]) for f in aggregated}
        computed = tuple(
            _divide(values.get(r.numerator), values.get(r.denominator)) for r in schema.ratios
        )
        arranged.append((*key, len(members), *values.values(), *computed))
    return arranged


def _aggregate(field: Field, values: Sequence[Scalar]) -> Scalar:
    numbers = [value for value in values if isinstance(value, int | float)]
    if not numbers:
        return None
    match field.aggregate:
        case Aggregate.SUM:
            return sum(numbers)
        case Aggregate.MAXIMUM:
            return max(numbers)
        case _:
            return round(sum(numbers) / len(numbers), 4)


def _divide(numerator: Scalar, denominator: Scalar) -> Scalar:
    if not isinstance(numerator, int | float) or not isinstance(denominator, int | float):
        return None
    return round(numerator / denominator, 4) if denominator else None
