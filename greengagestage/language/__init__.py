"""The operators' query and command language.

``parse`` parses a line; ``check_show``, ``select_rows`` and ``arrange_rows`` evaluate queries;
``apply_change`` applies a change to a declaration. Nothing here performs I/O.
"""

from ._answers import (
    ApplyRequest,
    CommandAnswer,
    CommandRequest,
    build_code_answer,
    build_fault_answer,
)
from ._changes import apply_change, list_settable_fields
from ._commands import (
    Artifact,
    Assignment,
    Change,
    Command,
    CreateWorkspace,
    DeclaredKind,
    Explain,
    Help,
    Order,
    OrderArtifact,
    OrderRole,
    Remove,
    Scalar,
    SetDraining,
    SetFields,
    SetQuarantine,
    Show,
    Subject,
)
from ._completion import complete
from ._evaluation import Row, RowSet, arrange_rows, check_show, select_rows
from ._faults import LanguageFault
from ._help import TOPICS, describe_topic
from ._parser import parse
from ._schema import SCHEMAS, Field, FieldType, TableSchema
from ._values import format_duration, parse_duration_ms

__all__ = [
    "ApplyRequest",
    "Artifact",
    "Assignment",
    "Change",
    "Command",
    "CommandAnswer",
    "CommandRequest",
    "CreateWorkspace",
    "DeclaredKind",
    "Explain",
    "Field",
    "FieldType",
    "Help",
    "LanguageFault",
    "Order",
    "OrderArtifact",
    "OrderRole",
    "Remove",
    "Row",
    "RowSet",
    "SCHEMAS",
    "Scalar",
    "SetDraining",
    "SetFields",
    "SetQuarantine",
    "Show",
    "Subject",
    "TOPICS",
    "TableSchema",
    "apply_change",
    "arrange_rows",
    "build_code_answer",
    "build_fault_answer",
    "check_show",
    "complete",
    "describe_topic",
    "format_duration",
    "list_settable_fields",
    "parse",
    "parse_duration_ms",
    "select_rows",
]
