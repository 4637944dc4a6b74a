"""Builds the claim store of an entry process."""

from collections.abc import Callable, Collection
from typing import Any

from greengagestage.claims import ClaimStore
from greengagestage.entry import ClaimSettings, EntrySettings, FleetView
from greengagestage.ids import WorkspaceId
from greengagestage.platform import ObjectClient
from greengagestage.services import (
    TableClient,
)


def build_claim_store(
    *,
    reactor: Any,
    settings: EntrySettings,
    fleet: FleetView,
    workspaces: Callable[[], Collection[WorkspaceId]],
) -> ClaimStore:
    """Build the claim store on the platform's services.

    The fleet's write rate is divided by the number of entry hosts, again after each change of
    the fleet.
    """
    limits = settings.claims
    address = {
        "reactor": reactor,
        "base_url": settings.platform,
        "timeout_s": limits.platform_timeout_s,
    }
    claims = ClaimStore(
        reactor=reactor,
        table=TableClient(**address),
        objects=ObjectClient(**address),
        host=settings.host,
        write_budget_per_s=_compute_write_budget(limits, fleet),
        is_live_host=fleet.is_live_host,
        workspaces=workspaces,
        retention_s=limits.retention_s,
    )
    fleet.subscribe(lambda: claims.set_write_budget(_compute_write_budget(limits, fleet)))
    return claims


def _compute_write_budget(limits: ClaimSettings, fleet: FleetView) -> float:
    return limits.fleet_writes_per_s / fleet.entry_hosts
