"""Snapshots of the policy's state for operators and metrics."""

from dataclasses import dataclass

from greengagestage.ids import ClassName, PoolName, UpstreamName

from ._events import UpstreamState
from ._health import HealthState
from ._lifecycle import RequestState
from ._state import PolicyState


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassLoad:
    """The number of queued and running requests of one class in one pool."""

    pool: PoolName
    service_class: ClassName
    queued: int
    running: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLoad:
    """One upstream as this host sees it."""

    upstream: UpstreamName
    state: UpstreamState
    takes_work: bool
    health: HealthState = HealthState.IN_USE
    in_flight: int
    slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySnapshot:
    """Queued and running requests, and the upstreams, at one moment."""

    classes: tuple[ClassLoad, ...]
    upstreams: tuple[UpstreamLoad, ...]
    open_requests: int
    claiming: int
    suspects: int = 0
    quarantined: int
    stopping: bool


def take_snapshot(state: PolicyState) -> PolicySnapshot:
    """Return a snapshot of the current state."""
    return PolicySnapshot(
        classes=_count_classes(state),
        upstreams=tuple(
            UpstreamLoad(
                upstream=entry.name,
                state=entry.state,
                takes_work=entry.takes_work,
                health=entry.health.state,
                in_flight=len(entry.in_flight),
                slots=entry.slots,
            )
            for entry in state.upstreams
        ),
        open_requests=len(state.records),
        claiming=sum(
            1 for record in state.records.values() if record.state is RequestState.CLAIMING
        ),
        suspects=state.crashes.suspects,
        quarantined=state.crashes.quarantined,
        stopping=state.stopping,
    )


def _count_classes(state: PolicyState) -> tuple[ClassLoad, ...]:
    running: dict[tuple[PoolName, ClassName], int] = {}
    queued: dict[tuple[PoolName, ClassName], int] = {}
    for record in state.records.values():
        key = (record.pool, record.service_class.name)
        if record.attempt is not None:
            running[key] = running.get(key, 0) + 1
        elif record.state is RequestState.QUEUED:
            queued[key] = queued.get(key, 0) + 1
    keys = sorted({**running, **queued})
    return tuple(
        ClassLoad(
            pool=pool,
            service_class=name,
            queued=queued.get((pool, name), 0),
            running=running.get((pool, name), 0),
        )
        for pool, name in keys
    )
