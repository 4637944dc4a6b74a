"""Builders of requests and declarations, and a driver of the policy, for its tests."""

from collections.abc import Sequence
from typing import Any

from greengagestage.configuration import (
    Declaration,
    LateAnswer,
    Model,
    PlainService,
    ServiceClass,
    Upstream,
    UpstreamKind,
    Workspace,
)
from greengagestage.ids import (
    AttemptId,
    ClassName,
    FailureDomain,
    Fingerprint,
    HostId,
    IdempotencyKey,
    ModelName,
    PoolName,
    RequestId,
    ServiceName,
    UpstreamName,
    WorkspaceId,
)
from greengagestage.policy import (
    Action,
    AttemptFailed,
    AttemptFinished,
    AttemptProgressed,
    DeclarationAdopted,
    Deliver,
    Dispatch,
    Event,
    FailureKind,
    Policy,
    Reject,
    ReplayAnswer,
    Request,
    RequestArrived,
)

MODEL = ModelName("gears")
POOL = PoolName("gears")
TIERS = ("phone", "desk", "brief")  # service classes, the highest priority first
# target times in ms: first token, complete answer
TARGETS_MS = {"phone": (1000, 4000), "desk": (3000, 15000), "brief": (10000, 60000)}


def build_class(name: str, **changes: Any) -> ServiceClass:
    first_ms, answer_ms = TARGETS_MS[name]
    fields: dict[str, Any] = {
        "name": ClassName(name),
        "priority": TIERS.index(name),
        "first_token_target_ms": first_ms,
        "inter_token_target_ms": 50,
        "answer_target_ms": answer_ms,
        "late_answer": LateAnswer.USEFUL,
        "queue_limit": 8,
    }
    return ServiceClass(**{**fields, **changes})


def build_engine(name: str, *, slots: int = 2, domain: str = "a", **changes: Any) -> Upstream:
    fields: dict[str, Any] = {
        "name": UpstreamName(name),
        "kind": UpstreamKind.ENGINE,
        "url": "http://10.0.0.1:80",
        "failure_domain": FailureDomain(domain),
        "slots": slots,
        "models": (MODEL,),
    }
    return Upstream(**{**fields, **changes})


def build_declaration(
    *,
    engines: Sequence[Upstream] | int = 2,
    slots: int = 2,
    classes: Sequence[ServiceClass] | None = None,
    workspaces: Sequence[Workspace] | None = None,
) -> Declaration:
    if isinstance(engines, int):
        engines = [build_engine(f"e{n}", slots=slots) for n in range(engines)]
    return Declaration(
        classes=tuple(classes or [build_class(name) for name in TIERS]),
        workspaces=tuple(workspaces or [build_workspace(name) for name in ("w0", "w1")]),
        models=(Model(name=MODEL),),
        upstreams=tuple(engines),
        services=(PlainService(name=ServiceName("archive")),),
    )


def build_workspace(name: str, **changes: Any) -> Workspace:
    fields: dict[str, Any] = {
        "name": WorkspaceId(name),
        "keys": (),
        "default_class": ClassName("desk"),
        "requests_per_s": 1000.0,
        "burst": 1000,
        "concurrency": 1000,
    }
    return Workspace(**{**fields, **changes})


def build_request(name: str, tier: str = "desk", **changes: Any) -> Request:
    fields: dict[str, Any] = {
        "request_id": RequestId(name),
        "workspace": WorkspaceId("w0"),
        "service_class": ClassName(tier),
        "pool": POOL,
        "fingerprint": Fingerprint(f"f-{name}"),
    }
    if not changes.get("idempotent", True):
        fields["idempotency_key"] = IdempotencyKey(f"k-{name}")
    return Request(**{**fields, **changes})


class Host:
    """A policy with a manual clock that keeps all actions it has returned."""

    def __init__(self, declaration: Declaration | None = None, *, seed: int = 1) -> None:
        self.policy = Policy(host=HostId("h0"), seed=seed)
        self.now_s = 100.0
        self.actions: list[Action] = []
        if declaration is not None:
            self.send(DeclarationAdopted(declaration=declaration))

    def send(self, event: Event, *, after_s: float = 0.0) -> list[Action]:
        self.now_s += after_s
        answer = self.policy.handle(event, self.now_s)
        self.actions.extend(answer)
        return answer

    def arrive(self, name: str, tier: str = "desk", **changes: Any) -> list[Action]:
        return self.send(RequestArrived(request=build_request(name, tier, **changes)))

    def progress(self, attempt: AttemptId, tokens: int, after_s: float = 0.0) -> list[Action]:
        return self.send(AttemptProgressed(attempt_id=attempt, tokens=tokens), after_s=after_s)

    def finish(self, attempt: AttemptId, after_s: float = 0.0) -> list[Action]:
        return self.send(AttemptFinished(attempt_id=attempt), after_s=after_s)

    def fail(self, attempt: AttemptId, kind: FailureKind, **changes: Any) -> list[Action]:
        return self.send(AttemptFailed(attempt_id=attempt, kind=kind, **changes))

    def dispatches(self, name: str) -> list[Dispatch]:
        return [a for a in self.actions if isinstance(a, Dispatch) and a.request_id == name]

    def verdicts(self, name: str) -> list[Deliver | ReplayAnswer | Reject]:
        finals = (Deliver, ReplayAnswer, Reject)
        return [a for a in self.actions if isinstance(a, finals) and a.request_id == name]

    def code(self, name: str) -> str | None:
        """Return the refusal's result code, "DELIVERED", "REPLAYED", or None while it is open."""
        for verdict in self.verdicts(name):
            match verdict:
                case Reject(code=code):
                    return code.name
                case Deliver():
                    return "DELIVERED"
                case ReplayAnswer():
                    return "REPLAYED"
        return None
