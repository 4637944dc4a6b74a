"""The tables of ``show``, their fields, and how each field is aggregated in a group."""

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
    """How the values of a field are aggregated in a group. ``DROP`` leaves the field out."""

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
    """A field computed after grouping: one aggregated field divided by another."""

    field: str
    numerator: str
    denominator: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TableSchema:
    """A table: its columns in order, and whether every host has its own rows.

    A query of a ``per_host`` table is sent to every host. Queries of all other tables are answered
    by the host that receives them, without asking other hosts.
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
    help="Model engines and upstreams of plain services",
    fields=(
        Field("name", _TEXT, "name in the declaration"),
        Field("kind", _TEXT, "engine or service"),
        Field("state", _TEXT, "live, leaving or gone"),
        Field("failure_domain", _TEXT, "failure domain"),
        Field("models", _TEXT, "models or service served"),
        Field("slots", _NUMBER, "requests that it can run concurrently", _SUM),
        Field("running", _NUMBER, "running requests that it reports", _SUM),
        Field("waiting", _NUMBER, "waiting requests that it reports", _SUM),
        Field("load", _RATIO, "running and waiting requests per slot", _MEAN),
        Field("age", _DURATION, "age of the report", _MAXIMUM),
        Field("url", _TEXT, "address"),
    ),
)
_HOSTS = TableSchema(
    name="hosts",
    help="Entry hosts",
    fields=(
        Field("host", _TEXT, "name"),
        Field("state", _TEXT, "live (also while suspect), leaving or gone"),
        Field("failure_domain", _TEXT, "failure domain"),
        Field("address", _TEXT, "address of its agent for other agents"),
        Field("version", _NUMBER, "configuration version in force there", _MAXIMUM),
        Field("age", _DURATION, "time since its last demand report was stored here", _MAXIMUM),
    ),
)
_REQUESTS = TableSchema(
    name="requests",
    help="Recent requests, running and ended",
    per_host=True,
    fields=(
        Field("id", _TEXT, "request id"),
        Field("host", _TEXT, "entry host"),
        Field("workspace", _TEXT, "workspace"),
        Field("class", _TEXT, "service class"),
        Field("pool", _TEXT, "model or service"),
        Field("state", _TEXT, "lifecycle state"),
        Field("code", _NUMBER, "result code"),
        Field("age", _DURATION, "time since arrival", _MAXIMUM),
        Field("first_token", _DURATION, "time to the first token", _MEAN),
        Field("answer", _DURATION, "time to the complete answer", _MEAN),
        Field("tokens", _NUMBER, "tokens delivered", _SUM),
        Field("attempts", _NUMBER, "number of attempts", _SUM),
        Field("upstream", _TEXT, "upstream of the last attempt"),
        Field("within_target", _FLAG, "delivered within the class's target"),
    ),
)
_ATTAINMENT = TableSchema(
    name="attainment",
    help="Share of requests delivered within target",
    per_host=True,
    ratios=(Ratio("attainment", "within_target", "ended"),),
    fields=(
        Field("host", _TEXT, "entry host"),
        Field("class", _TEXT, "service class"),
        Field("workspace", _TEXT, "workspace"),
        Field("at", _TIME, "start of the minute", _MAXIMUM),
        Field("ended", _NUMBER, "requests that ended", _SUM),
        Field("delivered", _NUMBER, "delivered completely", _SUM),
        Field("refused", _NUMBER, "refused, not run", _SUM),
        Field(
            "may_have_run",
            _NUMBER,
            "may have run, but the answer was not delivered completely",
            _SUM,
        ),
        Field("within_target", _NUMBER, "delivered within target", _SUM),
        Field("tokens", _NUMBER, "tokens delivered", _SUM),
        Field("attainment", _RATIO, "within_target divided by ended"),
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
        Field("answer", _DURATION, "target for the complete answer"),
        Field("late_answer", _TEXT, "useful or useless"),
        Field("minimum_share", _RATIO, "share of slots guaranteed to it"),
        Field("queue_limit", _NUMBER, "maximum queue length per host"),
        Field("retry_ratio", _RATIO, "maximum ratio of retries to new requests"),
    ),
)
_WORKSPACES = TableSchema(
    name="workspaces",
    help="Workspaces of the configuration in force",
    fields=(
        Field("name", _TEXT, "name"),
        Field("default_class", _TEXT, "class of requests without a class header"),
        Field("weight", _NUMBER, "weight within its class", _SUM),
        Field("requests_per_s", _NUMBER, "request rate limit across the fleet", _SUM),
        Field("burst", _NUMBER, "burst allowed above the rate limit", _SUM),
        Field("concurrency", _NUMBER, "limit of open requests across the fleet", _SUM),
        Field("keys", _NUMBER, "number of keys", _SUM),
    ),
)
_VERSIONS = TableSchema(
    name="versions",
    help="Accepted configuration versions, newest first",
    fields=(
        Field("version", _NUMBER, "version", _MAXIMUM),
        Field("digest", _TEXT, "SHA-256 of the document"),
        Field("operator", _TEXT, "operator who applied it"),
        Field("at", _TIME, "time of acceptance", _MAXIMUM),
        Field("command", _TEXT, "command that created it"),
    ),
)
_ORDERS = TableSchema(
    name="orders",
    help="Desired state of engines, and whether it is reached",
    fields=(
        Field("upstream", _TEXT, "engine"),
        Field("state", _TEXT, "settled, pending or failed"),
        Field("models", _TEXT, "desired models"),
        Field("adapters", _TEXT, "desired adapters"),
        Field("role", _TEXT, "desired role"),
        Field("fencing_number", _NUMBER, "fencing number of the last order", _MAXIMUM),
        Field("message", _TEXT, "reason why it is not settled"),
    ),
)
_LEASES = TableSchema(
    name="leases",
    help="Leases on engines",
    fields=(
        Field("name", _TEXT, "lease name"),
        Field("holder", _TEXT, "host that holds it"),
        Field("fencing_number", _NUMBER, "fencing number", _MAXIMUM),
        Field("remaining", _DURATION, "time left, for leases that this host holds"),
    ),
)
_QUARANTINE = TableSchema(
    name="quarantine",
    help="Requests that will not be run again",
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
