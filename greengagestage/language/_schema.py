"""The tables that ``show`` knows, their fields and how each field is summed up in a group."""

from dataclasses import dataclass
from enum import Enum


class FieldType(Enum):
    """The type of a field's values. Durations are milliseconds, times are Unix seconds."""

    TEXT = "text"
    NUMBER = "number"
    RATIO = "ratio"
    DURATION = "duration"
    FLAG = "flag"
    TIME = "time"


class Aggregate(Enum):
    """How the values of a field are combined in a group."""

    SUM = "sum"
    MEAN = "mean"
    MAXIMUM = "maximum"
    DROP = "drop"


@dataclass(frozen=True, slots=True)
class Field:
    """One column of a table."""

    name: str
    type: FieldType
    help: str
    aggregate: Aggregate = Aggregate.DROP


@dataclass(frozen=True, slots=True)
class Ratio:
    """A field worked out after grouping: one summed field divided by another."""

    field: str
    numerator: str
    denominator: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TableSchema:
    """A table: its columns in order, and whether every host has rows of its own.

    ``per_host`` tables are asked of every host; the others are answered by the host asked.
    """

    name: str
    help: str
    fields: tuple[Field, ...]
    per_host: bool = False
    ratios: tuple[Ratio, ...] = ()

    def find_field(self, name: str) -> Field | None:
        """Return the field of this name, or None."""
        return next((field for field in self.fields if field.name == name), None)

    def list_field_names(self) -> tuple[str, ...]:
        """Return the names of the columns in order."""
        return tuple(field.name for field in self.fields)


_TEXT, _NUMBER, _RATIO = FieldType.TEXT, FieldType.NUMBER, FieldType.RATIO
_DURATION, _FLAG, _TIME = FieldType.DURATION, FieldType.FLAG, FieldType.TIME
_SUM, _MEAN, _MAXIMUM = Aggregate.SUM, Aggregate.MEAN, Aggregate.MAXIMUM

