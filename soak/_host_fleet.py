"""Hosts under the platform's care: readiness probes, signals, restarts and unexpected ends."""

import signal
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.protocol import Protocol

from ._bounds import GRACE_S
from ._dialing import dial
from ._disturbances import FREEZE, Disturbance, Disturbances
from ._findings import Findings, Rule
from ._hosts import CALLERS_PORT, DEFAULT_SLACK, Host
from ._proxy import Link

PROBE_INTERVAL_S = 1.0
WATCH_INTERVAL_S = 0.05
MAX_READY_AFTER_STOP_S = 4.0
RESTART_DELAY_S = 0.5
EARLY_STATUSES = (-signal.SIGTERM, -signal.SIGHUP)
END_SLACK_S = 0.3
"""Time after the grace period in which the soak may notice the end of a process."""


class _Probe(Protocol):
    """Sends one readiness request and reports whether the answer was a 200."""

    transport: Any

    def __init__(self, on_answer: Any) -> None:
        self._on_answer = on_answer

    def connectionMade(self) -> None:
        self.transport.write(b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")

    def dataReceived(self, data: bytes) -> None:
        on_answer, self._on_answer = self._on_answer, lambda ready: None
        on_answer(data.startswith(b"HTTP/1.1 200"))
        self.transport.abortConnection()


@dataclass(slots=True, kw_only=True)
class HostFleet:
    """All hosts of a run.

    Attributes:
        early_ends: Processes that a signal ended before they listened.
        largest_slack: The largest slack of the retry budget that the settings of a host have named.
        product: Checkout whose code the hosts run; None for the one that the soak runs from.
    """

    reactor: Any
    disturbances: Disturbances
    findings: Findings
    product: Path | None = None
    hosts: list[Host] = field(default_factory=list)
    _interruptions: dict[str, list[Disturbance]] = field(default_factory=lambda: defaultdict(list))
    _starts: dict[str, Disturbance] = field(default_factory=dict)
    early_ends: int = 0
    largest_slack: int = DEFAULT_SLACK
    _closed: bool = False

    def add(
        self, number: int, network: str, store: tuple[str, int], directory: Path, duties: str
    ) -> Host:
        """Set up a host with its links; it is not started yet."""
        address = f"{network}.{number + 1}"
        edge = f"{network}.250"
        callers_link = Link(reactor=self.reactor, interface=edge, target=(address, CALLERS_PORT))
        store_link = Link(reactor=self.reactor, interface=edge, target=store)
        host = Host(
            name=f"host-{number + 1}",
            address=address,
            domain="ab"[number % 2],
            directory=directory,
            duties=duties,
            product=self.product,
            callers_link=callers_link,
            store_link=store_link,
            callers=callers_link.open(),
            store=store_link.open(),
        )
        self.hosts.append(host)
        return host

    def start(self) -> None:
        """Start all hosts, their probes and the watch for ends."""
        for host in self.hosts:
            self._start_process(host)
            self._probe(host)
        self._watch()

    def stop_host(self, host: Host) -> None:
        """Send SIGTERM; the process is killed after the grace period, and starts again."""
        if not host.running or host.stopping_s is not None or host.suspended:
            return
        now_s = self.reactor.seconds()
        host.stopping_s = now_s
        self._interruptions[host.name].append(self.disturbances.begin_stop(host.name, now_s))
        host.send_signal(signal.SIGTERM)
        self.reactor.callLater(MAX_READY_AFTER_STOP_S, self._check_rotation, host, now_s)

    def kill_host(self, host: Host) -> None:
        """Kill a host; it starts again shortly after."""
        if host.running and not host.killed:
            now_s = self.reactor.seconds()
            self._interruptions[host.name].append(self.disturbances.begin(host.name, "kill", now_s))
            host.kill()
            self._schedule_start(host)

    def suspend_host(self, host: Host, duration_s: float) -> None:
        """Send SIGSTOP, and SIGCONT after a time."""
        if not host.running or host.suspended or host.stopping_s is not None:
            return
        host.suspended = True
        freeze = self.disturbances.begin(host.name, FREEZE, self.reactor.seconds())
        host.send_signal(signal.SIGSTOP)
        process = host.process

        def wake() -> None:
            if host.process is process:
                host.suspended = False
                host.send_signal(signal.SIGCONT)
            freeze.ended_s = self.reactor.seconds()

        self.reactor.callLater(duration_s, wake)

    def reload_host(self, host: Host, random: Random, *, signalled: bool) -> None:
        """Change the settings file, and send SIGHUP or leave it to the host to notice."""
        host.slack = random.randint(40, 60)
        self.largest_slack = max(self.largest_slack, host.slack)
        host.write_settings()
        if signalled and host.running:
            self.disturbances.mark_reload(host.name, self.reactor.seconds())
            host.send_signal(signal.SIGHUP)

    def has_logged(self, host: str, *texts: str) -> bool:
        """Return whether a line in the log of a host's processes holds all of some texts."""
        return any(each.name == host and each.has_logged(*texts) for each in self.hosts)

    def close(self) -> None:
        """Kill all processes."""
        self._closed = True
        for host in self.hosts:
            host.kill()

    def _schedule_start(self, host: Host) -> None:
        self.reactor.callLater(RESTART_DELAY_S, self._start_again, host)

    def _start_again(self, host: Host) -> None:
        if self._closed or host.running:
            return
        now_s = self._start_process(host)
        for ended in self._interruptions.pop(host.name, ()):
            ended.ended_s = now_s

    def _start_process(self, host: Host) -> float:
        """Start the process of a host, and record when; its start lasts until it listens."""
        host.start()
        now_s = float(self.reactor.seconds())
        self.disturbances.mark(host.name, "start", now_s)
        self._starts[host.name] = self.disturbances.begin_start(host.name, now_s)
        return now_s

    def _watch(self) -> None:
        """Notice ends of processes, and kill those whose grace period is over."""
        if self._closed:
            return
        for host in self.hosts:
            self._watch_host(host)
        self.reactor.callLater(WATCH_INTERVAL_S, self._watch)

    def _watch_host(self, host: Host) -> None:
        now_s = self.reactor.seconds()
        if host.name in self._starts and (not host.running or host.has_listened):
            self._starts.pop(host.name).ended_s = now_s
        if host.process is None or host.killed:
            return
        status = host.process.poll()
        if status is not None:
            host.killed = True
            # The rules excuse an end within a second of a start. One by a signal of the soak before
            # the process has listened has lost no request either; it is counted apart.
            early = status in EARLY_STATUSES and not host.has_listened
            self.early_ends += early
            if not early and (host.stopping_s is None or status != 0):
                stopped = "" if host.stopping_s is None else " after SIGTERM"
                self._add(host, f"ended with status {status}{stopped}")
            self._schedule_start(host)
        elif host.stopping_s is not None and now_s > host.stopping_s + GRACE_S + END_SLACK_S:
            self._add(host, "still runs after the grace period")
            self.kill_host(host)

    def _probe(self, host: Host) -> None:
        if self._closed:
            return
        answered: list[bool] = []
        connecting = dial(self.reactor, lambda: _Probe(answered.append), host.readiness)
        connecting.addErrback(lambda _: answered.append(False))
        self.reactor.callLater(PROBE_INTERVAL_S, self._count_probe, host, answered)

    def _count_probe(self, host: Host, answered: list[bool]) -> None:
        host.missed_probes = 0 if answered[:1] == [True] else host.missed_probes + 1
        if host.missed_probes == 0:
            host.in_rotation = True
        elif host.missed_probes >= 2:
            host.in_rotation = False
        self._probe(host)

    def _check_rotation(self, host: Host, stopped_s: float) -> None:
        if host.stopping_s == stopped_s and host.running and host.in_rotation:
            self._add(host, f"in rotation {MAX_READY_AFTER_STOP_S:.0f} s after SIGTERM", Rule.DRAIN)

    def _add(self, host: Host, text: str, rule: Rule = Rule.OWN_END) -> None:
        self.findings.add(rule, self.reactor.seconds(), host.name, text)
