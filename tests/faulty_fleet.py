"""A fleet beside faults at drawn moments, with a record of what its upstreams have begun to run."""

import re
from collections import Counter
from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Any

from twisted.internet.error import ConnectionRefusedError

from greengagestage.http1 import IncomingRequest, Responder

from . import host_harness as harness
from .cut_links import Cut, CuttableReactor
from .host_harness import HostFleet, UpstreamStandin, choose_port
from .raw_caller import RawCaller

HOSTS = 3
SITES = 3
MAX_DELAY_S = 0.03
DEADLINES_MS = (60, 300, 1_000)
ENTRY_LIFETIME_S = 2.0
STOP_GRACE_S = 3.2
PATHS = (("archive", "/order/x"), ("engines", "/long/x"))
PROMISES = (408, 421, 429, 503)


class Reply(Enum):
    """How an upstream deals with a request that names it.

    The first two state that the request is not run; it counts as begun with all others.
    """

    REFUSED = "refused"
    REFUSED_UNNAMED = "refused without its id"
    SERVED = "served"
    FAILED = "failed"
    UNSTATED = "a status that promises, without the statement"
    CUT = "cut"
    CUT_AFTER_HEAD = "cut after the head"
    SILENT = "silent"
    NOISE = "noise"


WEIGHTS = {Reply.REFUSED: 8, Reply.REFUSED_UNNAMED: 1, Reply.SERVED: 5}


