"""Checks of a configuration document before the operators send it to the store."""

from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
from msgspec import Struct, field
from returns.result import Failure, Result, Success

from greengagestage.catalog import Route, RouteTable
from greengagestage.decoding import decode_json

from ._route_codec import decode_route_table


class DocumentFinding(Struct, frozen=True, kw_only=True):
    """A fault of a document.

    Attributes:
        number: P1xx: hosts reject the document; P2xx: an entry never matches; P3xx: limits
            contradict each other.
        location: Path of the value in the document.
    """

    number: str
    location: str
    message: str


class DocumentReport(Struct, frozen=True, kw_only=True):
    """The result of checking a document.

    Attributes:
        version: The document's version; None if hosts reject it.
        in_force: Version of the document it was compared with; None without one.
        differences: Changes from that one, one per changed field. API keys are only counted.
    """

    version: int | None
    in_force: int | None
    findings: list[DocumentFinding]
    differences: list[str]


class _Scaling(Struct):
    min_servers: float | None = field(name="Min", default=None)
    max_servers: float | None = field(name="Max", default=None)


class _CheckedService(Struct):
    name: str = field(name="Name")
    scaling: _Scaling | None = field(name="Scaling", default=None)


class _CheckedWorkspace(Struct):
    api_keys: list[str] = field(name="ApiKeys", default_factory=list)


class _CheckedLists(Struct):
    """What ``RouteTable`` does not keep: repeated entries and the limits of scaling."""

    services: list[_CheckedService] = field(name="Services")
    workspaces: list[_CheckedWorkspace] | None = field(name="Tenants", default=None)


_Findings = Iterator[DocumentFinding]


def check_document(data: bytes, in_force: bytes | None = None) -> Result[DocumentReport, str]:
    """Check a configuration document, and compare it with the one in force.

    A failure says which of the two is unusable: not a JSON object, or a document in force that
    hosts reject.
    """
    fields = _parse_object(data)
    if fields is None:
        return Failure("the document is not a JSON object")
    current: RouteTable | None = None
    if in_force is not None:
        match decode_route_table(in_force):
            case Success(table):
                current = table
            case failure:
                return Failure(f"the document in force is rejected: {failure.failure()}")
    current_version = None if current is None else current.version
    match decode_route_table(data):
        case Success(table):
            findings = [*_check_version(table, current), *_check_table(table, data)]
            differences = (
                [] if in_force is None else _compare(_parse_object(in_force) or {}, fields)
            )
            version = table.version
        case failure:
            findings = [_reject("", str(failure.failure()))]
            differences, version = [], None
    return Success(
        DocumentReport(
            version=version, in_force=current_version, findings=findings, differences=differences
        )
    )


def _parse_object(data: bytes) -> dict[str, Any] | None:
    return decode_json(data, dict[str, Any]).value_or(None)


def _reject(location: str, message: str) -> DocumentFinding:
    return DocumentFinding(number="P101", location=location or "document", message=message)


def _check_version(table: RouteTable, current: RouteTable | None) -> _Findings:
    if current is not None and table.version <= current.version:
        yield DocumentFinding(
            number="P102",
            location="Version",
            message=f"{table.version} is not above {current.version}, which is in force",
        )


def _check_table(table: RouteTable, data: bytes) -> _Findings:
    decoded = decode_json(data, _CheckedLists)
    if not isinstance(decoded, Success):
        yield _reject("Services", decoded.failure())
        return
    lists = decoded.unwrap()
    names = [service.name for service in lists.services]
    yield from _check_matches(table.routes)
    yield from _check_destinations(table)
    yield from _check_services(table, names)
    yield from _check_keys(lists.workspaces or [])
    yield from _check_route_limits(table.routes)
    yield from _check_scaling(lists.services)
    yield from _check_connection_limits(table)


def _check_matches(routes: Sequence[Route]) -> _Findings:
    last: dict[tuple[str, str], int] = {}
    for index, route in enumerate(routes):
        match = (route.host.lower(), route.prefix)
        if match in last:
            yield DocumentFinding(
                number="P201",
                location=f"Routes[{last[match]}]",
                message=(
                    f"never matches: Routes[{index}] repeats host {route.host} "
                    f"and prefix {route.prefix}"
                ),
            )
        last[match] = index
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield DocumentFinding(
                number="P207",
                location=f"Routes[{index}].Prefix",
                message=f"never matches: {route.prefix!r} does not begin and end with a slash",
            )


def _check_destinations(table: RouteTable) -> _Findings:
    for index, route in enumerate(table.routes):
        known = [each for each in route.destinations if each.service in table.services]
        if not any(destination.weight > 0 for destination in known):
            yield DocumentFinding(
                number="P202",
                location=f"Routes[{index}]",
                message="every destination has weight 0 or is unknown",
            )
            continue
        for destination in route.destinations:
            if destination.weight > 0 and destination.service not in table.services:
                yield DocumentFinding(
                    number="P203",
                    location=f"Routes[{index}].TrafficSplit",
                    message=f"service {destination.service} is unknown",
                )


