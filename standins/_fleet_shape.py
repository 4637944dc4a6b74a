"""The description of a stand-in fleet, and the router configuration declared for it."""

import hashlib
from collections.abc import Mapping

from msgspec import Struct

from greengagestage.configuration import (
    Declaration,
    FencingMode,
    LateAnswer,
    Model,
    Operator,
    PlainService,
    ServiceClass,
    Upstream,
    UpstreamKind,
    Workspace,
    WorkspaceKey,
)
from greengagestage.ids import (
    ClassName,
    FailureDomain,
    ModelName,
    OperatorName,
    ServiceName,
    UpstreamName,
    WorkspaceId,
)

MODEL = ModelName("gear-7b")
OPERATOR = OperatorName("operations")
OPERATOR_KEY = "operations-key"


class EngineShape(Struct, frozen=True, kw_only=True):
    """One stand-in engine; ``options`` are further flags of ``standins.engine``."""

    name: str
    failure_domain: str
    slots: int = 8
    fencing: FencingMode = FencingMode.CHECKED
    options: tuple[str, ...] = ()


class ServiceShape(Struct, frozen=True, kw_only=True):
    """One host of a plain service; ``options`` are further flags of ``standins.service``."""

    name: str
    service: str
    failure_domain: str
    slots: int = 16
    options: tuple[str, ...] = ()


class HostShape(Struct, frozen=True, kw_only=True):
    """One host, which runs an entry and an agent."""

    name: str
    failure_domain: str


class FleetShape(Struct, frozen=True, kw_only=True):
    """All processes of a fleet.

    ``workspaces`` maps each workspace to its share of the traffic; the ``*_options`` fields are
    further flags of the platform, the entries and the agents.
    """

    engines: tuple[EngineShape, ...]
    services: tuple[ServiceShape, ...]
    hosts: tuple[HostShape, ...]
    classes: tuple[ServiceClass, ...]
    workspaces: Mapping[str, float]
    platform_options: tuple[str, ...] = ()
    entry_module: str = "greengagestage.commands.entry"
    entry_options: tuple[str, ...] = ()
    agent_options: tuple[str, ...] = ()


COOPERATIVE_CLASSES = (
    ServiceClass(
        name=ClassName("phone"),
        priority=0,
        first_token_target_ms=600,
        inter_token_target_ms=200,
        answer_target_ms=2_500,
        late_answer=LateAnswer.USELESS,
        minimum_share=0.3,
    ),
    ServiceClass(
        name=ClassName("summary"),
        priority=1,
        first_token_target_ms=2_000,
        inter_token_target_ms=400,
        answer_target_ms=8_000,
        minimum_share=0.2,
    ),
    ServiceClass(
        name=ClassName("review"),
        priority=2,
        first_token_target_ms=8_000,
        inter_token_target_ms=1_000,
        answer_target_ms=40_000,
        minimum_share=0.1,
    ),
)
"""Short answers during phone calls, then summaries, then long reviews."""

COOPERATIVE_WORKSPACES = {
    "gyor-gears": 3.0,
    "szeged-shafts": 2.0,
    "pecs-profiles": 1.0,
    "eger-torque": 1.0,
    "vac-drawings": 1.0,
    "sopron-design": 1.0,
}
"""Workspaces and their relative shares of the traffic."""


def build_cooperative_shape() -> FleetShape:
    """Return an example fleet, the deployment of a cooperative scaled down to one machine."""
    domains = ("fd-a", "fd-b", "fd-c")
    return FleetShape(
        engines=tuple(
            EngineShape(
                name=f"engine-{number}",
                failure_domain=domain,
                fencing=FencingMode.IGNORED if number == 3 else FencingMode.CHECKED,
            )
            for number, domain in enumerate(domains, start=1)
        ),
        services=(
            ServiceShape(name="archive-1", service="archive", failure_domain="fd-a"),
            ServiceShape(name="booking-1", service="booking", failure_domain="fd-b"),
        ),
        hosts=(
            HostShape(name="host-1", failure_domain="fd-a"),
            HostShape(name="host-2", failure_domain="fd-b"),
        ),
        classes=COOPERATIVE_CLASSES,
        workspaces=COOPERATIVE_WORKSPACES,
    )


def build_workspace_key(workspace: str) -> str:
    """Return the API key of a workspace in stand-in fleets."""
    return f"{workspace}-key"


def build_declaration(shape: FleetShape, urls: Mapping[str, str]) -> Declaration:
    """Return the declaration of a fleet whose upstreams listen at the given URLs."""
    return Declaration(
        classes=shape.classes,
        workspaces=tuple(_declare_workspace(shape, name) for name in shape.workspaces),
        models=(Model(name=MODEL),),
        upstreams=(
            *(_declare_engine(engine, urls[engine.name]) for engine in shape.engines),
            *(_declare_service_host(service, urls[service.name]) for service in shape.services),
        ),
        services=tuple(
            PlainService(name=ServiceName(name))
            for name in sorted({service.service for service in shape.services})
        ),
        operators=(Operator(name=OPERATOR, sha256=_digest(OPERATOR_KEY)),),
    )


def _declare_workspace(shape: FleetShape, name: str) -> Workspace:
    return Workspace(
        name=WorkspaceId(name),
        keys=(WorkspaceKey(sha256=_digest(build_workspace_key(name))),),
        default_class=shape.classes[0].name,
    )


def _declare_engine(engine: EngineShape, url: str) -> Upstream:
    return Upstream(
        name=UpstreamName(engine.name),
        kind=UpstreamKind.ENGINE,
        url=url,
        failure_domain=FailureDomain(engine.failure_domain),
        slots=engine.slots,
        models=(MODEL,),
        fencing=engine.fencing,
    )


def _declare_service_host(service: ServiceShape, url: str) -> Upstream:
    return Upstream(
        name=UpstreamName(service.name),
        kind=UpstreamKind.SERVICE,
        url=url,
        failure_domain=FailureDomain(service.failure_domain),
        slots=service.slots,
        service=ServiceName(service.service),
    )


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