class Site:
    """An address at which one upstream follows another."""

    def __init__(
        self, fleet: HostFleet, name: str, service: str, random: Random, begun: Counter[str]
    ) -> None:
        self._fleet = fleet
        self._random = random
        self._begun = begun
        self._prefix = name
        self._starts = 0
        self._repeated: dict[Any, bytes] = {}
        self.upstream = fleet.add_upstream(f"{name}-0", service=service, behavior=self._handle)

    @property
    def port(self) -> int:
        return int(self.upstream.port.getHost().port)

    def restart(self) -> None:
        """Start the next upstream; the entry of the one before it stays for a while."""
        self.reset()
        ended = self.upstream.name
        self._starts += 1
        self.upstream.name = f"{self._prefix}-{self._starts}"
        store, reactor = self._fleet.store, self._fleet.reactor
        reactor.callLater(
            self._random.choice((0.0, 0.2)),
            lambda name: store.put("servers", name, self.upstream.build_entry()),
            self.upstream.name,
        )
        reactor.callLater(ENTRY_LIFETIME_S, store.remove, "servers", ended)

    def reset(self) -> None:
        for connection in list(self.upstream.port.factory.connections):
            connection.abort()

    def _handle(self, _: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        transport: Any = responder.transport  # type: ignore[attr-defined]
        transport.write(self._repeated.pop(responder, b""))
        names_it = request.get(b"greengagestage-expect-instance") == self.upstream.name.encode()
        reply = self._draw_reply()
        if names_it and reply not in (Reply.REFUSED, Reply.REFUSED_UNNAMED):
            self._begun[(request.get(b"greengagestage-attempt-id") or b"").decode()] += 1
        answer = self._build_answer(request, reply if names_it else None)
        delay_s = self._random.choice((0.0, self._random.uniform(0.0, MAX_DELAY_S)))
        self._fleet.reactor.callLater(delay_s, self._answer, responder, reply, answer)

    def _draw_reply(self) -> Reply:
        replies = list(Reply)
        return self._random.choices(replies, [WEIGHTS.get(each, 1) for each in replies])[0]

    def _build_answer(
        self, request: IncomingRequest, reply: Reply | None
    ) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        identity = harness.build_identity_headers(request)
        statement = (b"Greengagestage-Not-Executed", b"1")
        match reply:
            case None:
                status, stated = self._random.choice(((421, []), (421, []), (503, [statement])))
                named = identity[:1] if self._random.random() < 0.7 else []
                return status, [*named, *stated], b""
            case Reply.REFUSED:
                return self._random.choice((503, 429, 421)), [identity[0], statement], b"full"
            case Reply.REFUSED_UNNAMED:
                return 503, [statement], b"full"
            case Reply.FAILED:
                return 500, identity, b"broken"
            case Reply.UNSTATED:
                return self._random.choice((503, 429, 408)), identity, b"later"
            case _:
                return 200, identity, b"done"

    def _answer(
        self,
        responder: Any,
        reply: Reply,
        answer: tuple[int, list[tuple[bytes, bytes]], bytes],
    ) -> None:
        status, headers, body = answer
        if not responder.transport.connected or responder.transport.disconnecting:
            return
        is_run = status in (200, 500)
        if is_run and reply is Reply.CUT:
            responder.abort()
        elif is_run and reply is Reply.CUT_AFTER_HEAD:
            responder.begin(status, headers)
            self._fleet.reactor.callLater(0.005, responder.abort)
        elif is_run and reply is Reply.NOISE:
            responder.transport.write(b"HTTP/1.1 no answer\r\n\r\n")
        elif not is_run or reply is not Reply.SILENT:
            if self._random.random() < 0.2:
                responder.transport.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
            responder.answer(status, headers, body)
            self._repeat(responder, status, headers, body)

    def _repeat(
        self, responder: Any, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send the answer again: soon, where the next one is expected, or not at all."""
        lines = [b"%s: %s\r\n" % header for header in headers]
        head = b"HTTP/1.1 %d Again\r\nContent-Length: %d\r\n" % (status, len(body))
        again = head + b"".join(lines) + b"\r\n" + body
        match self._random.randrange(3):
            case 0:
                self._repeated[responder] = again
            case 1:
                transport, delay_s = responder.transport, self._random.uniform(0.0, MAX_DELAY_S)
                self._fleet.reactor.callLater(delay_s, transport.write, again)


class FaultyFleet:
    """Hosts with links that are cut at drawn moments, beside faulty upstreams."""

    def __init__(self, fleet: HostFleet, seed: int) -> None:
        self.begun: Counter[str] = Counter()
        self._fleet = fleet
        self._random = Random(seed)
        service, self._path = PATHS[seed % len(PATHS)]
        self._sites = [
            Site(fleet, f"site-{number}", service, self._random, self.begun)
            for number in range(SITES)
        ]
        self._port = choose_port()
        self._links = [CuttableReactor(fleet.reactor) for _ in range(HOSTS)]
        self._hosts = [
            fleet.start_host(
                f"host-{number}",
                address=f"127.0.0.{number + 2}",
                peer_port=self._port,
                reactor=links,
                retry_slack=1e6,
                stop_grace_s=STOP_GRACE_S,
            )
            for number, links in enumerate(self._links)
        ]
        self._events: list[Callable[[], None]] = [
            self._cut,
            self._cut,
            self._heal,
            self._heal,
            *[self._restart] * 6,
            self._reset,
            self._stop_forwarding,
        ]
        fleet.wait_ready()
        fleet.run_until(lambda: all(each._peers.known_hosts == HOSTS for each in self._hosts))

    @property
    def forwarded(self) -> int:
        return sum(each._forwarding.forwarded for each in self._hosts)

    def play(self, requests: int) -> dict[str, int]:
        """Send requests during faults; return the statuses of those that are answered."""
        callers: list[tuple[list[str], RawCaller]] = []
        for number in range(requests):
            attempts = [f"{number}.{each}" for each in range(self._random.choice((1, 1, 1, 2)))]
            data = b"".join(map(self._build_request, attempts))
            host = self._random.choice(self._hosts)
            try:
                caller = self._fleet.connect(data, host._settings.callers)
            except ConnectionRefusedError:
                assert host._shutdown.begun
                continue
            callers.append((attempts, caller))
            self._fleet.run_for(self._random.uniform(0.0, 0.01))
            if self._random.random() < 0.1:
                self._random.choice(self._events)()
            if self._random.random() < 0.05:
                caller.transport.abortConnection()
            if number == requests // 3:
                self._hosts[0].stop()
        self._fleet.run_for(max(DEADLINES_MS) / 1_000 + 0.5)
        return {
            attempt: int(status)
            for attempts, caller in callers
            for attempt, status in zip(
                attempts, re.findall(rb"HTTP/1.1 (\d+)", caller.data), strict=False
            )
        }

    def _build_request(self, attempt: str) -> bytes:
        return harness.build_request(
            self._path,
            attempt=attempt,
            body=attempt.encode(),
            deadline_ms=self._random.choice(DEADLINES_MS),
            parts=f"aa:600,{attempt}:400",
        )

    def _cut(self) -> None:
        sites = self._random.sample(self._sites, k=self._random.choice((1, 2, 3)))
        ports = [each.port for each in sites]
        if self._random.random() < 0.1:
            ports.append(self._port)
        self._random.choice(self._links).cut(self._random.choice(list(Cut)), ports)

    def _heal(self) -> None:
        for links in self._links:
            links.heal()

    def _restart(self) -> None:
        self._random.choice(self._sites).restart()

    def _reset(self) -> None:
        self._random.choice(self._sites).reset()

    def _stop_forwarding(self) -> None:
        for each in list(self._random.choice(self._hosts)._forwarding.open_requests):
            each.stop()
