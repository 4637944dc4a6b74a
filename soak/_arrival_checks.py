"""Checks of what upstreams receive."""

from ._bounds import CONFIGURATION_APPLY_S, DRAIN_S, REVOCATION_S, STABILITY_WINDOW_S
from ._crash_checks import CrashChecks
from ._disturbances import STORE, Disturbances
from ._findings import Findings, Rule
from ._fleet import UpstreamFleet
from ._ledger import Arrival, Attempt, Ledger
from ._limit_checks import LimitChecks
from ._notice_checks import NoticeChecks
from ._operator import Operator
from ._retry_checks import RetryChecks
from ._upstream import UpstreamObserver

PASSED_UNCHANGED = (
    "greengagestage-model",
    "greengagestage-token-usage",
    "greengagestage-prompt-prefix",
    "resumes",
)
NEVER_PASSED = (
    b"authorization",
    b"greengagestage-hold",
    b"greengagestage-pin-ms",
    b"greengagestage-kv-backup",
    b"kv-from",
)


class ArrivalChecks(UpstreamObserver):
    """Checks each request at an upstream against what its caller sent and what is in force."""

    def __init__(
        self,
        *,
        ledger: Ledger,
        findings: Findings,
        operator: Operator,
        disturbances: Disturbances,
        notices: NoticeChecks,
        crashes: CrashChecks,
        limits: LimitChecks,
        retries: RetryChecks,
    ) -> None:
        self._ledger = ledger
        self._findings = findings
        self._operator = operator
        self._disturbances = disturbances
        self._notices = notices
        self._crashes = crashes
        self._limits = limits
        self._retries = retries
        self.fleet: UpstreamFleet | None = None

    def record_arrival(self, arrival: Arrival) -> None:
        """Check that the request may reach this upstream at all."""
        self._ledger.arrivals[arrival.attempt].append(arrival)
        attempt = self._ledger.attempts.get(arrival.attempt)
        if attempt is None:
            self._findings.add(
                Rule.UNASKED, arrival.arrived_s, arrival.attempt, "no caller sent this request"
            )
            return
        self._check_draining(attempt, arrival)
        self._notices.check_arrival(attempt, arrival)
        self._crashes.check_arrival(attempt, arrival)
        self._limits.check_arrival(attempt, arrival)
        self._retries.check_arrival(attempt, arrival)

    def record_pause(self, arrival: Arrival, pause_s: float) -> None:
        """Remember for how long an upstream wants nothing from a host."""
        attempt = self._ledger.attempts.get(arrival.attempt)
        if attempt is not None:
            self._notices.record_pause(attempt, arrival, pause_s)

    def record_run(self, arrival: Arrival) -> None:
        """Check a request that an upstream begins to work on."""
        attempt = self._ledger.attempts.get(arrival.attempt)
        if attempt is None:
            return
        self._check_unchanged(attempt, arrival)
        self._check_allowed(attempt, arrival)
        runs = self._ledger.list_runs(arrival.attempt)
        if not attempt.plan.repeatable and len(runs) > 1:
            where = ", ".join(run.upstream for run in runs)
            self._add(Rule.TWICE, attempt, arrival, f"ran {len(runs)} times, at {where}")
        if attempt.status in (408, 421, 429, 503):
            self._add(Rule.REFUSED, attempt, arrival, f"runs after its {attempt.status}")

    def _add(self, rule: Rule, attempt: Attempt, arrival: Arrival, text: str) -> None:
        self._findings.add_for(rule, arrival.arrived_s, attempt, f"{text} ({arrival.upstream})")

    def _check_unchanged(self, attempt: Attempt, arrival: Arrival) -> None:
        plan, request = attempt.plan, arrival.request
        sent = {name.lower(): value for name, value in plan.headers}
        changed = [name for name in NEVER_PASSED if request.get(name) is not None]
        for name in PASSED_UNCHANGED:
            received = request.get(name.encode())
            if sent.get(name) != (None if received is None else received.decode("latin-1")):
                changed.append(name.encode())
        if (request.method, request.target) != (b"POST", plan.target.encode()):
            changed.append(b"method or target")
        if request.body != plan.body:
            changed.append(b"body")
        workspace = request.get(b"greengagestage-tenant")
        if workspace != (None if plan.workspace is None else plan.workspace.encode()):
            changed.append(b"workspace")
        if int(request.get(b"last-event-id") or b"0") < plan.last_event:
            changed.append(b"last-event-id")
        if changed:
            names = b", ".join(changed).decode()
            self._add(Rule.UNASKED, attempt, arrival, f"changed or passed on: {names}")

    def _check_allowed(self, attempt: Attempt, arrival: Arrival) -> None:
        """Check the service and the key against the versions that may be in force."""
        plan, history = attempt.plan, self._operator.history
        now_s = arrival.arrived_s

        def is_allowed(began_s: float) -> bool:
            return any(
                version.allows(plan.route, plan.key)
                and version.routes[plan.route].service == arrival.service
                for version in self._operator.list_in_force(began_s, now_s)
            )

        if not is_allowed(history[0].sent_s - 1.0):
            self._add(Rule.ROUTE, attempt, arrival, f"no version sends it to {arrival.service}")
        settled_s = attempt.sent_s - CONFIGURATION_APPLY_S
        in_touch = self._disturbances.is_in_touch(attempt.host, attempt.sent_s, attempt.sent_s)
        if in_touch and not is_allowed(settled_s):
            self._add(Rule.CONFIG, attempt, arrival, f"only old versions allow {arrival.service}")
        keyed = self._operator.list_in_force(attempt.sent_s - REVOCATION_S, now_s)
        if plan.key is not None and not any(plan.key in version.keys for version in keyed):
            self._add(Rule.CONFIG, attempt, arrival, "its key was revoked before")

    def _check_draining(self, attempt: Attempt, arrival: Arrival) -> None:
        if self.fleet is None:
            return
        acknowledged_s = self.fleet.members[arrival.upstream].gone_acknowledged_s
        if acknowledged_s is None or arrival.arrived_s <= acknowledged_s + DRAIN_S:
            return
        in_touch = all(
            self._disturbances.is_in_touch(attempt.host, at_s, at_s)
            for at_s in (attempt.sent_s, arrival.arrived_s)
        )
        stable = self._disturbances.is_calm(STORE, acknowledged_s, acknowledged_s)
        held_up = self._disturbances.was_link_harmed(
            arrival.upstream, arrival.arrived_s - STABILITY_WINDOW_S, arrival.arrived_s
        )
        if in_touch and stable and not held_up:
            late_s = arrival.arrived_s - acknowledged_s
            self._add(Rule.DRAIN, attempt, arrival, f"reaches it {late_s:.2f} s after its leaving")