def _check_services(table: RouteTable, names: Sequence[str]) -> _Findings:
    used = {each.service for route in table.routes for each in route.destinations}
    last: dict[str, int] = {}
    for index, name in enumerate(names):
        if name in last:
            yield DocumentFinding(
                number="P204",
                location=f"Services[{last[name]}]",
                message=f"has no effect: Services[{index}] repeats the name {name}",
            )
        elif name not in used:
            yield DocumentFinding(
                number="P205",
                location=f"Services[{index}]",
                message=f"no route uses service {name}",
            )
        last[name] = index


def _check_keys(workspaces: Sequence[_CheckedWorkspace]) -> _Findings:
    last: dict[str, tuple[int, str]] = {}
    for index, workspace in enumerate(workspaces):
        for position, key in enumerate(workspace.api_keys):
            location = f"Tenants[{index}].ApiKeys[{position}]"
            owner, previous = last.get(key, (index, location))
            last[key] = (index, location)
            if owner != index:
                yield DocumentFinding(
                    number="P206",
                    location=previous,
                    message=f"has no effect: {location} is the same key of another workspace",
                )


def _check_route_limits(routes: Sequence[Route]) -> _Findings:
    for index, route in enumerate(routes):
        if route.target_s > route.timeout_s:
            yield DocumentFinding(
                number="P301",
                location=f"Routes[{index}].TargetLatencyMs",
                message=(
                    f"{route.target_s * 1_000:g} is over TimeoutMs {route.timeout_s * 1_000:g}"
                ),
            )
        if route.max_attempts > 1 and not route.is_retryable:
            yield DocumentFinding(
                number="P302",
                location=f"Routes[{index}].MaxAttempts",
                message=f"{route.max_attempts} on a route that is neither idempotent nor resumable",
            )


def _check_scaling(services: Sequence[_CheckedService]) -> _Findings:
    for index, service in enumerate(services):
        scaling = service.scaling
        if scaling is None or scaling.min_servers is None or scaling.max_servers is None:
            continue
        if scaling.min_servers > scaling.max_servers:
            yield DocumentFinding(
                number="P303",
                location=f"Services[{index}].Scaling.Min",
                message=f"{scaling.min_servers:g} is over Max {scaling.max_servers:g}",
            )


def _check_connection_limits(table: RouteTable) -> _Findings:
    limits = table.limits
    if limits.header_bytes > limits.body_bytes:
        yield DocumentFinding(
            number="P304",
            location="Limits.MaxHeaderBytes",
            message=f"{limits.header_bytes} is over MaxBodyBytes {limits.body_bytes}",
        )


# Differences.


def _compare(old: Any, new: Any, location: str = "") -> list[str]:
    """Return a line for each changed field; entries of lists are matched by their names."""
    if old == new:
        return []
    if location.endswith(".ApiKeys"):
        return [_compare_keys(old, new, location)]
    if isinstance(old, list) and isinstance(new, list):
        named = [_index_by_name(old), _index_by_name(new)]
        if all(each is not None for each in named):
            return _compare_fields(named[0] or {}, named[1] or {}, location, "[{}]")
    if isinstance(old, dict) and isinstance(new, dict):
        return _compare_fields(old, new, location, ".{}" if location else "{}")
    return [f"{location}: {_format(old)} -> {_format(new)}"]


def _compare_fields(
    old: dict[str, Any], new: dict[str, Any], location: str, pattern: str
) -> list[str]:
    lines = []
    for name in [*old, *(name for name in new if name not in old)]:
        path = location + pattern.format(name)
        if name not in new:
            lines.append(f"{path}: removed")
        elif name not in old and isinstance(new[name], dict | list):
            lines.append(f"{path}: added")
        elif name not in old:
            lines.append(f"{path}: added, {_format(new[name])}")
        else:
            lines += _compare(old[name], new[name], path)
    return lines


def _compare_keys(old: Any, new: Any, location: str) -> str:
    before, after = set(old or ()), set(new or ())
    added, removed = len(after - before), len(before - after)
    return (
        f"{location}: {added} added, {removed} removed"
        if added or removed
        else (f"{location}: in another order")
    )


def _index_by_name(entries: list[Any]) -> dict[str, Any] | None:
    """Return entries by name; None if they have no names or one has that of another."""
    names = [entry.get("Name") if isinstance(entry, dict) else None for entry in entries]
    if None in names or len(set(names)) < len(names):
        return None
    return {str(name): entry for name, entry in zip(names, entries, strict=True)}


def _format(value: Any) -> str:
    return msgspec.json.encode(value).decode()