_UPSTREAMS = TableSchema(
    name="upstreams",
    help="Model engines and hosts of plain services",
    fields=(
        Field("name", _TEXT, "name in the declaration"),
        Field("kind", _TEXT, "engine or service"),
        Field("state", _TEXT, "live, leaving or gone"),
        Field("failure_domain", _TEXT, "failure domain"),
        Field("models", _TEXT, "models or service served"),
        Field("slots", _NUMBER, "requests that run side by side", _SUM),
        Field("running", _NUMBER, "running by its own report", _SUM),
        Field("waiting", _NUMBER, "waiting by its own report", _SUM),
        Field("load", _RATIO, "running and waiting by slot", _MEAN),
        Field("age", _DURATION, "age of the report", _MAXIMUM),
        Field("url", _TEXT, "address"),
    ),
)
_HOSTS = TableSchema(
    name="hosts",
    help="Entry hosts",
    fields=(
        Field("host", _TEXT, "name"),
        Field("state", _TEXT, "live, leaving or gone"),
        Field("failure_domain", _TEXT, "failure domain"),
        Field("address", _TEXT, "address of its agent towards other agents"),
        Field("version", _NUMBER, "configuration version in force there", _MAXIMUM),
        Field("age", _DURATION, "time since it was heard of", _MAXIMUM),
    ),
)
_REQUESTS = TableSchema(
    name="requests",
    help="Requests of late, running and ended",
    per_host=True,
    fields=(
        Field("id", _TEXT, "request id"),
        Field("host", _TEXT, "entry host"),
        Field("workspace", _TEXT, "workspace"),
        Field("class", _TEXT, "service class"),
        Field("pool", _TEXT, "model or service"),
        Field("state", _TEXT, "state in its life"),
        Field("code", _NUMBER, "result code"),
        Field("age", _DURATION, "time since arrival", _MAXIMUM),
        Field("first_token", _DURATION, "time to the first token", _MEAN),
        Field("answer", _DURATION, "time to the whole answer", _MEAN),
        Field("tokens", _NUMBER, "tokens delivered", _SUM),
        Field("attempts", _NUMBER, "attempts made", _SUM),
        Field("upstream", _TEXT, "upstream of the last attempt"),
        Field("within_target", _FLAG, "delivered within the class's target"),
    ),
)
_ATTAINMENT = TableSchema(
    name="attainment",
    help="Share of requests that were delivered within target",
    per_host=True,
    ratios=(Ratio("attainment", "within_target", "ended"),),
    fields=(
        Field("host", _TEXT, "entry host"),
        Field("class", _TEXT, "service class"),
        Field("workspace", _TEXT, "workspace"),
        Field("at", _TIME, "start of the minute", _MAXIMUM),
        Field("ended", _NUMBER, "requests that ended", _SUM),
        Field("delivered", _NUMBER, "delivered whole", _SUM),
        Field("refused", _NUMBER, "refused, not run", _SUM),
        Field("may_have_run", _NUMBER, "ended without a whole answer after a start", _SUM),
        Field("within_target", _NUMBER, "delivered within target", _SUM),
        Field("tokens", _NUMBER, "tokens delivered", _SUM),
        Field("attainment", _RATIO, "within target by ended"),
    ),
)
_CLASSES = TableSchema(
    name="classes",
    help="Service classes of the configuration in force",
    fields=(
        Field("name", _TEXT, "name"),
        Field("priority", _NUMBER, "0 is the highest"),
        Field("first_token", _DURATION, "target for the first token"),
        Field("inter_token", _DURATION, "target between tokens"),
        Field("answer", _DURATION, "target for the whole answer"),
        Field("late_answer", _TEXT, "useful or useless"),
        Field("minimum_share", _RATIO, "share of slots that is always its own"),
        Field("queue_limit", _NUMBER, "longest queue of a host"),
        Field("retry_ratio", _RATIO, "retries by fresh requests"),
    ),
)
_WORKSPACES = TableSchema(
    name="workspaces",
    help="Workspaces of the configuration in force",
    fields=(
        Field("name", _TEXT, "name"),
        Field("default_class", _TEXT, "class of requests that name none"),
        Field("weight", _NUMBER, "weight in its class", _SUM),
        Field("requests_per_s", _NUMBER, "rate over the fleet", _SUM),
        Field("burst", _NUMBER, "requests at once above the rate", _SUM),
        Field("concurrency", _NUMBER, "requests open over the fleet", _SUM),
        Field("keys", _NUMBER, "number of keys", _SUM),
    ),
)
_VERSIONS = TableSchema(
    name="versions",
    help="Accepted configuration versions, newest first",
    fields=(
        Field("version", _NUMBER, "version", _MAXIMUM),
        Field("digest", _TEXT, "SHA-256 of the document"),
        Field("operator", _TEXT, "who applied it"),
        Field("at", _TIME, "when", _MAXIMUM),
        Field("command", _TEXT, "the command that made it"),
    ),
)
_ORDERS = TableSchema(
    name="orders",
    help="Desired and known state of engines",
    fields=(
        Field("upstream", _TEXT, "engine"),
        Field("state", _TEXT, "settled, pending or failed"),
        Field("models", _TEXT, "models wanted"),
        Field("adapters", _TEXT, "adapters wanted"),
        Field("role", _TEXT, "role wanted"),
        Field("fencing_number", _NUMBER, "number of the last order", _MAXIMUM),
        Field("message", _TEXT, "why it is not settled"),
    ),
)
_LEASES = TableSchema(
    name="leases",
    help="Leases over engines",
    fields=(
        Field("name", _TEXT, "lease"),
        Field("holder", _TEXT, "host"),
        Field("fencing_number", _NUMBER, "number", _MAXIMUM),
        Field("remaining", _DURATION, "time left, for leases held here"),
    ),
)
_QUARANTINE = TableSchema(
    name="quarantine",
    help="Requests that are never run again",
    fields=(
        Field("fingerprint", _TEXT, "hash of workspace and body"),
        Field("source", _TEXT, "operator or crashes"),
    ),
)

SCHEMAS: dict[str, TableSchema] = {
    schema.name: schema
    for schema in (
        _UPSTREAMS,
        _HOSTS,
        _REQUESTS,
        _ATTAINMENT,
        _CLASSES,
        _WORKSPACES,
        _VERSIONS,
        _ORDERS,
        _LEASES,
        _QUARANTINE,
    )
}
"""Every table by name."""
