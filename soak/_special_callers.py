"""Callers that send requests in unusual ways, beside the sequential ones."""

import json
from dataclasses import dataclass, replace

from twisted.internet.error import ConnectError

from ._caller import CallerConnection
from ._hosts import Host
from ._ledger import Attempt, Ending, RequestPlan
from ._traffic import Caller, sleep

SERIES_SHARE = 0.4
MAX_SERIES = 4
STREAM_FIRST_SHARE = 0.5

CRASHING_BODY = json.dumps({"work": "crash", "events": 0, "pace_ms": 20, "style": "crash"}).encode()
CRASHING_TARGET = "/open/crash"
"""Hosts take requests for equal by key, target and body; this one needs no key."""


@dataclass(slots=True, kw_only=True)
class PipeliningCaller(Caller):
    """Sends requests before the answers to earlier ones: in pairs, or several in one write."""

    async def run(self) -> None:
        """Send pairs and series until the traffic stops."""
        while not self.context.stopped:
            await sleep(self.context.reactor, self.random.uniform(0.1, 0.6))
            host = self._choose_host(None)
            if self.hazard_random.random() < SERIES_SHARE:
                await self._send_series(host)
            else:
                await self._send_pair(host, self._draw_whole(), self._draw_whole())
        for connection in self._connections.values():
            connection.close()

    def _draw_whole(self) -> RequestPlan:
        """Draw a request that is sent at once and awaited until its answer."""
        return replace(self._draw_plan(), pause_s=0.0, leaves_after_s=None)

    def _draw_series(self) -> list[RequestPlan]:
        """Draw requests for one write, the first a stream at times."""
        plans = [self._draw_whole() for _ in range(self.hazard_random.randint(2, MAX_SERIES))]
        if self.hazard_random.random() < STREAM_FIRST_SHARE:
            streams = (plan for plan in plans if plan.events)
            first = next(streams, plans[0])
            plans = [first, *(plan for plan in plans if plan is not first)]
        return plans

    async def _send_series(self, host: Host) -> None:
        """Send a series behind a first request, or all at once."""
        connection = await self._get_connection(host)
        if connection is None:
            return
        attempts = [
            Attempt(plan=plan, host=host.name, sent_s=self.context.reactor.seconds())
            for plan in self._draw_series()
        ]
        for attempt in attempts:
            self.context.ledger.add(attempt)
        for answer in connection.send_series(attempts):
            await answer
        for attempt in attempts:
            self.context.on_end(attempt)

    async def _get_connection(self, host: Host) -> CallerConnection | None:
        connection = self._connections.get(host.name)
        if connection is None or not connection.usable:
            try:
                connection = await self._connect(host)
            except ConnectError:
                return None
        return connection

    async def _send_pair(self, host: Host, first: RequestPlan, second: RequestPlan) -> None:
        seconds = self.context.reactor.seconds
        connection = await self._get_connection(host)
        if connection is None:
            return
        leading = Attempt(plan=first, host=host.name, sent_s=seconds())
        self.context.ledger.add(leading)
        answers = [connection.send(leading)]
        attempts = [leading]
        await sleep(self.context.reactor, self.random.uniform(0.0, 0.3))
        if leading.ending is Ending.OPEN and connection.usable and not leading.closes:
            following = Attempt(plan=second, host=host.name, sent_s=seconds())
            self.context.ledger.add(following)
            attempts.append(following)
            answers.append(connection.send_following(following))
        for answer in answers:
            await answer
        for attempt in attempts:
            self.context.on_end(attempt)


@dataclass(slots=True, kw_only=True)
class ConnectingCaller(Caller):
    """Opens a connection for each request, to hosts that stop, as behind a late load balancer."""

    async def run(self) -> None:
        """Send a request to one stopping host after the other until the traffic stops."""
        while not self.context.stopped:
            await sleep(self.context.reactor, self.random.uniform(0.01, 0.05))
            stopping = [each for each in self.context.hosts if each.stopping_s and each.running]
            if not stopping:
                continue
            plan = replace(self._draw_plan(), pause_s=0.0, leaves_after_s=None)
            attempt = await self._try(self.random.choice(stopping), plan, new=True)
            self.context.on_end(attempt)
        for connection in self._connections.values():
            connection.close()


@dataclass(slots=True, kw_only=True)
class CrashingCaller(Caller):
    """Sends a request, which crashes each upstream that runs it, again and again.

    Attributes:
        mean_pause_s: Mean time between two tries.
    """

    mean_pause_s: float = 0.65

    async def run(self) -> None:
        """Send the request until the traffic stops."""
        drawn = self._draw_plan()
        while drawn.route != "open":
            drawn = self._draw_plan()
        while not self.context.stopped:
            pause_s = self.mean_pause_s * self.random.uniform(0.5, 1.5)
            await sleep(self.context.reactor, pause_s)
            identifier = self._draw_id()
            headers = [(name, value) for name, value in drawn.headers if value != drawn.attempt]
            plan = replace(
                drawn,
                attempt=identifier,
                target=CRASHING_TARGET,
                body=CRASHING_BODY,
                headers=(("Greengagestage-Attempt-Id", identifier), *headers),
                pause_s=0.0,
                leaves_after_s=None,
                chunked=False,
                crashing=True,
            )
            attempt = await self._try(self._choose_host(None), plan, new=True)
            self.context.on_end(attempt)
