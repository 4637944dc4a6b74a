"""Checks of what callers receive."""

import math
from collections.abc import Callable

from ._bounds import CONFIGURATION_APPLY_S, GRACE_S, LOSS_SLACK_S
from ._crash_checks import CrashChecks
from ._disturbances import Disturbances
from ._excuses import LossExcuses, find_excuse
from ._findings import Findings, Rule
from ._lag import Lag
from ._ledger import Arrival, Attempt, Ending, Ledger
from ._limit_checks import LimitChecks
from ._notice_checks import NoticeChecks
from ._operator import Operator

ALLOWED_MIXED_STREAMS = 2
ALLOWED_OVER_ATTEMPTS = 3
LATE_SHARE_OF_GRACE = 1 / 6
LATE_REQUEST_S = 3.0
MAX_UNREAD_S = 1.0
"""A host that has not read a request for this long loses it, also if its process ends then."""


class AnswerChecks:
    """Checks each answer at its end, and counts those for the rules about shares."""

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
        lag: Lag,
        count_version: Callable[[str], int],
        has_logged: Callable[..., bool],
    ) -> None:
        self._ledger = ledger
        self._findings = findings
        self._operator = operator
        self._disturbances = disturbances
        self._notices = notices
        self._crashes = crashes
        self._limits = limits
        self._lag = lag
        self.loss_excuses = LossExcuses()
        self._count_version = count_version
        self._has_logged = has_logged
        self._unproven: list[tuple[Attempt, str]] = []
        self._forwarded: list[tuple[Attempt, str, list[str]]] = []
        self._mixed_streams = 0
        self._over_attempts = 0
        self._begun = [0, 0]  # new streams: sent, begun
        self._resumed = [0, 0]  # resumed streams: sent, gone on

    def check(self, attempt: Attempt) -> None:
        """Check the answer to a request that has ended for its caller."""
        runs = self._ledger.list_runs(attempt.plan.attempt)
        if attempt.status in (408, 421, 429, 503) and runs:
            self._add(Rule.REFUSED, attempt, f"has run at {runs[0].upstream}")
        self._check_own_answer(attempt, runs)
        self._check_denied(attempt)
        self._check_lost(attempt)
        self._check_servers(attempt, runs)
        self._crashes.check_answer(attempt)
        if attempt.plan.events:
            self._check_events(attempt)
            self._count_stream(attempt)

    def check_stray(self, attempt: Attempt | None, data: bytes, now_s: float) -> None:
        """Report bytes that belong to no request or are no answer."""
        if attempt is None:
            self._findings.add(Rule.MIXED, now_s, "-", f"bytes without a request: {data[:80]!r}")
        else:
            self._add(Rule.MIXED, attempt, f"no answer in the protocol: {data[:80]!r}")

    def finish(self, now_s: float) -> None:
        """Check the rules about shares, and cuts that only a log can judge, at the end of a run."""
        for attempt, text in self._unproven:
            if self._has_logged(attempt.host, attempt.plan.attempt):
                self._add(Rule.LOST, attempt, text)
            else:
                self.loss_excuses.add("unread when its process ended", attempt)
        for attempt, text, hosts in self._forwarded:
            identifier, vias = attempt.plan.attempt, [f'"via":"{host}"' for host in hosts]
            if any(self._has_logged(attempt.host, identifier, via) for via in vias):
                self.loss_excuses.add("forwarding host disturbed", attempt)
            else:
                self._add(Rule.LOST, attempt, text)
        sent, gone_on = self._resumed
        new, begun = self._begun
        if sent >= 12 and new and gone_on / sent < 0.5 * begun / new:
            text = f"{gone_on} of {sent} resumed streams go on, {begun} of {new} new ones begin"
            self._findings.add(Rule.LOST, now_s, "-", text)

    def _add(self, rule: Rule, attempt: Attempt, text: str) -> None:
        self._findings.add_for(rule, attempt.ended_s, attempt, text)

    def _check_own_answer(self, attempt: Attempt, runs: list[Arrival]) -> None:
        """Check that the answer is one whole answer of one of the request's own runs."""
        signature = attempt.headers.get("greengagestage-server-signature")
        run = next((run for run in runs if run.signature == signature), None)
        success = 200 <= attempt.status < 300
        if success and run is None:
            self._add(Rule.MIXED, attempt, f"a success with the signature {signature}")
        elif signature is not None and run is not None and run.status != attempt.status:
            self._add(Rule.MIXED, attempt, f"{attempt.status}, but the upstream gave {run.status}")
        elif signature is not None and run is None:
            self._add(Rule.MIXED, attempt, f"a failure with the signature {signature}")
        if run is not None:
            self._notices.record_answer(attempt, run.upstream)
            self._limits.record_answer(attempt, run.upstream)
        if run is None or attempt.plan.events or attempt.ending is not Ending.COMPLETE:
            return
        if bytes(attempt.body) != run.body:
            self._add(Rule.MIXED, attempt, f"other body: {bytes(attempt.body[:80])!r}")

    def _check_events(self, attempt: Attempt) -> None:
        plan = attempt.plan
        numbers = [event.number for event in attempt.events]
        following = [number for number in plan.event_ids if number > plan.last_event]
        if numbers != following[: len(numbers)]:
            self._add(Rule.ORDER, attempt, f"events {numbers} after {plan.last_event}")
        if any(event.work != plan.work for event in attempt.events):
            self._add(Rule.MIXED, attempt, "events of another stream")
        last = numbers[-1] if numbers else plan.last_event
        if attempt.served and last != plan.event_ids[-1]:
            text = f"complete after event {last} of {plan.event_ids[-1]}"
            self._add(Rule.ORDER, attempt, text)
        versions = list(dict.fromkeys(event.version for event in attempt.events))
        if plan.version is not None and plan.version not in versions[:1]:
            versions = [plan.version, *versions]
        if len(versions) > 1:
            self._mixed_streams += 1
            text = f"stream {self._mixed_streams} with events of {', '.join(versions)}"
            if self._mixed_streams > ALLOWED_MIXED_STREAMS:
                self._add(Rule.ORDER, attempt, text)

    def _check_denied(self, attempt: Attempt) -> None:
        if attempt.status not in (401, 403, 404) or attempt.ending is not Ending.COMPLETE:
            return
        plan = attempt.plan
        in_touch = self._disturbances.is_in_touch(attempt.host, attempt.sent_s, attempt.sent_s)
        in_force = self._operator.list_in_force(
            attempt.sent_s - CONFIGURATION_APPLY_S, attempt.ended_s
        )
        every = [entry.configuration for entry in self._operator.history]
        if all(version.allows(plan.route, plan.key) for version in every):
            self._add(Rule.DENIED, attempt, "all versions allow it")
        elif in_touch and all(version.allows(plan.route, plan.key) for version in in_force):
            self._add(Rule.CONFIG, attempt, "denied as only older versions do")

    def _check_servers(self, attempt: Attempt, runs: list[Arrival]) -> None:
        spec = self._operator.history[0].configuration.routes.get(attempt.plan.route)
        if spec is not None and len({run.upstream for run in runs}) > spec.max_attempts:
            self._over_attempts += 1
            if self._over_attempts > ALLOWED_OVER_ATTEMPTS:
                self._add(Rule.BUDGET, attempt, "ran on more upstreams than MaxAttempts, again")

    def _check_lost(self, attempt: Attempt) -> None:
        """Check a connection that ended without a complete answer, and failures of the host."""
        own_failure = attempt.status in (500, 502, 504) and (
            "greengagestage-server-signature" not in attempt.headers
        )
        arrivals = self._ledger.arrivals.get(attempt.plan.attempt, [])
        is_behind = attempt.ending is Ending.BEHIND and bool(arrivals)
        if attempt.ending is not Ending.BROKEN and not is_behind and not own_failure:
            return
        reason = self._find_loss_excuse(attempt, arrivals, own_failure=own_failure)
        if reason is not None:
            self.loss_excuses.add(reason, attempt)
            return
        began_s = attempt.sent_s
        what = f"own {attempt.status}" if own_failure else "cut"
        where = ", ".join(f"{a.upstream} {a.status or 'unanswered'}" for a in arrivals)
        text = f"{what} after {attempt.ended_s - began_s:.2f} s (at {where or 'no upstream'})"
        text += f" around {self._list_planned(attempt)}"
        if attempt.passed_s is not None:
            text += f", passed on after {attempt.passed_s - began_s:.2f} s"
        # A process that ends resets the connections that it has not read. Only its log shows
        # whether it has read a request that no upstream got.
        read_s = attempt.last_byte_s if attempt.passed_s is None else attempt.passed_s
        may_be_unread = attempt.was_reset and not attempt.status and not arrivals
        if may_be_unread and attempt.ended_s <= read_s + MAX_UNREAD_S:
            self._unproven.append((attempt, text))
            return
        # Only the log shows whether the request went by another host, which was disturbed.
        others = self._disturbances.list_disturbed_hosts(began_s, attempt.ended_s)
        if others and arrivals:
            self._forwarded.append((attempt, text, others))
        else:
            self._add(Rule.LOST, attempt, text)

    def _find_loss_excuse(
        self, attempt: Attempt, arrivals: list[Arrival], *, own_failure: bool
    ) -> str | None:
        """Return why a request without its answer is no loss, if it is none.

        A store that is disturbed is no reason to break a connection off.
        """
        limit_s = min(attempt.plan.deadline_s, self._get_timeout_s(attempt))
        if attempt.ended_s - attempt.sent_s >= limit_s - 0.02:
            return "deadline"
        # The rule is about connections. A host's own failure counts only where an upstream merely
        # owed its answer; it is the right answer after a failure or a lost connection.
        if own_failure and not any(each.ran and not each.status for each in arrivals):
            return "own failure, no upstream at work"
        excuse = find_excuse(self._disturbances, attempt, arrivals)
        if excuse is not None:
            return excuse.reason
        if self._was_at_work_late(attempt, arrivals):
            return "at work at the end of the grace period"
        if arrivals:
            return None
        # A request that crosses the close does not count. In this process, which plays the callers,
        # the links and the upstreams, it may be on its way for longer than ``LOSS_SLACK_S``.
        if attempt.passed_s == math.inf and attempt.host_closed and self._was_to_stop(attempt):
            return "its stopping host had closed before"
        taken_s = attempt.ended_s - attempt.last_byte_s
        lag_s = self._lag.find_sum_s(attempt.last_byte_s, attempt.ended_s)
        if attempt.passed_s == math.inf and taken_s <= LOSS_SLACK_S + lag_s:
            return "crossed the close"
        if own_failure or taken_s <= LOSS_SLACK_S:
            return "cut at once, not passed on"
        return None

    def _get_timeout_s(self, attempt: Attempt) -> float:
        versions = self._operator.list_in_force(0.0, attempt.ended_s)
        specs = [version.routes.get(attempt.plan.route) for version in versions]
        return min((spec.timeout_s for spec in specs if spec is not None), default=6.0)

    def _was_at_work_late(self, attempt: Attempt, arrivals: list[Arrival]) -> bool:
        """Whether an upstream worked on it in the last part of the host's grace period."""
        stop = self._disturbances.find_stop(attempt.host, attempt.sent_s - GRACE_S, attempt.ended_s)
        if stop is None or attempt.sent_s > stop.began_s + LATE_REQUEST_S:
            return False
        late_s = stop.began_s + GRACE_S * (1 - LATE_SHARE_OF_GRACE)
        return any((arrival.finished_s or attempt.ended_s) >= late_s for arrival in arrivals)

    def _was_to_stop(self, attempt: Attempt) -> bool:
        """Whether the request was cut while its host was to stop."""
        began_s, ended_s = attempt.sent_s - GRACE_S - 1.0, attempt.ended_s
        stop = self._disturbances.find_stop(attempt.host, began_s, ended_s)
        return stop is not None and ended_s <= stop.began_s + GRACE_S + 1.0

    def _list_planned(self, attempt: Attempt) -> list[str]:
        began_s, ended_s, host = attempt.sent_s, attempt.ended_s, attempt.host
        causes = ["stop"] if self._was_to_stop(attempt) else []
        if self._disturbances.find_reload(host, began_s - CONFIGURATION_APPLY_S, ended_s):
            causes.append("reload")
        if self._operator.find_change(began_s - CONFIGURATION_APPLY_S - 1.0, ended_s):
            causes.append("configuration")
        return causes

    def _count_stream(self, attempt: Attempt) -> None:
        plan = attempt.plan
        in_touch = self._disturbances.is_in_touch(attempt.host, attempt.sent_s, attempt.ended_s)
        if not in_touch or not plan.resumable or attempt.ending is Ending.LEFT:
            return
        if plan.last_event and plan.version is not None:
            if self._count_version(plan.version) >= 2:
                self._resumed[0] += 1
                self._resumed[1] += bool(attempt.events)
        elif plan.resumes is None:
            self._begun[0] += 1
            self._begun[1] += bool(attempt.events)
