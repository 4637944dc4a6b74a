"""Measures the load of engines, within a bound on the calls a second."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from greengagestage.configuration import Upstream
from greengagestage.ids import UpstreamName

from ._load_client import LoadClient

FAILURES_TO_BE_GONE = 3


@dataclass(slots=True, kw_only=True)
class Measurement:
    """The newest known load of an engine, by whichever host measured it.

    ``failures`` counts this host's calls without an answer since the last answer to anyone.
    """

    running: int = 0
    waiting: int = 0
    measured_at_s: float = 0.0
    failures: int = 0

    @property
    def is_gone(self) -> bool:
        """Whether the engine answers nobody."""
        return self.failures >= FAILURES_TO_BE_GONE


class LoadPolls:
    """Measures the engine whose load is oldest, again and again.

    Another host's measurement counts as much as an own one, so that the fleet does not measure
    an engine more often than needed. ``on_measured`` is called after each call of this host.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        client: LoadClient,
        polls_per_s: float,
        interval_s: float,
        on_measured: Callable[[UpstreamName, Measurement], None],
    ) -> None:
        self.measurements: dict[UpstreamName, Measurement] = {}
        self._client = client
        self._interval_s = interval_s
        self._on_measured = on_measured
        self._engines: dict[UpstreamName, Upstream] = {}
        self._asked_at: dict[UpstreamName, float] = {}
        self._polls_per_s = polls_per_s
        self._loop = LoopingCall(self._poll_oldest)
        self._loop.clock = reactor

    def start(self) -> None:
        """Begin to measure."""
        self._loop.start(1 / self._polls_per_s)

    def stop(self) -> None:
        """Stop measuring."""
        if self._loop.running:
            self._loop.stop()
        self._client.close()

    def set_engines(self, engines: dict[UpstreamName, Upstream]) -> None:
        """Measure these engines from now on."""
        self._engines = engines
        for known in (self.measurements, self._asked_at):
            for name in known.keys() - engines.keys():
                del known[name]  # type: ignore[attr-defined]

    def merge(self, name: UpstreamName, running: int, waiting: int, age_ms: int) -> bool:
        """Take another host's measurement; tell whether it is newer than the known one."""
        at_s = time.monotonic() - age_ms / 1000
        known = self.measurements.get(name)
        if known is not None and known.measured_at_s >= at_s:
            return False
        self.measurements[name] = Measurement(running=running, waiting=waiting, measured_at_s=at_s)
        return True

    def _poll_oldest(self) -> None:
        now = time.monotonic()
        name = min(self._engines, key=self._find_last_time, default=None)
        if name is None or now - self._find_last_time(name) < self._interval_s:
            return
        self._asked_at[name] = now
        Deferred.fromCoroutine(self._measure(name, self._engines[name].url))

    def _find_last_time(self, name: UpstreamName) -> float:
        measurement = self.measurements.get(name)
        measured_at_s = measurement.measured_at_s if measurement else 0.0
        return max(self._asked_at.get(name, 0.0), measured_at_s)

    async def _measure(self, name: UpstreamName, url: str) -> None:
        report = await self._client.read(url)
        if name not in self._engines:
            return
        if report is not None:
            self.merge(name, report.running, report.waiting, report.age_ms)
        else:
            self.measurements.setdefault(name, Measurement()).failures += 1
        self._on_measured(name, self.measurements[name])
