"""Checks of a whole declaration, which report all faults instead of stopping at the first."""

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
from ._documents import MAX_DECLARATION_BYTES, encode_declaration
from ._faults import Fault

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_EMPTY_KEY_SHA256 = hashlib.sha256(b"").hexdigest()
_METHOD = re.compile(r"[A-Z]{1,16}")
_SHARE_TOLERANCE = 1e-9

_NamedItem = ServiceClass | Workspace | Model | Upstream | PlainService | Operator
_Faults = Iterator[Fault]


def check_declaration(declaration: Declaration) -> tuple[Fault, ...]:
    """Return all faults of a declaration whose values already have the right types."""
    checks: tuple[Callable[[Declaration], _Faults], ...] = (
        _check_names,
        _check_classes,
        _check_workspaces,
        _check_models,
        _check_upstreams,
        _check_services,
        _check_operators,
        _check_quarantined,
        _check_document,
    )
    return tuple(fault for check in checks for fault in check(declaration))


def _check_names(declaration: Declaration) -> _Faults:
    collections: dict[str, tuple[_NamedItem, ...]] = {
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
                    path=f"{collection}[{index}].name",
                    message=(
                        f"{item.name!r} is not a name: up to 128 letters, digits and ._:/-, "
                        "beginning with a letter or a digit"
                    ),
                )


def _check_distinct(paths: Iterable[tuple[str, object]]) -> _Faults:
    first: dict[object, str] = {}
    for path, value in paths:
        if value in first:
            yield Fault(path=path, message=f"{value!r} is already used at {first[value]}")
        else:
            first[value] = path


def _check_at_least(path: str, value: float, minimum: float) -> _Faults:
    if not value >= minimum:
        yield Fault(path=path, message=f"{value} is below {minimum}")


def _check_above_zero(path: str, value: float) -> _Faults:
    if not 0 < value < float("inf"):
        yield Fault(path=path, message=f"{value} is not a finite number above 0")


def _check_ratio(path: str, value: float) -> _Faults:
    if not 0 <= value <= 1:
        yield Fault(path=path, message=f"{value} is not between 0 and 1")


def _check_sha256(path: str, value: str) -> _Faults:
    if value == _EMPTY_KEY_SHA256:
        yield Fault(path=path, message="it is the SHA-256 digest of an empty key")
    if not _SHA256.fullmatch(value):
        yield Fault(
            path=path, message="it is not a SHA-256 digest of 64 lowercase hexadecimal digits"
        )


def _check_classes(declaration: Declaration) -> _Faults:
    if not declaration.classes:
        yield Fault(path="classes", message="at least one service class is required")
    yield from _check_distinct(
        (f"classes[{index}].priority", item.priority)
        for index, item in enumerate(declaration.classes)
    )
    for index, item in enumerate(declaration.classes):
        yield from _check_class(f"classes[{index}]", item)
    total = sum(item.minimum_share for item in declaration.classes)
    if total > 1 + _SHARE_TOLERANCE:
        yield Fault(path="classes", message=f"the minimum shares add up to {total:g}, above 1")


def _check_class(path: str, item: ServiceClass) -> _Faults:
    yield from _check_at_least(f"{path}.priority", item.priority, 0)
    yield from _check_at_least(f"{path}.first_token_target_ms", item.first_token_target_ms, 1)
    yield from _check_at_least(f"{path}.inter_token_target_ms", item.inter_token_target_ms, 1)
    yield from _check_at_least(f"{path}.answer_target_ms", item.answer_target_ms, 1)
    yield from _check_ratio(f"{path}.minimum_share", item.minimum_share)
    yield from _check_at_least(f"{path}.queue_limit", item.queue_limit, 1)
    yield from _check_ratio(f"{path}.retry_ratio", item.retry_ratio)
    if item.answer_target_ms < item.first_token_target_ms:
        yield Fault(
            path=f"{path}.answer_target_ms",
            message="the target for the whole answer is below the target for its first token",
        )


def _check_workspaces(declaration: Declaration) -> _Faults:
    classes = {item.name for item in declaration.classes}
    for index, item in enumerate(declaration.workspaces):
        path = f"workspaces[{index}]"
        if item.default_class not in classes:
            yield Fault(
                path=f"{path}.default_class",
                message=f"there is no service class {item.default_class!r}",
            )
        yield from _check_workspace(path, item)
    yield from _check_distinct(
        (f"workspaces[{index}].keys[{number}]", key.sha256)
        for index, item in enumerate(declaration.workspaces)
        for number, key in enumerate(item.keys)
    )


