"""Checks of a whole declaration: every fault is named, none hides another."""

import hashlib
import ipaddress
import re
from collections.abc import Callable, Iterable, Iterator
from urllib.parse import urlsplit

from ._declaration import (
    Declaration,
    Model,
    Operator,
    PlainService,
    ServiceClass,
    Upstream,
    UpstreamKind,
    Workspace,
)
from ._faults import Fault

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_EMPTY_KEY_DIGEST = hashlib.sha256(b"").hexdigest()
_METHOD = re.compile(r"[A-Z]{1,16}")
_SHARE_TOLERANCE = 1e-9

_Named = ServiceClass | Workspace | Model | Upstream | PlainService | Operator
Faults = Iterator[Fault]


def check_declaration(declaration: Declaration) -> tuple[Fault, ...]:
    """Return every fault of a declaration whose values have the right types."""
    checks: tuple[Callable[[Declaration], Faults], ...] = (
        _check_names,
        _check_classes,
        _check_workspaces,
        _check_models,
        _check_upstreams,
        _check_services,
        _check_operators,
        _check_quarantined,
    )
    return tuple(fault for check in checks for fault in check(declaration))


def _check_names(declaration: Declaration) -> Faults:
    collections: dict[str, tuple[_Named, ...]] = {
        "classes": declaration.classes,
        "workspaces": declaration.workspaces,
        "models": declaration.models,
        "upstreams": declaration.upstreams,
        "services": declaration.services,
        "operators": declaration.operators,
    }
    for collection, items in collections.items():
        yield from _check_distinct(
            (f"{collection}[{index}].name", item.name) for index, item in enumerate(items)
        )
        for index, item in enumerate(items):
            if not _NAME.fullmatch(item.name):
                yield Fault(
                    place=f"{collection}[{index}].name",
                    message=f"{item.name!r} is not a name: letters, digits and ._:/- only",
                )


def _check_distinct(places: Iterable[tuple[str, object]]) -> Faults:
    first: dict[object, str] = {}
    for place, value in places:
        if value in first:
            yield Fault(place=place, message=f"{value!r} stands already at {first[value]}")
        else:
            first[value] = place


def _check_at_least(place: str, value: float, minimum: float) -> Faults:
    if not value >= minimum:
        yield Fault(place=place, message=f"{value} is below {minimum}")


def _check_above_zero(place: str, value: float) -> Faults:
    if not 0 < value < float("inf"):
        yield Fault(place=place, message=f"{value} is not a number above 0")


def _check_ratio(place: str, value: float) -> Faults:
    if not 0 <= value <= 1:
        yield Fault(place=place, message=f"{value} is not between 0 and 1")


def _check_sha256(place: str, value: str) -> Faults:
    if value == _EMPTY_KEY_DIGEST:
        yield Fault(place=place, message="it is the digest of an empty key")
    if not _SHA256.fullmatch(value):
        yield Fault(place=place, message="it is not a SHA-256 digest in 64 small hex digits")


def _check_classes(declaration: Declaration) -> Faults:
    if not declaration.classes:
        yield Fault(place="classes", message="at least one service class is needed")
    yield from _check_distinct(
        (f"classes[{index}].priority", item.priority)
        for index, item in enumerate(declaration.classes)
    )
    for index, item in enumerate(declaration.classes):
        yield from _check_class(f"classes[{index}]", item)
    total = sum(item.minimum_share for item in declaration.classes)
    if total > 1 + _SHARE_TOLERANCE:
        yield Fault(place="classes", message=f"the minimum shares add up to {total:g}, above 1")


def _check_class(place: str, item: ServiceClass) -> Faults:
    yield from _check_at_least(f"{place}.priority", item.priority, 0)
    yield from _check_at_least(f"{place}.first_token_target_ms", item.first_token_target_ms, 1)
    yield from _check_at_least(f"{place}.inter_token_target_ms", item.inter_token_target_ms, 1)
    yield from _check_at_least(f"{place}.answer_target_ms", item.answer_target_ms, 1)
    yield from _check_ratio(f"{place}.minimum_share", item.minimum_share)
    yield from _check_at_least(f"{place}.queue_limit", item.queue_limit, 1)
    yield from _check_ratio(f"{place}.retry_ratio", item.retry_ratio)
    if item.answer_target_ms < item.first_token_target_ms:
        yield Fault(
            place=f"{place}.answer_target_ms",
            message="the target for the answer is below the one for its first token",
        )


