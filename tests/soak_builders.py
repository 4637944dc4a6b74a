"""Builders of the soak's records for tests of its checks."""

from typing import Any

from greengagestage.http1 import IncomingRequest
from soak._answer_checks import AnswerChecks
from soak._arrival_checks import ArrivalChecks
from soak._crash_checks import CrashChecks
from soak._deadline_checks import DeadlineChecks
from soak._disturbances import Disturbances
from soak._findings import Findings
from soak._lag import Lag
from soak._ledger import Arrival, Attempt, Ending, Ledger, RequestPlan, StreamEvent
from soak._limit_checks import LimitChecks
from soak._notice_checks import NoticeChecks
from soak._operator import BASE_KEYS, BASE_ROUTES, Configuration, Operator, Publication, RouteSpec
from soak._retry_checks import RetryChecks

KEY = "key-gyor-1"
ROUTES = {spec.name: spec for spec in BASE_ROUTES}
SENT_S = 100.0


def build_plan(route: str = "order", **fields: Any) -> RequestPlan:
    spec = ROUTES[route]
    values: dict[str, Any] = {
        "attempt": "a1",
        "work": "w1",
        "route": route,
        "kind": spec.kind,
        "resumable": spec.resumable,
        "target": f"/{route}/1",
        "body": b"{}",
        "key": KEY,
        "workspace": "gyor",
        "headers": (),
        "events": 0,
        "deadline_s": 6.0,
    }
    return RequestPlan(**{**values, **fields})


def build_events(*numbers: int, version: str = "v1.1") -> list[StreamEvent]:
    return [StreamEvent(number=number, work="w1", version=version) for number in numbers]


class SoakRecords:
    """A ledger, an operator with one version, and the checks on them."""

    def __init__(self) -> None:
        self.disturbances = Disturbances()
        self.lag = Lag()
        self.ledger = Ledger()
        self.findings = Findings(began_s=0.0, disturbances=self.disturbances)
        self.operator = Operator(reactor=None, store=None, random=None)  # type: ignore[arg-type]
        self.publish(dict(ROUTES), dict(BASE_KEYS), at_s=0.0)
        self.notices = NoticeChecks(findings=self.findings, disturbances=self.disturbances)
        self.crashes = CrashChecks(findings=self.findings, disturbances=self.disturbances)
        self.limits = LimitChecks(findings=self.findings, disturbances=self.disturbances)
        shared = {
            "ledger": self.ledger,
            "findings": self.findings,
            "operator": self.operator,
            "disturbances": self.disturbances,
            "notices": self.notices,
            "crashes": self.crashes,
            "limits": self.limits,
        }
        self.retries = RetryChecks(
            ledger=self.ledger,
            findings=self.findings,
            operator=self.operator,
            disturbances=self.disturbances,
            get_slack=lambda: 2.0,
        )
        self.deadlines = DeadlineChecks(
            ledger=self.ledger,
            findings=self.findings,
            operator=self.operator,
            disturbances=self.disturbances,
            lag=self.lag,
        )
        self.arrivals = ArrivalChecks(**shared, retries=self.retries)  # type: ignore[arg-type]
        self.answers = AnswerChecks(
            **shared,  # type: ignore[arg-type]
            lag=self.lag,
            count_version=lambda _: 2,
            has_logged=lambda host, *texts: self.logged.issuperset(texts),
        )
        self.logged: set[str] = set()

    def publish(self, routes: dict[str, RouteSpec], keys: dict[str, str], *, at_s: float) -> None:
        configuration = Configuration(
            version=len(self.operator.history) + 1, routes=routes, keys=keys
        )
        self.operator.history.append(
            Publication(configuration=configuration, sent_s=at_s, acknowledged_s=at_s)
        )

    def send(self, plan: RequestPlan, **fields: Any) -> Attempt:
        attempt = Attempt(plan=plan, host="host-1", sent_s=SENT_S, last_byte_s=SENT_S, **fields)
        self.ledger.add(attempt)
        return attempt

    def receive(
        self,
        plan: RequestPlan,
        *,
        upstream: str = "i-1",
        service: str = "archive",
        at_s: float = SENT_S + 0.01,
        body: bytes | None = None,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> Arrival:
        """Let an upstream receive and run a request."""
        workspace = [] if plan.workspace is None else [plan.workspace.encode()]
        request = IncomingRequest(
            method=b"POST",
            target=plan.target.encode(),
            headers=[*headers, *((b"greengagestage-tenant", name) for name in workspace)],
            body=plan.body if body is None else body,
            received_s=at_s,
        )
        arrival = Arrival(
            request=request,
            attempt=plan.attempt,
            upstream=upstream,
            service=service,
            version="v1.1",
            arrived_s=at_s,
        )
        self.arrivals.record_arrival(arrival)
        arrival.ran, arrival.status = True, 200
        arrival.signature, arrival.body = f"{upstream}.1", b"answer"
        self.arrivals.record_run(arrival)
        return arrival

    def answer(self, attempt: Attempt, status: int, body: bytes, signature: str | None) -> None:
        """Let a caller receive a complete answer."""
        attempt.status, attempt.body = status, bytearray(body)
        if signature is not None:
            attempt.headers = {"greengagestage-server-signature": signature}
        self.end(attempt, Ending.COMPLETE)

    def end(self, attempt: Attempt, ending: Ending, *, after_s: float = 1.0) -> None:
        attempt.ending, attempt.ended_s = ending, attempt.sent_s + after_s
        self.answers.check(attempt)

    @property
    def rules(self) -> list[str]:
        """The broken rules, in the order in which they were found."""
        return [finding.rule.value for finding in self.findings.listed]