def _check_workspace(path: str, item: Workspace) -> _Faults:
    for number, key in enumerate(item.keys):
        yield from _check_sha256(f"{path}.keys[{number}].sha256", key.sha256)
    yield from _check_above_zero(f"{path}.weight", item.weight)
    yield from _check_above_zero(f"{path}.requests_per_s", item.requests_per_s)
    yield from _check_at_least(f"{path}.burst", item.burst, 1)
    yield from _check_at_least(f"{path}.concurrency", item.concurrency, 1)


def _check_models(declaration: Declaration) -> _Faults:
    services = {str(item.name) for item in declaration.services}
    for index, item in enumerate(declaration.models):
        path = f"models[{index}]"
        yield from _check_at_least(f"{path}.context_tokens", item.context_tokens, 1)
        yield from _check_distinct(
            (f"{path}.adapters[{number}]", name) for number, name in enumerate(item.adapters)
        )
        if item.name in services:
            yield Fault(path=f"{path}.name", message=f"{item.name!r} is also the name of a service")


def _check_upstreams(declaration: Declaration) -> _Faults:
    models = {item.name for item in declaration.models}
    services = {item.name for item in declaration.services}
    for index, item in enumerate(declaration.upstreams):
        path = f"upstreams[{index}]"
        yield from _check_at_least(f"{path}.slots", item.slots, 1)
        yield from _check_url(f"{path}.url", item.url)
        yield from _check_kind(path, item)
        if not item.failure_domain:
            yield Fault(path=f"{path}.failure_domain", message="it is empty")
        for number, model in enumerate(item.models):
            if model not in models:
                yield Fault(path=f"{path}.models[{number}]", message=f"there is no model {model!r}")
        if item.service is not None and item.service not in services:
            yield Fault(path=f"{path}.service", message=f"there is no service {item.service!r}")
    yield from _check_distinct(
        (f"upstreams[{index}].url", item.url) for index, item in enumerate(declaration.upstreams)
    )


def _check_kind(path: str, item: Upstream) -> _Faults:
    if item.kind is UpstreamKind.ENGINE and item.service is not None:
        yield Fault(path=f"{path}.service", message="an engine cannot belong to a plain service")
    if item.kind is UpstreamKind.SERVICE and item.service is None:
        yield Fault(path=f"{path}.service", message="it is required for a host of a plain service")
    if item.kind is UpstreamKind.SERVICE and item.models:
        yield Fault(path=f"{path}.models", message="a host of a plain service cannot have models")


def _check_url(path: str, url: str) -> _Faults:
    try:
        parts = urlsplit(url)
        port = parts.port
        ipaddress.ip_address(parts.hostname or "")
    except ValueError:
        yield Fault(path=path, message=f"{url!r} has no valid IP address or no valid port")
        return
    if parts.scheme not in ("http", "https"):
        yield Fault(path=path, message=f"{url!r} does not begin with http:// or https://")
    if not port:
        yield Fault(path=path, message=f"{url!r} has no port")
    if parts.path not in ("", "/") or parts.query or parts.fragment or "@" in parts.netloc:
        yield Fault(path=path, message=f"{url!r} has more than a scheme, an IP address and a port")


def _check_services(declaration: Declaration) -> _Faults:
    for index, item in enumerate(declaration.services):
        for number, method in enumerate(item.idempotent_methods):
            if not _METHOD.fullmatch(method):
                yield Fault(
                    path=f"services[{index}].idempotent_methods[{number}]",
                    message=f"{method!r} is not an HTTP method of 1 to 16 capital letters",
                )


def _check_operators(declaration: Declaration) -> _Faults:
    for index, item in enumerate(declaration.operators):
        yield from _check_sha256(f"operators[{index}].sha256", item.sha256)
    yield from _check_distinct(
        (f"operators[{index}].sha256", item.sha256)
        for index, item in enumerate(declaration.operators)
    )


def _check_quarantined(declaration: Declaration) -> _Faults:
    paths = [(f"quarantined[{n}]", value) for n, value in enumerate(declaration.quarantined)]
    yield from _check_distinct(paths)
    for path, value in paths:
        if not value:
            yield Fault(path=path, message="it is empty")


def _check_document(declaration: Declaration) -> _Faults:
    size = len(encode_declaration(declaration))
    if size > MAX_DECLARATION_BYTES:
        yield Fault(
            path="document",
            message=f"as JSON, the declaration has {size} bytes, above {MAX_DECLARATION_BYTES}",
        )