def _check_workspaces(declaration: Declaration) -> Faults:
    classes = {item.name for item in declaration.classes}
    for index, item in enumerate(declaration.workspaces):
        place = f"workspaces[{index}]"
        if item.default_class not in classes:
            yield Fault(
                place=f"{place}.default_class",
                message=f"there is no service class {item.default_class!r}",
            )
        yield from _check_workspace(place, item)
    yield from _check_distinct(
        (f"workspaces[{index}].keys[{number}]", key.sha256)
        for index, item in enumerate(declaration.workspaces)
        for number, key in enumerate(item.keys)
    )


def _check_workspace(place: str, item: Workspace) -> Faults:
    for number, key in enumerate(item.keys):
        yield from _check_sha256(f"{place}.keys[{number}].sha256", key.sha256)
    yield from _check_above_zero(f"{place}.weight", item.weight)
    yield from _check_above_zero(f"{place}.requests_per_s", item.requests_per_s)
    yield from _check_at_least(f"{place}.burst", item.burst, 1)
    yield from _check_at_least(f"{place}.concurrency", item.concurrency, 1)


def _check_models(declaration: Declaration) -> Faults:
    services = {str(item.name) for item in declaration.services}
    for index, item in enumerate(declaration.models):
        place = f"models[{index}]"
        yield from _check_at_least(f"{place}.context_tokens", item.context_tokens, 1)
        yield from _check_distinct(
            (f"{place}.adapters[{number}]", name) for number, name in enumerate(item.adapters)
        )
        if item.name in services:
            yield Fault(place=f"{place}.name", message=f"a service is named {item.name!r} too")


def _check_upstreams(declaration: Declaration) -> Faults:
    models = {item.name for item in declaration.models}
    services = {item.name for item in declaration.services}
    for index, item in enumerate(declaration.upstreams):
        place = f"upstreams[{index}]"
        yield from _check_at_least(f"{place}.slots", item.slots, 1)
        yield from _check_url(f"{place}.url", item.url)
        yield from _check_kind(place, item)
        if not item.failure_domain:
            yield Fault(place=f"{place}.failure_domain", message="it is empty")
        for number, model in enumerate(item.models):
            if model not in models:
                yield Fault(
                    place=f"{place}.models[{number}]", message=f"there is no model {model!r}"
                )
        if item.service is not None and item.service not in services:
            yield Fault(place=f"{place}.service", message=f"there is no service {item.service!r}")
    yield from _check_distinct(
        (f"upstreams[{index}].url", item.url) for index, item in enumerate(declaration.upstreams)
    )


def _check_kind(place: str, item: Upstream) -> Faults:
    if item.kind is UpstreamKind.ENGINE and item.service is not None:
        yield Fault(place=f"{place}.service", message="an engine belongs to no plain service")
    if item.kind is UpstreamKind.SERVICE and item.service is None:
        yield Fault(place=f"{place}.service", message="it is needed for a host of a service")
    if item.kind is UpstreamKind.SERVICE and item.models:
        yield Fault(place=f"{place}.models", message="a host of a plain service has no models")


def _check_url(place: str, url: str) -> Faults:
    try:
        parts = urlsplit(url)
        port = parts.port
        ipaddress.ip_address(parts.hostname or "")
    except ValueError:
        yield Fault(place=place, message=f"{url!r} has no IP number or no valid port")
        return
    if parts.scheme not in ("http", "https"):
        yield Fault(place=place, message=f"{url!r} does not begin with http:// or https://")
    if not port:
        yield Fault(place=place, message=f"{url!r} names no port")
    if parts.path not in ("", "/") or parts.query or parts.fragment or "@" in parts.netloc:
        yield Fault(place=place, message=f"{url!r} holds more than a scheme, a number and a port")


def _check_services(declaration: Declaration) -> Faults:
    for index, item in enumerate(declaration.services):
        for number, method in enumerate(item.idempotent_methods):
            if not _METHOD.fullmatch(method):
                yield Fault(
                    place=f"services[{index}].idempotent_methods[{number}]",
                    message=f"{method!r} is not a method in capital letters",
                )


def _check_operators(declaration: Declaration) -> Faults:
    for index, item in enumerate(declaration.operators):
        yield from _check_sha256(f"operators[{index}].sha256", item.sha256)
    yield from _check_distinct(
        (f"operators[{index}].sha256", item.sha256)
        for index, item in enumerate(declaration.operators)
    )


def _check_quarantined(declaration: Declaration) -> Faults:
    places = [(f"quarantined[{n}]", value) for n, value in enumerate(declaration.quarantined)]
    yield from _check_distinct(places)
    for place, value in places:
        if not value:
            yield Fault(place=place, message="it is empty")
