"""One request exchange between a fake caller and fake upstreams, on a simulated clock.

The exchange, its attempts, the delivery and the judge of ends without framing are the real ones.
Each connection that they open becomes a ``Run``, whose answer differs from that of any other run,
except the events of a resumable stream. Each run but a probe has an upstream process of its own.
"""

from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Any, cast
from unittest.mock import MagicMock

from twisted.internet.task import Clock

from greengagestage.catalog import Route, RouteKind
from greengagestage.gateway._answer_ends import AnswerEnds
from greengagestage.gateway._context import ExchangeContext
from greengagestage.gateway.exchange import ExchangeInputs, RequestExchange
from greengagestage.gateway.forwarding._forwarding_protocol import (
    ForwardFault,
    build_fault_headers,
    build_forwarded_headers,
)
from greengagestage.http1 import (
    Exchange,
    ExchangeFailure,
    HeaderList,
    IncomingRequest,
    ResponseHead,
)
from greengagestage.ids import AttemptId, Fingerprint, HostId
from greengagestage.results import ResultCode
from greengagestage.routing import ForwardingHost, Job, Placement, Refused
from greengagestage.telemetry import EntryMetrics

from .catalog_builders import LONG, LOOKUP, ORDER, SHORT, build_job, build_route, build_upstream

IDS = tuple(range(1, 13))
MIB = 1_048_576

_BYTES = Random(71).randbytes(8 * MIB)
_METRICS = EntryMetrics(workspace_labels=1)


class Answer(Enum):
    """What the upstreams answer to the requests of a route."""

    PLAIN = "a plain answer"
    ORDER = "a plain answer that is made once"
    RESUMABLE = "a stream with ids"
    WITHOUT_IDS = "a stream without ids"
    ONCE = "a stream that is not resumable"


ROUTES = {
    Answer.PLAIN: build_route(
        name=LOOKUP.name,
        kind=RouteKind.IDEMPOTENT,
        timeout_s=3.0,
        max_attempts=3,
        resumable=False,
        carries_prompt=False,
    ),
    Answer.ORDER: ORDER,
    Answer.RESUMABLE: SHORT,
    Answer.WITHOUT_IDS: SHORT,
    Answer.ONCE: LONG,
}


