"""Builds commands from the parse tree."""

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
from ._values import read_duration_ms, read_scalar


def _read_name(token: Token) -> str:
    return str(token).strip('"')


def _read_column(token: Token) -> int:
    return token.column or 1


@v_args(inline=True)
class CommandTransformer(Transformer[Token, Command]):
    """One method for each rule of the grammar; each returns a part of the command."""

    def start(self, command: Command) -> Command:
        """Return the command of the line."""
        return command

    def show(self, table: Token, *clauses: dict[str, Any]) -> Show:
        """Return a query; a clause given twice counts as its last one."""
        merged: dict[str, Any] = {}
        for clause in clauses:
            merged.update(clause)
        return Show(table=str(table), table_column=_read_column(table), **merged)

    def where(self, condition: Condition) -> dict[str, Any]:
        """Return the choice of rows."""
        return {"condition": condition}

    def group(self, fields: tuple[FieldReference, ...]) -> dict[str, Any]:
        """Return the fields to group by."""
        return {"group_by": fields}

    def order(self, field: Token, direction: Token | None) -> dict[str, Any]:
        """Return the order of rows."""
        return {"order_by": _refer(field), "descending": direction == "desc"}

    def limit(self, count: Token) -> dict[str, Any]:
        """Return the largest number of rows."""
        return {"limit": int(count)}

    def window(self, duration: Token) -> dict[str, Any]:
        """Return how far back rows may lie."""
        return {"window_ms": read_duration_ms(str(duration))}

    def field_list(self, *fields: Token) -> tuple[FieldReference, ...]:
        """Return fields with their places."""
        return tuple(_refer(field) for field in fields)

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
            value=read_scalar(value.type, str(value)),
            column=_read_column(field),
        )

    def membership(self, field: Token, *values: Token) -> Membership:
        """Return a comparison with several values."""
        return Membership(
            field=str(field),
            values=tuple(read_scalar(value.type, str(value)) for value in values),
            column=_read_column(field),
        )

    def explain(self, subject: Token, name: Token) -> Explain:
        """Return a question about one request or upstream."""
        return Explain(subject=Subject(str(subject)), name=_read_name(name))

    def drain(self, name: Token, version: ConfigurationVersion | None) -> SetDraining:
        """Return the command to drain an upstream."""
        return SetDraining(upstream=_read_name(name), draining=True, if_version=version)

    def restore(self, name: Token, version: ConfigurationVersion | None) -> SetDraining:
        """Return the command to end a drain."""
        return SetDraining(upstream=_read_name(name), draining=False, if_version=version)

    def set(
        self,
        kind: Token,
        name: Token,
        assignments: tuple[Assignment, ...],
        version: ConfigurationVersion | None,
    ) -> SetFields:
        """Return a change of fields."""
        return SetFields(
            kind=DeclaredKind(str(kind)),
            name=_read_name(name),
            assignments=assignments,
            if_version=version,
        )

    def create(
        self,
        name: Token,
        assignments: tuple[Assignment, ...],
        version: ConfigurationVersion | None,
    ) -> CreateWorkspace:
        """Return the declaration of a workspace."""
        return CreateWorkspace(name=_read_name(name), assignments=assignments, if_version=version)

    def remove(self, kind: Token, name: Token, version: ConfigurationVersion | None) -> Remove:
        """Return the removal of a declared thing."""
        return Remove(kind=DeclaredKind(str(kind)), name=_read_name(name), if_version=version)

    def quarantine(self, name: Token, version: ConfigurationVersion | None) -> SetQuarantine:
        """Return the quarantine of a fingerprint."""
        return SetQuarantine(fingerprint=_read_name(name), quarantined=True, if_version=version)

    def release(self, name: Token, version: ConfigurationVersion | None) -> SetQuarantine:
        """Return the end of a quarantine."""
        return SetQuarantine(fingerprint=_read_name(name), quarantined=False, if_version=version)

    def order_load(self, artifact: Token, name: Token, upstream: Token) -> OrderArtifact:
        """Return the order to load a model or an adapter."""
        return OrderArtifact(
            artifact=Artifact(str(artifact)),
            name=_read_name(name),
            upstream=_read_name(upstream),
            loaded=True,
        )

    def order_unload(
        self, artifact: Token, name: Token, upstream: Token, forced: Token | None
    ) -> OrderArtifact:
        """Return the order to unload a model or an adapter."""
        return OrderArtifact(
            artifact=Artifact(str(artifact)),
            name=_read_name(name),
            upstream=_read_name(upstream),
            loaded=False,
            forced=forced is not None,
        )

    def order_role(self, role: Token, upstream: Token) -> OrderRole:
        """Return the order to change an engine's role."""
        return OrderRole(role=EngineRole(str(role)), upstream=_read_name(upstream))

    def help(self, topic: Token | None) -> Help:
        """Return a question for help."""
        return Help(topic=None if topic is None else str(topic))

    def assignments(self, *assignments: Assignment) -> tuple[Assignment, ...]:
        """Return the assignments in the order given."""
        return assignments

    def assignment(self, field: Token, value: Token) -> Assignment:
        """Return one field's new value."""
        return Assignment(
            field=str(field),
            value=read_scalar(value.type, str(value)),
            column=_read_column(field),
        )

    def if_version(self, count: Token) -> ConfigurationVersion:
        """Return the version that the command expects to be in force."""
        return ConfigurationVersion(int(count))


def _refer(field: Token) -> FieldReference:
    return FieldReference(name=str(field), column=_read_column(field))
