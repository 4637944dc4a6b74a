"""What callers sent and received, and what upstreams received and ran."""

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from greengagestage.http1 import IncomingRequest


class Ending(Enum):
    """How a caller's request ended.

    ``BEHIND`` stands for a request that was sent behind another one whose answer was broken off, or
    announced its connection's end before the request can have arrived.
    """

    OPEN = "open"
    COMPLETE = "complete"
    BROKEN = "broken"
    BEHIND = "behind"
    LEFT = "left"
    TIMED_OUT = "timed_out"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamEvent:
    """An event of a stream as the caller received it."""

    number: int
    work: str
    version: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestPlan:
    """A request before it is sent.

    Attributes:
        work: Id of the work, the same in all attempts of one caller.
        events: Number of events of a stream; 0 for a plain answer.
        ids: Ids of the events, if they are more than one apart.
        resumes: Id of the attempt that brought the stream's first event.
        version: Software version of the stream's first event.
        pause_s: Pause in the middle of sending the body.
        deadly: Whether the prompt has the part that crashes upstreams.
        unframed: Whether the answer ends with its connection.
        crashing: Whether the request itself crashes upstreams.
    """

    attempt: str
    work: str
    route: str
    kind: str
    resumable: bool
    target: str
    body: bytes
    key: str | None
    workspace: str | None
    headers: tuple[tuple[str, str], ...]
    events: int
    deadline_s: float
    ids: tuple[int, ...] = ()
    last_event: int = 0
    resumes: str | None = None
    version: str | None = None
    leaves_after_s: float | None = None
    chunked: bool = False
    pause_s: float = 0.0
    deadly: bool = False
    unframed: bool = False
    crashing: bool = False

    @property
    def event_ids(self) -> Sequence[int]:
        """The ids of the events in the order in which upstreams send them."""
        return self.ids or range(1, self.events + 1)

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.kind == "idempotent" or (self.kind == "streaming" and self.resumable)


@dataclass(slots=True, kw_only=True)
class Attempt:
    """A caller's request on one connection, and its answer.

    Attributes:
        begun_s: When the caller received the first event of a stream, or the head of another
            answer of an upstream; 0 without either.
        head_s: When the head of the answer arrived.
        was_reset: Whether the connection was reset before the answer was complete.
        is_behind: Whether it was sent before the answer to an earlier one on its connection.
        last_offset: Offset of the end of the request in all that was sent on its connection.
        passed_s: When the proxy had passed the whole request on to its host, whose side of the
            connection was still open; infinite if it had not, None if that is not known.
        host_closed: Whether the proxy knew by the end that the host had closed its side.
    """

    plan: RequestPlan
    host: str
    sent_s: float
    last_byte_s: float = math.inf
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    events: list[StreamEvent] = field(default_factory=list)
    ending: Ending = Ending.OPEN
    ended_s: float = 0.0
    begun_s: float = 0.0
    head_s: float = math.inf
    was_reset: bool = False
    is_behind: bool = False
    last_offset: int = 0
    passed_s: float | None = None
    host_closed: bool = False

    @property
    def closes(self) -> bool:
        """Whether the answer announces that it is the last one of its connection."""
        return self.headers.get("connection", "").lower() == "close"

    @property
    def served(self) -> bool:
        """Whether the caller received a complete success."""
        return self.ending is Ending.COMPLETE and 200 <= self.status < 300


@dataclass(slots=True, kw_only=True)
class Arrival:
    """A request at an upstream.

    Attributes:
        ran: Whether the upstream began to work on it.
        upstream: Instance id of the upstream.
        body: The answer's complete body, once a plain answer was produced.
        broke_off: Whether the upstream itself did not complete its answer.
    """

    request: IncomingRequest
    attempt: str
    upstream: str
    service: str
    version: str
    arrived_s: float
    ran: bool = False
    signature: str = ""
    status: int = 0
    body: bytes = b""
    finished_s: float | None = None
    broke_off: bool = False


@dataclass(slots=True)
class Ledger:
    """All requests of a run.

    Attributes:
        sent_s: When requests were sent, in order, by route.
    """

    attempts: dict[str, Attempt] = field(default_factory=dict)
    arrivals: dict[str, list[Arrival]] = field(default_factory=lambda: defaultdict(list))
    sent_s: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def add(self, attempt: Attempt) -> None:
        """Record a request that is being sent."""
        self.attempts[attempt.plan.attempt] = attempt
        self.sent_s[attempt.plan.route].append(attempt.sent_s)

    def list_runs(self, attempt: str) -> list[Arrival]:
        """Return the arrivals that an upstream began to work on."""
        return [arrival for arrival in self.arrivals.get(attempt, ()) if arrival.ran]