class Run:
    """A fake connection to an upstream, which answers one request when it is told to.

    Attributes:
        exchange: The request that awaits the end of its answer; None before and after that.
        is_paused: Nothing more is read from the upstream.
        refused: The answer was a refusal, whose rest may still be read.
        body: What the upstream can send as its answer.
        sent: How many bytes of that it has sent.
        is_whole: The upstream has ended its answer after all of it.
        port: Where its upstream process listens.
        opened_s: When the connection was opened.
        events: The ids of the events of a resumable stream that the upstream can send.
        sequel: The event without an id that follows the one after which it is asked to go on.
        skipped: Those that it leaves out, since it begins later than it was asked to.
    """

    def __init__(
        self, number: int, answer: Answer, *, world: "World", port: int, forwarded: bool
    ) -> None:
        self.number = number
        self.answer = answer
        self.forwarded = forwarded
        self.port = port
        self.opened_s = world.clock.seconds()
        self.world = world
        self.exchange: Exchange | None = None
        self.head: ResponseHead | None = None
        self.is_paused = False
        self.refused = False
        self.sent = 0
        self.is_whole = False
        self.events: tuple[int, ...] = ()
        self.sequel = b""
        self.skipped: tuple[int, ...] = ()

    def __len__(self) -> int:
        return len(self.body)

    @property
    def body(self) -> bytes:
        if self.is_plain:
            return _BYTES[self.number * 1_009 :]
        if self.answer is Answer.RESUMABLE:
            events = (build_event(each) + build_sequel(each) for each in self.events)
            return self.sequel + b"".join(events)
        return b"data: run %d\n\n" % self.number * len(IDS)

    @property
    def is_framed(self) -> bool:
        """Whether the end of the connection is no end of an answer."""
        return self.head is None or self.head.framed

    @property
    def is_plain(self) -> bool:
        failed = self.head is not None and self.head.status != 200
        return failed or self.answer in (Answer.PLAIN, Answer.ORDER)

    # What the attempt calls.

    def send(self, exchange: Exchange) -> None:
        self.exchange = exchange
        headers = {name.lower(): value for name, value in exchange.request.headers}
        after = int(headers.get(b"last-event-id", 0))
        rest = [number for number in self.world.ids if number > after]
        begins_at, repeats = self.world.draw_start()
        if begins_at < 0:
            self.events = (*[each for each in self.world.ids if each <= after][begins_at:], *rest)
        else:
            self.skipped, self.events = tuple(rest[:begins_at]), tuple(rest[begins_at:])
            self.sequel = build_sequel(after) if after in self.world.ids else b""
        if repeats and len(self.events) > repeats:
            self.events = (*self.events[:repeats], *self.events[repeats - 1 :])

    def close(self) -> None:
        self.exchange = None

    def pause(self) -> None:
        self.is_paused = True

    def resume(self) -> None:
        self.is_paused = False

    # What the upstream does.

    def begin(self, status: int, headers: HeaderList, *, framed: bool) -> None:
        stream = not self.is_plain and status == 200
        headers = [*headers, (b"content-type", b"text/event-stream")] if stream else headers
        head = ResponseHead(status=status, headers=headers, framed=framed)
        if self.forwarded:
            passed = build_forwarded_headers(head, headers)
            lowered = [(name.lower(), value) for name, value in passed]
            head = ResponseHead(status=status, headers=lowered)
        self.head = head
        if self.exchange is not None:
            self.exchange.listener.receive_head(head)

    def state_fault(self, fault: ForwardFault) -> None:
        headers = [(name.lower(), value) for name, value in build_fault_headers(fault)]
        self.refused = True
        if self.exchange is not None:
            self.exchange.listener.receive_head(ResponseHead(status=502, headers=headers))
        self.end()

    def send_part(self, count: int) -> None:
        data = self.body[self.sent : self.sent + count]
        self.sent += len(data)
        if data and self.exchange is not None:
            self.exchange.listener.receive_body(data)

    def end(self, *, whole: bool = True) -> None:
        self.is_whole = whole
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.listener.end_response()

    def cut(self, count: int) -> None:
        """Send a part of a stream that ends inside an event, and end the answer."""
        position = min(self.sent + count, len(self) - 1)
        position += self.body[:position].endswith(b"\n\n")
        self.send_part(position - self.sent)
        self.end(whole=False)

    def exit(self) -> None:
        """End the upstream process: the kernel closes its connection in order."""
        if self.forwarded:
            self.fail(ExchangeFailure.LOST)  # the other host judges, and breaks the answer off
            return
        self.world.exited.add(self.port)
        if self.is_framed:
            self.fail(ExchangeFailure.LOST)
        else:
            self.end(whole=False)

    def fail(self, failure: ExchangeFailure) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.listener.fail_response(failure)


def build_event(event_id: int) -> bytes:
    """Return an event of a resumable stream."""
    return b"id: %d\ndata: token\n\n" % event_id


def build_sequel(event_id: int) -> bytes:
    """Return the event without an id that follows some events of a resumable stream."""
    return b"data: no id\n\n" if event_id % 5 == 0 else b""


class FakePool:
    """Opens a connection at once, later or not at all, as the world decides."""

    def __init__(self, world: "World", *, forwards: bool) -> None:
        self._world = world
        self._forwards = forwards

    def take_idle(self, endpoint: Any, **fields: Any) -> Run | None:
        if not self._world.keeps_idle:
            return None
        return self._world.add_run(endpoint.port, forwarded=self._forwards)

    def put_idle(self, endpoint: Any, connection: Run) -> None:
        connection.close()

    def open(self, endpoint: Any, *, on_open: Any, on_failed: Any) -> None:
        run = self._world.add_run(endpoint.port, forwarded=self._forwards)
        self._world.opening.append((run, lambda: on_open(run), on_failed))

    def count_alive_since_before(self, endpoint: Any, time_s: float) -> int:
        return self._world.has_others and endpoint.port not in self._world.exited


class FakeCaller:
    """Records what the caller got.

    Attributes:
        refusal: The answer is the host's own.
    """

    def __init__(self, world: "World") -> None:
        self._world = world
        self.listener: Any = None
        self.status: int | None = None
        self.headers: HeaderList = []
        self.parts: list[bytes] = []
        self.is_complete = False
        self.is_aborted = False
        self.is_scarce = False
        self.refusal = False

    @property
    def has_final_answer(self) -> bool:
        return self.is_complete or self.is_aborted

    def hold(self, count: int) -> bool:
        return not self.is_scarce

    def begin(self, status: int, headers: HeaderList) -> None:
        assert self.status is None, "two heads"
        self.status, self.headers = status, headers
        self._world.passed_on = True

    def write(self, data: bytes) -> None:
        assert self.status is not None and not self.has_final_answer, "bytes outside of an answer"
        self.parts.append(data)
        self._world.passed_on = True

    def finish(self) -> None:
        assert not self.has_final_answer, "two ends"
        self.is_complete, self.listener = True, None

    def abort(self) -> None:
        self.is_aborted, self.listener = True, None

    def answer(self, status: int, headers: HeaderList, body: bytes) -> None:
        self.refusal = not any(name == b"run" for name, _ in headers)
        self.begin(status, headers)
        self.write(body)
        self.finish()


