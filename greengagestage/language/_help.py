"""Help texts of the commands, with examples."""

from dataclasses import dataclass

from ._schema import SCHEMAS


@dataclass(frozen=True, slots=True, kw_only=True)
class Topic:
    """The help text of one command."""

    usage: str
    summary: str
    examples: tuple[str, ...]


TOPICS: dict[str, Topic] = {
    "show": Topic(
        usage="show TABLE [where CONDITION] [by FIELD, ...] [order by FIELD [asc|desc]]"
        " [limit N] [last DURATION]",
        summary="Show rows of a table. `by` groups them and aggregates their fields.",
        examples=(
            "show upstreams where load > 0.8 order by load desc",
            "show requests where class = floor and state != delivered last 5m",
            "show attainment by class, workspace last 10m",
        ),
    ),
    "explain": Topic(
        usage="explain request ID | explain upstream NAME",
        summary="Explain why a request waited, was routed to an upstream, or was refused.",
        examples=("explain request 5f0c2a", "explain upstream engine-1"),
    ),
    "drain": Topic(
        usage="drain upstream NAME [if version = N]",
        summary="Send no new requests to an upstream; running requests finish.",
        examples=("drain upstream engine-1",),
    ),
    "restore": Topic(
        usage="restore upstream NAME [if version = N]",
        summary="End a drain.",
        examples=("restore upstream engine-1",),
    ),
    "set": Topic(
        usage="set class|workspace|upstream|operator NAME FIELD = VALUE, ... [if version = N]",
        summary="Change fields of a declared item.",
        examples=(
            "set class floor first_token = 1500ms if version = 41",
            "set workspace gyor weight = 2, concurrency = 40",
        ),
    ),
    "create": Topic(
        usage="create workspace NAME with FIELD = VALUE, ... [if version = N]",
        summary="Declare a workspace. `key` takes the SHA-256 digest of its key.",
        examples=("create workspace pecs with default_class = summary, weight = 1",),
    ),
    "remove": Topic(
        usage="remove class|workspace|upstream|operator NAME [if version = N]",
        summary="Remove an item from the declaration.",
        examples=("remove workspace pecs",),
    ),
    "quarantine": Topic(
        usage="quarantine FINGERPRINT [if version = N]",
        summary="Never again run requests with this fingerprint.",
        examples=("quarantine 9c1f00a2",),
    ),
    "release": Topic(
        usage="release FINGERPRINT [if version = N]",
        summary="End a quarantine.",
        examples=("release 9c1f00a2",),
    ),
    "load": Topic(
        usage="load model|adapter NAME on UPSTREAM",
        summary="Order an engine to load a model or an adapter.",
        examples=("load model small on engine-2",),
    ),
    "unload": Topic(
        usage="unload model|adapter NAME on UPSTREAM [forced]",
        summary="Order an engine to unload. The last copy needs `forced`.",
        examples=("unload adapter gears on engine-2",),
    ),
    "assign": Topic(
        usage="assign role mixed|prefill|decode to UPSTREAM",
        summary="Order an engine to take a role.",
        examples=("assign role decode to engine-3",),
    ),
    "help": Topic(usage="help [COMMAND]", summary="Show this help.", examples=("help show",)),
}
"""Help texts by the first word of the command."""


def describe_topic(name: str | None) -> tuple[str, ...]:
    """Return the help lines of one command, or of all commands if the name is unknown or None."""
    if name is None or name not in TOPICS:
        return _describe_language()
    topic = TOPICS[name]
    lines = [topic.usage, "  " + topic.summary, "examples:"]
    lines += ["  " + example for example in topic.examples]
    if name == "show":
        lines.append("tables:")
        lines += [f"  {s.name}: {', '.join(s.list_field_names())}" for s in SCHEMAS.values()]
    return tuple(lines)


def _describe_language() -> tuple[str, ...]:
    return tuple(f"{topic.usage}  - {topic.summary}" for topic in TOPICS.values())
