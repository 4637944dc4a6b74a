"""Polls the load of engines, with a limit on the calls per second."""

import time
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from greengagestage.ids import UpstreamName
from greengagestage.membership import Load
from greengagestage.wire import LoadRecord

from ._load_client import LoadClient

FAILURES_BEFORE_GONE = 3
RECENT_ANSWER_S = 10.0
"""An engine that answered any host within this time is not gone."""


class LoadPoller:
    """Polls the engine whose load is oldest, at a fixed rate.

    ``loads`` also holds what other hosts measured, so that the fleet does not poll an engine
    more often than needed. ``on_load`` is called with each measurement, ``on_failure`` with each
    engine that did not answer.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        client: LoadClient,
        loads: Mapping[UpstreamName, Load],
        polls_per_s: float,
        interval_s: float,
        on_load: Callable[[LoadRecord], None],
        on_failure: Callable[[UpstreamName], None],
    ) -> None:
        self._client = client
        self._loads = loads
        self._interval_s = interval_s
        self._on_load = on_load
        self._on_failure = on_failure
        self._urls: dict[UpstreamName, str] = {}
        self._polled_at_s: dict[UpstreamName, float] = {}
        self._failures: dict[UpstreamName, int] = {}
        self._polls_per_s = polls_per_s
        self._loop = LoopingCall(self._poll_oldest)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start polling."""
        self._loop.start(1 / self._polls_per_s)

    def stop(self) -> Deferred[Any]:
        """Stop polling; the deferred fires once the connections are closed."""
        if self._loop.running:
            self._loop.stop()
        return self._client.close()

    def set_engines(self, urls: dict[UpstreamName, str]) -> None:
        """Poll these engines from now on."""
        self._urls = urls
        self._polled_at_s = {n: at_s for n, at_s in self._polled_at_s.items() if n in urls}
        self._failures = {n: count for n, count in self._failures.items() if n in urls}

    def is_gone(self, name: UpstreamName) -> bool:
        """Return whether an engine answers neither this host nor any other."""
        if self._failures.get(name, 0) < FAILURES_BEFORE_GONE:
            return False
        load = self._loads.get(name)
        return load is None or time.monotonic() - load.measured_at_s > RECENT_ANSWER_S

    def _poll_oldest(self) -> None:
        now_s = time.monotonic()
        name = min(self._urls, key=self._get_last_poll_at_s, default=None)
        if name is None or now_s - self._get_last_poll_at_s(name) < self._interval_s:
            return
        self._polled_at_s[name] = now_s
        Deferred.fromCoroutine(self._measure(name, self._urls[name]))

    def _get_last_poll_at_s(self, name: UpstreamName) -> float:
        """Return the monotonic time of this host's last poll or any host's last measurement."""
        load = self._loads.get(name)
        measured_at_s = load.measured_at_s if load is not None else 0.0
        return max(self._polled_at_s.get(name, 0.0), measured_at_s)

    async def _measure(self, name: UpstreamName, url: str) -> None:
        report = await self._client.read(url)
        if name not in self._urls:
            return
        if report is None:
            self._failures[name] = self._failures.get(name, 0) + 1
            self._on_failure(name)
            return
        self._failures.pop(name, None)
        self._on_load(
            LoadRecord(
                upstream=name,
                running=report.running,
                waiting=report.waiting,
                age_ms=report.age_ms,
            )
        )
