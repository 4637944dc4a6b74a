"""Transforms the parse tree of a line into a command."""

from typing import Any

from lark import Token, Transformer, v_args

from greengagestage.configuration import EngineRole
from greengagestage.ids import ConfigurationVersion

from ._commands import (
    AllOf,
    AnyOf,
    Artifact,
    Assignment,
    Command,
    Comparator,
    Comparison,
    Condition,
    CreateWorkspace,
    DeclaredKind,
    Explain,
    FieldReference,
    Help,
    Literal,
    Membership,
    Negation,
    OrderArtifact,
    OrderRole,
    Remove,
    SetDraining,
    SetFields,
    SetQuarantine,
    Show,
    Subject,
)
from ._values import parse_duration_ms, parse_scalar


def _unquote_name(token: Token) -> str:
    return str(token).strip('"')


def _get_column(token: Token) -> int:
    return token.column or 1


@v_args(inline=True)
class CommandTransformer(Transformer[Token, Command]):
    """Transforms a parse tree bottom-up. Each method is named after the grammar rule it handles."""

    def start(self, command: Command) -> Command:
        """Return the command of the line."""
        return command

    def show(self, table: Token, *clauses: dict[str, Any]) -> Show:
        """Return a query. If a clause is given twice, the last one applies."""
        merged: dict[str, Any] = {}
        for clause in clauses:
            merged.update(clause)
        return Show(table=str(table), table_column=_get_column(table), **merged)

    def where(self, condition: Condition) -> dict[str, Any]:
        """Return the condition that rows must match."""
        return {"condition": condition}

    def group(self, fields: tuple[FieldReference, ...]) -> dict[str, Any]:
        """Return the fields to group by."""
        return {"group_by": fields}

    def order(self, field: Token, direction: Token | None) -> dict[str, Any]:
        """Return the sort order of the rows."""
        return {"order_by": _build_field_reference(field), "descending": direction == "desc"}

    def limit(self, count: Token) -> dict[str, Any]:
        """Return the maximum number of rows."""
        return {"limit": int(count)}

    def window(self, duration: Token) -> dict[str, Any]:
        """Return the maximum age of the rows, in milliseconds."""
        return {"window_ms": parse_duration_ms(str(duration))}

    def field_list(self, *fields: Token) -> tuple[FieldReference, ...]:
        """Return the fields with their character positions in the line."""
        return tuple(_build_field_reference(field) for field in fields)

    def condition(self, *operands: Condition) -> Condition:
        """Return a disjunction."""
        return AnyOf(operands=operands)

    def conjunction(self, *operands: Condition) -> Condition:
        """Return a conjunction."""
        return AllOf(operands=operands)

    def negated(self, operand: Condition) -> Condition:
        """Return a negation."""
        return Negation(operand=operand)

    def comparison(self, field: Token, comparator: Token, value: Token) -> Comparison:
        """Return a comparison with one value."""
        return Comparison(
            field=str(field),
            comparator=Comparator(str(comparator)),
            value=_build_literal(value),
            column=_get_column(field),
        )

    def membership(self, field: Token, *values: Token) -> Membership:
        """Return a test for equality with one of several values."""
        return Membership(
            field=str(field),
            values=tuple(_build_literal(value) for value in values),
            column=_get_column(field),
        )

    def explain(self, subject: Token, name: Token) -> Explain:
        """Return the command to explain a request or an upstream."""
        return Explain(subject=Subject(str(subject)), name=_unquote_name(name))

    def drain(self, name: Token, version: ConfigurationVersion | None) -> SetDraining:
        """Return the command to drain an upstream."""
        return SetDraining(upstream=_unquote_name(name), draining=True, if_version=version)

    def restore(self, name: Token, version: ConfigurationVersion | None) -> SetDraining:
        """Return the command to end a drain."""
        return SetDraining(upstream=_unquote_name(name), draining=False, if_version=version)

    def set(
        self,
        kind: Token,
        name: Token,
        assignments: tuple[Assignment, ...],
        version: ConfigurationVersion | None,
    ) -> SetFields:
        """Return the command to change fields of a declared item."""
        return SetFields(
            kind=DeclaredKind(str(kind)),
            name=_unquote_name(name),
            assignments=assignments,
            if_version=version,
        )

    def create(
        self,
        name: Token,
        assignments: tuple[Assignment, ...],
        version: ConfigurationVersion | None,
    ) -> CreateWorkspace:
        """Return the command to create a workspace."""
        return CreateWorkspace(
            name=_unquote_name(name), assignments=assignments, if_version=version
        )

    def remove(self, kind: Token, name: Token, version: ConfigurationVersion | None) -> Remove:
        """Return the command to remove a declared item."""
        return Remove(kind=DeclaredKind(str(kind)), name=_unquote_name(name), if_version=version)

    def quarantine(self, name: Token, version: ConfigurationVersion | None) -> SetQuarantine:
        """Return the command to quarantine a fingerprint."""
        return SetQuarantine(fingerprint=_unquote_name(name), quarantined=True, if_version=version)

    def release(self, name: Token, version: ConfigurationVersion | None) -> SetQuarantine:
        """Return the command to release a fingerprint from quarantine."""
        return SetQuarantine(fingerprint=_unquote_name(name), quarantined=False, if_version=version)

    def order_load(self, artifact: Token, name: Token, upstream: Token) -> OrderArtifact:
        """Return the order to load a model or an adapter."""
        return OrderArtifact(
            artifact=Artifact(str(artifact)),
            name=_unquote_name(name),
            upstream=_unquote_name(upstream),
            loaded=True,
        )

    def order_unload(
        self, artifact: Token, name: Token, upstream: Token, forced: Token | None
    ) -> OrderArtifact:
        """Return the order to unload a model or an adapter."""
        return OrderArtifact(
            artifact=Artifact(str(artifact)),
            name=_unquote_name(name),
            upstream=_unquote_name(upstream),
            loaded=False,
            forced=forced is not None,
        )

    def order_role(self, role: Token, upstream: Token) -> OrderRole:
        """Return the order to change an engine's role."""
        return OrderRole(role=EngineRole(str(role)), upstream=_unquote_name(upstream))

    def help(self, topic: Token | None) -> Help:
        """Return the command to show help."""
        return Help(topic=None if topic is None else str(topic))

    def assignments(self, *assignments: Assignment) -> tuple[Assignment, ...]:
        """Return the assignments in the order given."""
        return assignments

    def assignment(self, field: Token, value: Token) -> Assignment:
        """Return the assignment of a value to a field."""
        return Assignment(
            field=str(field),
            value=parse_scalar(value.type, str(value)),
            column=_get_column(field),
        )

    def if_version(self, count: Token) -> ConfigurationVersion:
        """Return the version that must be the last accepted one, or the command is refused."""
        return ConfigurationVersion(int(count))


def _build_field_reference(field: Token) -> FieldReference:
    return FieldReference(name=str(field), column=_get_column(field))


def _build_literal(token: Token) -> Literal:
    return Literal(text=str(token).strip('"'), value=parse_scalar(token.type, str(token)))
