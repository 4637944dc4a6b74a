"""Callers that draw requests, repeat refused ones and take broken streams up again."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import accumulate
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError

from ._caller import CallerConnection
from ._crash_checks import DEADLY_PART
from ._dialing import dial
from ._hosts import Host
from ._ledger import Attempt, Ending, Ledger, RequestPlan
from ._operator import BASE_KEYS, Operator, RouteSpec
from ._upstream import ENDLESS_STYLES, USUAL_STYLES

MAX_TRIES = 3
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)
UNFRAMED_SHARE = 0.1
ENDLESS_SHARE = 0.01
SPACED_SHARE = 0.3
GAPS = (1, 2, 7, 100)
"""Differences between the ids of a stream's events."""


def sleep(reactor: Any, delay_s: float) -> "Deferred[None]":
    """Return a result that fires after a delay."""
    waiting: Deferred[None] = Deferred()
    reactor.callLater(delay_s, waiting.callback, None)
    return waiting


@dataclass(slots=True, kw_only=True)
class TrafficContext:
    """What all callers share.

    Attributes:
        deadly_share: Share of the prompts that have a part which crashes upstreams.
    """

    reactor: Any
    ledger: Ledger
    operator: Operator
    hosts: list[Host]
    on_end: Callable[[Attempt], None]
    on_stray: Callable[[Attempt | None, bytes], None]
    stopped: bool = False
    number: int = 0
    deadly_share: float = 0.0


