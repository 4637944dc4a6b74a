"""The users' two deployments with their traffic, scaled down to one machine."""

from collections.abc import Mapping

from msgspec import Struct

from greengagestage.configuration import LateAnswer, ServiceClass
from greengagestage.ids import ClassName
from standins._batch import StepCosts
from standins._fleet_shape import EngineShape, FleetShape, HostShape, ServiceShape

ENGINE_COSTS = StepCosts(base_ms=15.0, sequence_ms=0.6, context_us=0.5, prefill_us=60.0)
ENGINE_SLOTS = 8
ENTRY_MODULE = "bench.entry"
GIVE_UP_TARGET_MULTIPLE = 1.5
HOSTS = 2
RESENDS = 2
DRAIN_NOTICE_S = "0.1"


class Traffic(Struct, frozen=True, kw_only=True):
    """The requests of one class; ``work_share`` is its fraction of the offered work."""

    service_class: str
    work_share: float
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]


class Deployment(Struct, frozen=True, kw_only=True):
    """The fleet and traffic of one user."""

    name: str
    domains: int
    engines: int
    service: str
    classes: tuple[ServiceClass, ...]
    traffic: tuple[Traffic, ...]
    workspaces: Mapping[str, float]

    def build_shape(self, engine_options: tuple[str, ...] = ()) -> FleetShape:
        """Return the shape of the fleet to start."""
        return FleetShape(
            engines=tuple(
                EngineShape(
                    name=f"engine-{number}",
                    failure_domain=f"fd-{(number - 1) % self.domains + 1}",
                    slots=ENGINE_SLOTS,
                    options=(*_list_cost_options(), *engine_options),
                )
                for number in range(1, self.engines + 1)
            ),
            services=(
                ServiceShape(name=f"{self.service}-1", service=self.service, failure_domain="fd-1"),
            ),
            hosts=tuple(
                HostShape(name=f"host-{number}", failure_domain=f"fd-{number}")
                for number in range(1, HOSTS + 1)
            ),
            classes=self.classes,
            workspaces=self.workspaces,
            entry_module=ENTRY_MODULE,
            entry_options=("--drain-notice-s", DRAIN_NOTICE_S),
        )


def _list_cost_options() -> tuple[str, ...]:
    return (
        *("--step-base-ms", str(ENGINE_COSTS.base_ms)),
        *("--sequence-ms", str(ENGINE_COSTS.sequence_ms)),
        *("--context-us", str(ENGINE_COSTS.context_us)),
        *("--prefill-us", str(ENGINE_COSTS.prefill_us)),
    )


def _declare_class(
    name: str, priority: int, *, first_ms: int, answer_ms: int, late: LateAnswer, share: float
) -> ServiceClass:
    return ServiceClass(
        name=ClassName(name),
        priority=priority,
        first_token_target_ms=first_ms,
        inter_token_target_ms=300,
        answer_target_ms=answer_ms,
        late_answer=late,
        minimum_share=share,
    )


def _build_workspace_weights(prefix: str) -> dict[str, float]:
    """Return the weights of ten workspaces, three of which are large."""
    weights = (6.0, 4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)
    return {f"{prefix}-{number}": weight for number, weight in enumerate(weights, start=1)}


COOPERATIVE = Deployment(
    name="cooperative",
    domains=4,
    engines=4,
    service="archive",
    classes=(
        _declare_class(
            "phone", 0, first_ms=500, answer_ms=2_000, late=LateAnswer.USELESS, share=0.1
        ),
        _declare_class(
            "summary", 1, first_ms=1_500, answer_ms=5_000, late=LateAnswer.USELESS, share=0.1
        ),
        _declare_class(
            "review", 2, first_ms=4_000, answer_ms=10_000, late=LateAnswer.USEFUL, share=0.1
        ),
    ),
    traffic=(
        Traffic(
            service_class="phone",
            work_share=0.3,
            prompt_tokens=(64, 256),
            output_tokens=(12, 48),
        ),
        Traffic(
            service_class="summary",
            work_share=0.3,
            prompt_tokens=(128, 768),
            output_tokens=(40, 120),
        ),
        Traffic(
            service_class="review",
            work_share=0.4,
            prompt_tokens=(512, 2048),
            output_tokens=(80, 240),
        ),
    ),
    workspaces=_build_workspace_weights("workshop"),
)
"""Gear workshops: nine model servers in four failure domains, scaled to four engines."""

STAND_BUILDERS = Deployment(
    name="stand-builders",
    domains=3,
    engines=3,
    service="booking",
    classes=(
        _declare_class(
            "floor", 0, first_ms=500, answer_ms=2_000, late=LateAnswer.USELESS, share=0.1
        ),
        _declare_class(
            "compliance", 1, first_ms=1_500, answer_ms=4_000, late=LateAnswer.USELESS, share=0.1
        ),
        _declare_class(
            "brief", 2, first_ms=5_000, answer_ms=12_000, late=LateAnswer.USEFUL, share=0.1
        ),
    ),
    traffic=(
        Traffic(
            service_class="floor",
            work_share=0.25,
            prompt_tokens=(64, 256),
            output_tokens=(12, 40),
        ),
        Traffic(
            service_class="compliance",
            work_share=0.25,
            prompt_tokens=(128, 512),
            output_tokens=(20, 80),
        ),
        Traffic(
            service_class="brief",
            work_share=0.5,
            prompt_tokens=(512, 3072),
            output_tokens=(120, 300),
        ),
    ),
    workspaces=_build_workspace_weights("builder"),
)
"""Stand builders: five model servers in three failure domains, scaled to three engines."""

DEPLOYMENTS = (COOPERATIVE, STAND_BUILDERS)
