"""The agent's clients of the platform."""

from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from greengagestage.platform import ObjectClient
from greengagestage.services import (
    HostListClient,
    TableClient,
    WeightClient,
)


class PlatformClients:
    """One client of each service, opened and closed together."""

    def __init__(self, *, reactor: Any, base_url: str, timeout_s: float) -> None:
        common: dict[str, Any] = {
            "reactor": reactor,
            "base_url": base_url,
            "timeout_s": timeout_s,
        }
        self.table = TableClient(**common)
        self.objects = ObjectClient(**common)
        self.hosts = HostListClient(**common)
        self.weights = WeightClient(**common)

    def close(self) -> Deferred[Any]:
        """Close all connections."""
        clients = (self.table, self.objects, self.hosts, self.weights)
        return DeferredList([client.close() for client in clients])