@dataclass(slots=True, kw_only=True)
class Caller:
    """A sequential caller with one kept connection to each host that it has used.

    Attributes:
        hazard_random: Draws crashing prompts, streams without a length and endless answers. Its own
            source leaves the other draws of a seed as they were.
        ids_random: Draws ids of events, from a source of its own, too.
    """

    context: TrafficContext
    random: Random
    hazard_random: Random
    ids_random: Random
    _connections: dict[str, CallerConnection] = field(default_factory=dict)

    async def run(self) -> None:
        """Send requests until the traffic stops."""
        while not self.context.stopped:
            await sleep(self.context.reactor, self.random.uniform(0.02, 0.3))
            await self._serve(self._draw_plan())
        for connection in self._connections.values():
            connection.close()

    async def _serve(self, plan: RequestPlan) -> None:
        """Send one request, and again as the pages allow it."""
        give_up_s = self.context.reactor.seconds() + plan.deadline_s
        avoided: Host | None = None
        for number in range(MAX_TRIES):
            host = self._choose_host(avoided)
            attempt = await self._try(host, plan, new=number > 0)
            self.context.on_end(attempt)
            left_s = give_up_s - self.context.reactor.seconds()
            following = self._plan_next(attempt, left_s)
            if following is None:
                return
            plan, avoided = following, host
            wait_s = _read_retry_after(attempt, left_s)
            await sleep(self.context.reactor, wait_s)

    def _plan_next(self, attempt: Attempt, left_s: float) -> RequestPlan | None:
        plan = attempt.plan
        if left_s < 0.2 or self.context.stopped or attempt.ending is Ending.TIMED_OUT:
            return None
        if attempt.served or attempt.status in FINAL:
            return None
        repeatable = plan.repeatable or attempt.ending is Ending.NOT_SENT
        if not repeatable and not (
            attempt.ending is Ending.COMPLETE and attempt.status in PROMISES
        ):
            return None
        if attempt.ending is Ending.LEFT and not attempt.events:
            return None
        progress: dict[str, Any] = {}
        if attempt.events:
            progress["last_event"] = attempt.events[-1].number
            progress["resumes"] = plan.resumes or plan.attempt
            progress["version"] = plan.version or attempt.events[0].version
            if attempt.events[-1].number >= plan.event_ids[-1]:
                return None
        identifier = self._draw_id()
        following = replace(
            plan, attempt=identifier, deadline_s=left_s, leaves_after_s=None, **progress
        )
        return replace(following, headers=_build_headers(following))

    async def _try(self, host: Host, plan: RequestPlan, *, new: bool) -> Attempt:
        seconds = self.context.reactor.seconds
        attempt = Attempt(plan=plan, host=host.name, sent_s=seconds())
        self.context.ledger.add(attempt)
        connection = None if new else self._connections.get(host.name)
        if connection is None or not connection.usable:
            try:
                connection = await self._connect(host)
            except ConnectError:
                attempt.ending, attempt.ended_s = Ending.NOT_SENT, seconds()
                return attempt
            attempt.sent_s = seconds()
        await connection.send(attempt)
        return attempt

    async def _connect(self, host: Host) -> CallerConnection:
        context = self.context
        connection: CallerConnection = await dial(
            context.reactor,
            lambda: CallerConnection(
                context.reactor, context.on_stray, host.callers_link.find_passage
            ),
            host.callers,
        )
        old = self._connections.get(host.name)
        if old is not None:
            old.close()
        self._connections[host.name] = connection
        return connection

    def _choose_host(self, avoided: Host | None) -> Host:
        """Choose a host with an open connection, or one that takes new connections."""
        hosts = self.context.hosts
        usable = [host for host in hosts if self._is_connected(host) and host is not avoided]
        if usable and self.random.random() < 0.8:
            return self.random.choice(usable)
        ready = [host for host in hosts if host.in_rotation]
        candidates = ready if 2 * len(ready) >= len(hosts) else hosts
        others = [host for host in candidates if host is not avoided]
        return self.random.choice(others or candidates)

    def _is_connected(self, host: Host) -> bool:
        connection = self._connections.get(host.name)
        return connection is not None and connection.usable

    def _draw_plan(self) -> RequestPlan:
        random, newest = self.random, self.context.operator.newest
        name = random.choice(("lookup", "order", "order", "talk", "talk", "draft", "open", "moved"))
        if random.random() < 0.15:
            name = random.choice(self._list_extra_routes() or [name])
        spec = newest.routes.get(name) or RouteSpec(name=name, kind="idempotent", service="")
        key = None if spec.public else self._draw_key()
        events = random.choice((3, 8, 15, 40)) if spec.kind == "streaming" else 0
        pace_ms = random.choice((15, 30, 60) if events else (5, 20, 60, 400))
        identifier = self._draw_id()
        body: dict[str, Any] = {"work": identifier, "events": events, "pace_ms": pace_ms}
        if not events and random.random() < 0.05:
            body["style"] = random.choice(USUAL_STYLES).value
        hazards = self.hazard_random
        unframed = events > 0 and hazards.random() < UNFRAMED_SHARE
        if unframed:
            body["unframed"] = True
        if not events and hazards.random() < ENDLESS_SHARE:
            body["style"] = hazards.choice(ENDLESS_STYLES).value
        ids = self._draw_ids(events)
        if ids:
            body["ids"] = ids
        body["padding"] = "x" * random.choice((0, 10, 4_000))
        plan = RequestPlan(
            attempt=identifier,
            work=identifier,
            route=name,
            kind=spec.kind,
            resumable=spec.resumable,
            target=f"/{name}/{random.randrange(1_000)}?q={identifier}",
            body=json.dumps(body).encode(),
            key=key,
            workspace=self._find_workspace(key),
            headers=(),
            events=events,
            ids=ids,
            deadline_s=random.choice((4.0, 6.0, 8.0)),
            chunked=random.random() < 0.2,
            pause_s=random.choice((0.01, 0.1, 0.5)) if random.random() < 0.1 else 0.0,
            leaves_after_s=random.uniform(0.01, 0.8) if random.random() < 0.08 else None,
            deadly=events > 0 and hazards.random() < self.context.deadly_share,
            unframed=unframed,
        )
        return replace(plan, headers=_build_headers(plan))

    def _draw_ids(self, events: int) -> tuple[int, ...]:
        """Draw the ids of a stream's events if they are to be more than one apart."""
        if not events or self.ids_random.random() >= SPACED_SHARE:
            return ()
        return tuple(accumulate(self.ids_random.choices(GAPS, k=events)))

    def _list_extra_routes(self) -> list[str]:
        """Return all routes that were ever added, also those that were removed."""
        return sorted(
            {
                name
                for entry in self.context.operator.history
                for name in entry.configuration.routes
                if name.startswith("extra")
            }
        )

    def _draw_key(self) -> str:
        """Draw a basic key, or at times any other key that ever existed."""
        added = [
            key
            for entry in self.context.operator.history
            for key in entry.configuration.keys
            if key not in BASE_KEYS
        ]
        usual = not added or self.random.random() < 0.85
        return self.random.choice(list(BASE_KEYS) if usual else added)

    def _find_workspace(self, key: str | None) -> str | None:
        if key is None:
            return None
        history = self.context.operator.history
        return next(e.configuration.keys[key] for e in history if key in e.configuration.keys)

    def _draw_id(self) -> str:
        self.context.number += 1
        return f"a{self.context.number:05d}{self.random.randrange(16**6):06x}"


def _build_headers(plan: RequestPlan) -> tuple[tuple[str, str], ...]:
    headers = [
        ("Greengagestage-Attempt-Id", plan.attempt),
        ("Greengagestage-Deadline-Ms", str(round(plan.deadline_s * 1e3))),
        ("Greengagestage-Tenant", "forged"),
        ("Kv-From", "forged"),
    ]
    if plan.key is not None:
        headers.append(("Authorization", f"Bearer {plan.key}"))
    if plan.events:
        headers.append(("Greengagestage-Model", "m"))
        headers.append(("Greengagestage-Token-Usage", f"600,{plan.events}"))
        shared = f"aa:400,{DEADLY_PART}:50" if plan.deadly else "aa:400"
        headers.append(("Greengagestage-Prompt-Prefix", f"{shared},{plan.work[1:6]}:200"))
    if plan.last_event:
        headers.append(("Last-Event-Id", str(plan.last_event)))
        headers.append(("Resumes", plan.resumes or ""))
    return tuple(headers)


def _read_retry_after(attempt: Attempt, left_s: float) -> float:
    """Return the pause before the next try, up to a third of the time left."""
    try:
        wanted_s = float(attempt.headers.get("retry-after", "0.05"))
    except ValueError:
        wanted_s = 0.05
    return min(wanted_s, left_s / 3)