class World:
    """An exchange with everything around it.

    Attributes:
        runs: The connections that were opened for the exchange.
        opening: Connections that are being opened: what to call then, and if it fails.
        exited: Ports of the upstream processes that have ended.
        has_others: There are other connections to each upstream process that lives.
        ids: The ids of a resumable stream.
        last_event_id: The event after which the caller takes the stream up; None if it does not.
        draw_start: Returns by how many events the next run begins too early (negative) or too late,
            and after how many it repeats one, 0 if after none.
        keeps_idle: There is an idle connection for each send.
        forwards: Further sends go by way of another host.
        places: There is another upstream for a further send.
        passed_on: Bytes went to the caller in this step.
        left: The caller has left.
    """

    def __init__(
        self, answer: Answer, *, ids: tuple[int, ...] = IDS, last_event_id: int | None = None
    ) -> None:
        self.answer = answer
        self.ids = ids
        self.last_event_id = last_event_id
        self.draw_start: Callable[[], tuple[int, int]] = lambda: (0, 0)
        self.exited: set[int] = set()
        self.has_others = False
        self._placements = 0
        self.clock = Clock()
        self.runs: list[Run] = []
        self.opening: list[tuple[Run, Any, Any]] = []
        self.keeps_idle = True
        self.forwards = False
        self.places = True
        self.passed_on = False
        self.left = False
        self.caller = FakeCaller(self)
        route: Route = ROUTES[answer]
        job = build_job(1, route=route, deadline_s=min(route.timeout_s, 6.0))
        router = MagicMock()
        router.measure_pause_s.return_value = 0.0
        router.links.get_cut_s.return_value = 0.0
        router.place.side_effect = self._place
        quarantine = MagicMock()
        quarantine.find_reason.return_value = None
        quarantine.find_wait_reason.return_value = None
        quarantine.awaits_proof.return_value = False
        pool = cast(Any, FakePool(self, forwards=False))
        context = ExchangeContext(
            reactor=self.clock,
            router=router,
            pool=pool,
            forwarding_pool=cast(Any, FakePool(self, forwards=True)),
            answer_ends=AnswerEnds(reactor=self.clock, pool=pool, list_upstreams=list),
            link_watch=MagicMock(),
            quarantine=quarantine,
            notices=MagicMock(),
            metrics=_METRICS,
            confirm_versions=MagicMock(),
        )
        event_id = b"%d" % last_event_id if last_event_id is not None else None
        headers = [] if event_id is None else [(b"last-event-id", event_id)]
        inputs = ExchangeInputs(
            request=IncomingRequest(
                method=b"GET", target=b"/", headers=headers, body=b"", received_s=0.0
            ),
            job=job,
            workspace=None,
            stream=AttemptId("r-1"),
            last_event_id=event_id,
            fingerprint=Fingerprint("f"),
            version=1,
            version_age_s=None,
        )
        self.exchange = RequestExchange(context=context, inputs=inputs, responder=self.caller)

    def add_run(self, port: int, *, forwarded: bool) -> Run:
        number = len(self.runs) + 1
        run = Run(number, self.answer, world=self, port=port, forwarded=forwarded)
        self.runs.append(run)
        return run

    def build_headers(self, run: Run, *, proven: bool = True) -> HeaderList:
        identity = [(b"greengagestage-attempt-id", b"r-1"), (b"run", b"%d" % run.number)]
        return [*identity, (b"greengagestage-server-signature", b"s")] if proven else identity

    def _place(self, job: Job, now_s: float, tried: Any, unreached: Any) -> Placement | Refused:
        if not self.places:
            return Refused(code=ResultCode.NO_UPSTREAM, retry_after_s=0.1, reason="none")
        via = ForwardingHost(host=HostId("other"), address="127.0.0.1", port=1)
        self._placements += 1
        upstream = build_upstream(self._placements)
        return Placement(
            upstream=upstream, reason="", expected_s=0.05, via=via if self.forwards else None
        )
