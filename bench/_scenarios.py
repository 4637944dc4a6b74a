"""Benchmark scenarios: load levels, bursts and engine faults."""

from msgspec import Struct

from standins._faults import Fault, FaultKind
from standins._fleet_shape import MODEL, build_workspace_key
from standins._load_plan import Burst, ClassMix, LoadShape, Sender

from ._capacity import MS_PER_S, compute_rate_per_s
from ._deployments import GIVE_UP_TARGET_MULTIPLE, RESENDS, Deployment


class ScheduledFault(Struct, frozen=True, kw_only=True):
    """A fault to inject into an engine; times are fractions of the load's duration."""

    engine: str
    fault: Fault
    at: float
    restart_at: float | None = None


class Scenario(Struct, frozen=True, kw_only=True):
    """A load level with the faults and bursts that occur during the run.

    ``burst_factor`` multiplies the rate of the second class for a third of the time.
    """

    name: str
    level: float
    burst_factor: float = 1.0
    scheduled_faults: tuple[ScheduledFault, ...] = ()
    engine_options: tuple[str, ...] = ()


SCENARIOS = (
    Scenario(name="level 0.5", level=0.5),
    Scenario(name="level 1.0", level=1.0),
    Scenario(name="level 1.5", level=1.5),
    Scenario(name="level 2.0", level=2.0),
    Scenario(name="burst", level=0.8, burst_factor=6.0),
    Scenario(
        name="straggler",
        level=0.8,
        scheduled_faults=(
            ScheduledFault(engine="engine-1", fault=Fault(kind=FaultKind.SLOW, factor=4.0), at=0.0),
        ),
    ),
    Scenario(name="lagging report", level=1.0, engine_options=("--report-lag-ms", "5000")),
    Scenario(
        name="crash",
        level=0.8,
        scheduled_faults=(
            ScheduledFault(
                engine="engine-2", fault=Fault(kind=FaultKind.CRASH), at=0.4, restart_at=0.7
            ),
        ),
    ),
)

QUICK_SCENARIOS = ("level 1.5", "crash")
BURST_START_FRACTION = 0.33
BURST_LENGTH_FRACTION = 0.33


def build_load(
    deployment: Deployment, scenario: Scenario, *, seed: int, duration_s: float
) -> LoadShape:
    """Return the load of one run, which is the same for every policy."""
    answer_targets_ms = {str(c.name): c.answer_target_ms for c in deployment.classes}
    bursts = (
        Burst(
            service_class=deployment.traffic[1].service_class,
            start_s=BURST_START_FRACTION * duration_s,
            length_s=BURST_LENGTH_FRACTION * duration_s,
            factor=scenario.burst_factor,
        ),
    )
    return LoadShape(
        seed=seed,
        duration_s=duration_s,
        model=str(MODEL),
        classes=tuple(
            ClassMix(
                service_class=traffic.service_class,
                rate_per_s=compute_rate_per_s(deployment, traffic, scenario.level),
                prompt_tokens=traffic.prompt_tokens,
                output_tokens=traffic.output_tokens,
                give_up_s=GIVE_UP_TARGET_MULTIPLE
                * answer_targets_ms[traffic.service_class]
                / MS_PER_S,
                resends=RESENDS,
            )
            for traffic in deployment.traffic
        ),
        senders=tuple(
            Sender(workspace=name, key=build_workspace_key(name), weight=weight)
            for name, weight in deployment.workspaces.items()
        ),
        bursts=bursts if scenario.burst_factor > 1 else (),
    )
