"""Data classes for parsed commands."""

from dataclasses import dataclass
from enum import Enum

from greengagestage.configuration import EngineRole
from greengagestage.ids import ConfigurationVersion

Scalar = str | int | float | bool | None
"""A value in a row. Durations are milliseconds."""


class Comparator(Enum):
    """How a field is compared with a value. ``CONTAINS`` tests for a substring."""

    EQUAL = "="
    UNEQUAL = "!="
    LESS = "<"
    LESS_EQUAL = "<="
    GREATER = ">"
    GREATER_EQUAL = ">="
    CONTAINS = "~"


class DeclaredKind(Enum):
    """The kinds of declared items that a command can change."""

    CLASS = "class"
    WORKSPACE = "workspace"
    UPSTREAM = "upstream"
    OPERATOR = "operator"


class Subject(Enum):
    """What ``explain`` can explain."""

    REQUEST = "request"
    UPSTREAM = "upstream"


class Artifact(Enum):
    """What an engine can be ordered to load."""

    MODEL = "model"
    ADAPTER = "adapter"


@dataclass(frozen=True, slots=True, kw_only=True)
class Literal:
    """A value in a condition.

    Attributes:
        text: The word as typed, without quotes. Text fields are compared with it.
        value: The value that the word denotes. All other fields are compared with it.
    """

    text: str
    value: Scalar


@dataclass(frozen=True, slots=True, kw_only=True)
class Comparison:
    """A field compared with one value.

    ``column`` is the character position of the field's name in the typed line, from 1.
    """

    field: str
    comparator: Comparator
    value: Literal
    column: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Membership:
    """A field that must equal one of several values. ``column`` is as in ``Comparison``."""

    field: str
    values: tuple[Literal, ...]
    column: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Negation:
    """A condition that holds if its operand does not."""

    operand: "Condition"


@dataclass(frozen=True, slots=True, kw_only=True)
class AllOf:
    """A condition that holds if every operand holds."""

    operands: tuple["Condition", ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class AnyOf:
    """A condition that holds if at least one operand holds."""

    operands: tuple["Condition", ...]


Condition = Comparison | Membership | Negation | AllOf | AnyOf


@dataclass(frozen=True, slots=True, kw_only=True)
class FieldReference:
    """A field named in a typed line. ``column`` is its character position there, from 1."""

    name: str
    column: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Show:
    """Query the rows of a table: filter, group, sort and limit them.

    ``table_column`` is the character position of the table's name in the typed line, from 1.
    """

    table: str
    table_column: int
    condition: Condition | None = None
    group_by: tuple[FieldReference, ...] = ()
    order_by: FieldReference | None = None
    descending: bool = False
    limit: int | None = None
    window_ms: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Explain:
    """Ask for the decisions about one request or upstream."""

    subject: Subject
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """A field's new value.

    ``column`` is the character position of the field's name in the typed line, from 1.
    """

    field: str
    value: Scalar
    column: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SetDraining:
    """Start draining an upstream, so that it gets no new requests, or end the draining."""

    upstream: str
    draining: bool
    if_version: ConfigurationVersion | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SetFields:
    """Change fields of one declared item."""

    kind: DeclaredKind
    name: str
    assignments: tuple[Assignment, ...]
    if_version: ConfigurationVersion | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CreateWorkspace:
    """Declare a new workspace."""

    name: str
    assignments: tuple[Assignment, ...]
    if_version: ConfigurationVersion | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Remove:
    """Remove one item from the declaration."""

    kind: DeclaredKind
    name: str
    if_version: ConfigurationVersion | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SetQuarantine:
    """Put a request fingerprint in quarantine, or release it."""

    fingerprint: str
    quarantined: bool
    if_version: ConfigurationVersion | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderArtifact:
    """Order an engine to load or unload a model or an adapter."""

    artifact: Artifact
    name: str
    upstream: str
    loaded: bool
    forced: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRole:
    """Order an engine to take a role."""

    role: EngineRole
    upstream: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Help:
    """Ask for help in general or on one command."""

    topic: str | None = None


Change = SetDraining | SetFields | CreateWorkspace | Remove | SetQuarantine
"""A command that creates a new version of the declaration."""

Order = OrderArtifact | OrderRole
"""A command that gives an order to an engine."""

Command = Show | Explain | Change | Order | Help
