"""The operator: writes configurations to the store and remembers what each version allows."""

import json
import math
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from ._store import StoreControl

HOST_NAME = "shop.example"


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteSpec:
    """A route of the configuration."""

    name: str
    kind: str
    service: str
    timeout_s: float = 6.0
    max_attempts: int = 1
    resumable: bool = False
    public: bool = False
    gap_ms: int | None = None

    def build(self) -> dict[str, Any]:
        """Return the route as the operator writes it."""
        streaming = self.kind == "streaming"
        return {
            "Name": self.name,
            "Host": HOST_NAME,
            "Prefix": f"/{self.name}/",
            "Kind": self.kind,
            "TimeoutMs": round(self.timeout_s * 1e3),
            "TargetLatencyMs": 400,
            "Service": self.service,
            "MaxAttempts": self.max_attempts,
            "Resumable": self.resumable,
            "Public": self.public,
            "StickySessions": streaming,
            **({"TargetGapMs": self.gap_ms} if self.gap_ms else {}),
        }


BASE_ROUTES = (
    RouteSpec(name="lookup", kind="idempotent", service="archive", max_attempts=2),
    RouteSpec(name="order", kind="non_idempotent", service="archive", max_attempts=2),
    RouteSpec(
        name="talk",
        kind="streaming",
        service="engines",
        max_attempts=2,
        resumable=True,
        gap_ms=200,
    ),
    RouteSpec(name="draft", kind="streaming", service="engines", max_attempts=2, gap_ms=800),
    RouteSpec(name="open", kind="idempotent", service="archive", max_attempts=2, public=True),
    RouteSpec(name="moved", kind="idempotent", service="archive", max_attempts=2),
)
BASE_KEYS = {"key-gyor-1": "gyor", "key-pecs-1": "pecs"}
PLAIN_SERVICES = ("archive", "annex")


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version: its routes by name, and the workspaces by key."""

    version: int
    routes: dict[str, RouteSpec]
    keys: dict[str, str]

    def allows(self, route: str, key: str | None) -> bool:
        """Return whether a request on a route is proper under this version."""
        spec = self.routes.get(route)
        return spec is not None and (spec.public or key in self.keys)

    def build(self) -> bytes:
        """Return the document that the operator writes."""
        engine = {"Slots": 8, "KvCapacityTokens": 100_000, "Stride": 1}
        workspaces = sorted(set(self.keys.values()))
        document = {
            "Version": self.version,
            "Routes": [spec.build() for spec in self.routes.values()],
            "Services": [
                {"Name": "engines", "MaxConnections": 100, "Engine": engine},
                *({"Name": name, "MaxConnections": 100} for name in PLAIN_SERVICES),
            ],
            "Limits": {"HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000},
            "Tenants": [
                {
                    "Name": name,
                    "ApiKeys": [key for key, owner in self.keys.items() if owner == name],
                }
                for name in workspaces
            ],
        }
        return json.dumps(document).encode()


@dataclass(slots=True, kw_only=True)
class Publication:
    """A configuration with the times at which it was sent and acknowledged."""

    configuration: Configuration
    sent_s: float
    acknowledged_s: float = math.inf


@dataclass(slots=True, kw_only=True)
class Operator:
    """Publishes configurations; ``history`` holds them in order."""

    reactor: Any
    store: StoreControl
    random: Random
    history: list[Publication] = field(default_factory=list)
    _number: int = 0

    def publish_first(self) -> "Deferred[None]":
        """Publish the first configuration."""
        routes = {spec.name: spec for spec in BASE_ROUTES}
        return self._publish(Configuration(version=1, routes=routes, keys=dict(BASE_KEYS)))

    @property
    def newest(self) -> Configuration:
        """The configuration that was sent last."""
        return self.history[-1].configuration

    def change(self) -> None:
        """Publish a version with one drawn change."""
        routes, keys = dict(self.newest.routes), dict(self.newest.keys)
        added_routes = [name for name in routes if name.startswith("extra")]
        added_keys = [key for key in keys if key not in BASE_KEYS]
        choices = ["add_route", "add_key", "move", "timeout"]
        choices += ["remove_route"] * bool(added_routes) + ["remove_key"] * bool(added_keys)
        choice = self.random.choice(choices)
        self._number += 1
        match choice:
            case "add_route":
                name = f"extra{self._number}"
                routes[name] = RouteSpec(name=name, kind="idempotent", service="archive")
            case "remove_route":
                del routes[self.random.choice(added_routes)]
            case "add_key":
                keys[f"key-extra-{self._number}"] = self.random.choice(("gyor", "pecs"))
            case "remove_key":
                del keys[self.random.choice(added_keys)]
            case "move":
                service = "annex" if routes["moved"].service == "archive" else "archive"
                routes["moved"] = replace(routes["moved"], service=service)
            case "timeout":
                timeout_s = self.random.choice((5.0, 6.0, 7.0))
                routes["lookup"] = replace(routes["lookup"], timeout_s=timeout_s)
        version = self.newest.version + self.random.randint(1, 3)
        self._publish(Configuration(version=version, routes=routes, keys=keys))

    def list_in_force(self, began_s: float, ended_s: float) -> list[Configuration]:
        """Return the versions that may be in force, if one must be ``began_s`` after its ack."""
        settled = [i for i, entry in enumerate(self.history) if entry.acknowledged_s <= began_s]
        first = settled[-1] if settled else 0
        return [e.configuration for e in self.history[first:] if e.sent_s <= ended_s]

    def find_change(self, began_s: float, ended_s: float) -> bool:
        """Return whether a version was sent or acknowledged within a span."""
        return any(
            entry.sent_s <= ended_s and entry.acknowledged_s >= began_s
            for entry in self.history[1:]
        )

    def _publish(self, configuration: Configuration) -> "Deferred[None]":
        entry = Publication(configuration=configuration, sent_s=self.reactor.seconds())
        self.history.append(entry)
        written = self.store.put("op", "config", configuration.build())
        return written.addCallback(lambda _: self._acknowledge(entry))

    def _acknowledge(self, entry: Publication) -> None:
        entry.acknowledged_s = self.reactor.seconds()
