"""The platform API of a run: its faults, and checks of the calls of all hosts together."""

import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

from greengagestage.http1 import ServerFactory
from standins.platform_api import ApiFault, PlatformApi

from ._findings import Findings, Rule
from ._ledger import Attempt, Ledger

WINDOW_S = 2.0
LATE_S = 6.0
TOLERANCE = 0.05
EDGE_REQUESTS = 10
"""Requests that may begin in another window than the caller sees."""

SETTLED_S = 8.0
"""Time after the start of the hosts, or after the last fault, from which windows are checked."""

RULES = {
    "Cloud.Duties": "usage_reporting",
    "Cloud.DutyPerS": "20",
    "Bounds.ChecksFence": "true",
    "Bounds.UsageWindowS": f"{WINDOW_S:.0f}",
    "Bounds.UsageLateS": f"{LATE_S:.0f}",
}


@dataclass(slots=True, kw_only=True)
class DutyChecks:
    """Runs the platform API, and checks what the hosts have reported."""

    reactor: Any
    findings: Findings
    ledger: Ledger
    random: Random
    _api: PlatformApi = field(init=False)
    _port: Any = None
    _checked_from_s: float = 0.0

    def __post_init__(self) -> None:
        self._api = PlatformApi(reactor=self.reactor)

    def open(self, interface: str) -> str:
        """Listen for calls; return the lines for the hosts' settings."""
        server = ServerFactory(
            reactor=self.reactor, on_request=self._api.handle, on_refused=self._api.explain_limit
        )
        self._port = self.reactor.listenTCP(0, server, interface=interface)
        address = f"{interface}:{self._port.getHost().port}"
        rules = {"Cloud.Address": address, **RULES}
        return "".join(f"{name}={value}\n" for name, value in rules.items())

    def close(self) -> None:
        """Stop listening."""
        if self._port is not None:
            self._port.stopListening()

    def begin(self) -> None:
        """Check the windows from now on, once the hosts have settled."""
        self._checked_from_s = time.time() + SETTLED_S

    def schedule_faults(self, seconds: float) -> None:
        """Let the API refuse or answer nothing now and then, and check the windows after that."""
        at_s = self.random.uniform(0.0, seconds / 2)
        while at_s < seconds:
            fault = self.random.choice((ApiFault.DOWN, ApiFault.BUSY, ApiFault.SILENT))
            duration_s = self.random.uniform(0.3, 4.0)
            self.reactor.callLater(at_s, setattr, self._api, "fault", fault)
            self.reactor.callLater(at_s + duration_s, setattr, self._api, "fault", ApiFault.NONE)
            at_s += duration_s + self.random.uniform(1.0, seconds / 2)
        self._checked_from_s = time.time() + seconds + SETTLED_S

    def finish(self, *, calm: bool) -> None:
        """Check the calls and the reported windows; the counts only if there were no faults."""
        for text in self._api.findings:
            self._add(text)
        last = int((time.time() - LATE_S) // WINDOW_S) - 1
        first = int(self._checked_from_s // WINDOW_S)
        for window in range(first, last + 1):
            if window not in self._api.windows:
                self._add(f"window {window} was not reported")
        if calm:
            self._check_total(first, last)

    def _check_total(self, first: int, last: int) -> None:
        offset_s = time.time() - self.reactor.seconds()
        begun = sum(
            first <= (each.begun_s + offset_s) // WINDOW_S <= last
            for each in self.ledger.attempts.values()
            if _is_counted(each)
        )
        windows = self._api.windows
        reported = sum(sum(windows.get(number, {}).values()) for number in range(first, last + 1))
        if abs(reported - begun) > TOLERANCE * begun + EDGE_REQUESTS:
            self._add(f"{reported} requests reported, of {begun} that have begun")

    def _add(self, text: str) -> None:
        self.findings.add(Rule.DUTY, self.reactor.seconds(), "-", text)


def _is_counted(attempt: Attempt) -> bool:
    plan = attempt.plan
    return plan.workspace is not None and plan.resumes is None and attempt.begun_s > 0
