"""Builders of declarations and their parts with valid defaults, for tests."""

from greengagestage.configuration import (
    Declaration,
    Model,
    PlainService,
    ServiceClass,
    Upstream,
    UpstreamKind,
    Workspace,
)
from greengagestage.ids import (
    ClassName,
    FailureDomain,
    ModelName,
    ServiceName,
    UpstreamName,
    WorkspaceId,
)


def build_class(name: str = "phone", priority: int = 0, **changes: object) -> ServiceClass:
    """Return a service class with long latency targets."""
    fields: dict[str, object] = {
        "first_token_target_ms": 2_000,
        "inter_token_target_ms": 100,
        "answer_target_ms": 10_000,
    }
    return ServiceClass(name=ClassName(name), priority=priority, **(fields | changes))  # type: ignore[arg-type]


def build_engine(name: str = "engine-1", **changes: object) -> Upstream:
    """Return an engine that serves the model ``small``."""
    fields: dict[str, object] = {
        "url": "http://127.0.0.1:1",
        "failure_domain": FailureDomain("a"),
        "slots": 4,
        "models": (ModelName("small"),),
    }
    return Upstream(name=UpstreamName(name), kind=UpstreamKind.ENGINE, **(fields | changes))  # type: ignore[arg-type]


def build_workspace(name: str = "gyor", **changes: object) -> Workspace:
    """Return a workspace without keys."""
    fields: dict[str, object] = {"keys": (), "default_class": ClassName("phone")}
    return Workspace(name=WorkspaceId(name), **(fields | changes))  # type: ignore[arg-type]


def build_declaration(**changes: object) -> Declaration:
    """Return a declaration with two classes, two workspaces, two engines and one service."""
    fields: dict[str, object] = {
        "classes": (build_class("phone", 0), build_class("review", 1)),
        "workspaces": (build_workspace("gyor"), build_workspace("pecs")),
        "models": (Model(name=ModelName("small")),),
        "upstreams": (build_engine("engine-1"), build_engine("engine-2")),
        "services": (PlainService(name=ServiceName("bookings")),),
    }
    return Declaration(**(fields | changes))  # type: ignore[arg-type]
