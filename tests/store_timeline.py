"""Hosts, a store and upstreams of two software versions on a simulated clock, without sockets.

The hosts run the watches and decisions of the product. Upstreams write their entries again two
seconds after the store has returned, the latest time at which they do.
"""

import json
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from greengagestage.catalog import RegisteredUpstream
from greengagestage.gateway.exchange._stream_origins import OriginSearch
from greengagestage.gateway.watches import _registry_watch, _version_table
from greengagestage.gateway.watches._registry_watch import RegistryWatch
from greengagestage.gateway.watches._store_era import StoreEra
from greengagestage.gateway.watches._version_table import VersionTable
from greengagestage.ids import AttemptId, SoftwareVersion
from greengagestage.outcomes import Unavailable
from greengagestage.platform import ClockReading, Transaction
from greengagestage.platform._rows import _interpret_read, _interpret_write
from greengagestage.platform._store_calls import StoreAnswer
from greengagestage.routing import StreamOrigin, StreamVersions
from standins._row_tables import RowTables, StoreReply

from .catalog_builders import ENGINES

OLD, NEW = SoftwareVersion("v1"), SoftwareVersion("v2")

ANSWER_S = 0.004
CALL_TIMEOUT_S = 0.7
DATAGRAM_S = 0.001
REWRITE_S = 2.0
SETTLED_S = 8.0
"""Time after the first start until the history of versions is complete and recorded."""


class Timeline:
    """The store, its upstreams and two hosts, which start together and run until all is known.

    Attributes:
        is_down: Whether the store is away.
        takes_writes: Whether the store serves transactions.
        cut: Numbers of the hosts that reach neither the store nor each other.
        apart: Whether the hosts do not reach each other.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = Clock()
        self.clock.advance(1_000.0)
        for module in (_registry_watch, _version_table):
            monkeypatch.setattr(module, "read_boot_time_s", self.clock.seconds, raising=False)
        self.tables = RowTables(revision=1)
        self.is_down = False
        self.takes_writes = True
        self.cut: set[int] = set()
        self.apart = False
        self.listed: dict[str, str] = {}
        self.hosts: dict[int, TimelineHost] = {}
        self._copy = self.tables.copy()
        self.list_upstream(OLD)
        for number in (0, 1):
            self.start_host(number, first_start=True)
        self.run(SETTLED_S)
        self._copy = self.tables.copy()

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end_s = self.clock.seconds() + duration_s
        while self.clock.seconds() < end_s:
            self.step(end_s - self.clock.seconds())

    def step(self, longest_s: float = 1.0) -> None:
        """Let time pass until the next timer, or for the longest time."""
        next_s = min(call.getTime() for call in self.clock.getDelayedCalls())
        self.clock.advance(min(max(next_s - self.clock.seconds(), 0.0), longest_s))

    def start_host(self, number: int, *, first_start: bool = False) -> None:
        """Start a host, in place of the one that had the number."""
        if number in self.hosts:
            self.hosts[number].stop()
        self.hosts[number] = TimelineHost(self, number, first_start=first_start)

    def list_upstream(self, version: str, state: str = "ready") -> None:
        """Let the upstream of a version write its entry, now or once the store is back."""
        self.listed[version] = state
        if not self.is_down:
            self.tables.put("servers", f"engine-{version}", _encode_entry(version, state))

    def remove_upstream(self, version: str) -> None:
        """Remove the upstream of a version for good; its entry goes as soon as the store is up."""
        self.listed.pop(version, None)
        if not self.is_down:
            self.tables.remove("servers", f"engine-{version}")

    def take_down(self) -> None:
        """Let the store go away."""
        self.is_down = True

    def bring_back(self, *, from_copy: bool = False, without: tuple[str, ...] = ()) -> None:
        """Let the store return.

        Args:
            from_copy: Whether it returns from the copy that was taken when all was known.
            without: Versions whose entries have expired.
        """
        self.is_down = False
        if from_copy:
            self.tables.restore(self._copy)
        for version in without:
            self.tables.remove("servers", f"engine-{version}")
        self.clock.callLater(REWRITE_S, self._rewrite)

    def _rewrite(self) -> None:
        if self.is_down:
            return
        for version, state in self.listed.items():
            self.list_upstream(version, state)
        for row in self.tables.list_rows("servers"):
            if row.key.removeprefix("engine-") not in self.listed:
                self.tables.remove("servers", row.key)

    def are_connected(self, *numbers: int) -> bool:
        return not self.apart and not self.cut.intersection(numbers)

    def send(self, sender: int, deliver: Callable[["TimelineHost"], None]) -> None:
        """Send a datagram to the other hosts."""
        for number, host in self.hosts.items():
            if number != sender and host.is_running and self.are_connected(sender, number):
                self.clock.callLater(DATAGRAM_S, deliver, host)


class TimelineRows:
    """The ``RowClient`` of one host."""

    def __init__(self, timeline: Timeline, number: int, era: StoreEra) -> None:
        self._timeline, self._number, self._era = timeline, number, era
        self._clock_reading: ClockReading | None = None

    @property
    def clock(self) -> ClockReading | None:
        return self._clock_reading

    def read(self, table: str) -> Deferred[Any]:
        return self._call(
            lambda: self._timeline.tables.read({"Table": table}),
            lambda answer, sent_s: self._keep_clock(_interpret_read(answer), sent_s),
        )

    def transact(self, transaction: Transaction) -> Deferred[Any]:
        body = msgspec.json.encode(transaction)
        if not self._timeline.takes_writes:
            return succeed(Unavailable(reason="writes refused"))
        return self._call(
            lambda: self._timeline.tables.transact(body),
            lambda answer, sent_s: self._keep_clock(_interpret_write(answer), sent_s),
        )

    def _call(
        self, serve: Callable[[], StoreReply], interpret: Callable[[StoreAnswer, float], Any]
    ) -> Deferred[Any]:
        outcome: Deferred[Any] = Deferred()
        timeline, sent_s = self._timeline, self._timeline.clock.seconds()

        def answer() -> None:
            if timeline.is_down:
                outcome.callback(Unavailable(reason="down"))
                return
            timeline.tables.now_ms = round(timeline.clock.seconds() * 1_000)
            reply, era = serve(), timeline.tables.era
            self._era.observe(era)
            outcome.callback(
                interpret(StoreAnswer(status=reply.status, body=reply.body, era=era), sent_s)
            )

        if self._number in timeline.cut:
            unavailable = Unavailable(reason="timeout")
            timeline.clock.callLater(CALL_TIMEOUT_S, outcome.callback, unavailable)
        else:
            timeline.clock.callLater(ANSWER_S, answer)
        return outcome

    def _keep_clock(self, outcome: Any, sent_s: float) -> Any:
        now_s = self._timeline.clock.seconds()
        store_ms = getattr(outcome, "store_clock_ms", None)
        if store_ms:
            self._clock_reading = ClockReading(
                sent_s=sent_s, received_s=now_s, store_s=store_ms / 1_000, era=self._era.number
            )
        return outcome


class TimelineHost:
    """The parts of a host that know the upstreams and the origins of streams.

    Attributes:
        upstreams: The host's copy of the registry.
        begun: The streams that began at this host, with their versions.
    """

    def __init__(self, timeline: Timeline, number: int, *, first_start: bool) -> None:
        self.timeline, self.number = timeline, number
        self.is_running = True
        self.upstreams: list[RegisteredUpstream] = []
        self.begun: dict[AttemptId, SoftwareVersion | None] = {}
        self.versions = StreamVersions()
        self.era = StoreEra()
        rows: Any = TimelineRows(timeline, number, self.era)
        self.registry = RegistryWatch(
            reactor=timeline.clock,
            rows=rows,
            era=self.era,
            random=Random(number),
            on_change=self._adopt,
            on_returned=lambda upstream: None,
            on_report=lambda report: timeline.send(
                number, lambda host: host.registry.receive_report(report)
            ),
            get_rank=lambda: number,
            on_gap=lambda: self.table.handle_gap(),
        )
        self.table = VersionTable(
            reactor=timeline.clock,
            rows=rows,
            era=self.era,
            versions=self.versions,
            random=Random(10 + number),
            first_start=first_start,
            list_services=lambda: {ENGINES},
            read_registry_revision=lambda: self.registry.revision,
            get_rank=lambda: number,
            on_report=lambda report: timeline.send(
                number, lambda host: host.table.receive_report(report)
            ),
        )
        self._context: Any = SimpleNamespace(
            reactor=timeline.clock,
            router=SimpleNamespace(stream_versions=self.versions),
            confirm_versions=lambda service: self.registry.confirm().addCallback(
                lambda is_complete: self.table.confirm(service) if is_complete else False
            ),
            open_exchanges=set(),
        )
        self.registry.start()
        self.table.start()
        self._share_streams()

    def stop(self) -> None:
        """Stop the host; its memory is lost."""
        self.is_running = False
        self.registry.stop()
        self.table.stop()

    def begin_stream(self) -> AttemptId | None:
        """Begin a stream where the host may; return its id, None if it may nowhere."""
        now_s = self.timeline.clock.seconds()
        ready = [each for each in self.upstreams if each.availability.name == "READY"]
        serving = {each.software_version for each in ready}
        allowed = self.versions.list_beginnings(ENGINES, serving, now_s)
        if not allowed:
            return None
        version = max(each or "" for each in allowed)
        stream = AttemptId(f"{self.number}-{len(self.begun)}-{now_s}")
        self.begun[stream] = SoftwareVersion(version)
        self.versions.origins.record_local(stream, StreamOrigin(software_version=version), now_s)
        return stream

    def take_up(self, stream: AttemptId) -> str | None:
        """Return the version at which the host lets a stream go on; None if it refuses."""
        found: list[StreamOrigin | None] = []
        OriginSearch(
            context=self._context,
            metadata=SimpleNamespace(  # type: ignore[arg-type]
                attempt_id=AttemptId("again"), resumed_attempt=stream, last_event_id=b"1"
            ),
            stream=stream,
            service=ENGINES,
            responder=SimpleNamespace(listener=None),  # type: ignore[arg-type]
            on_found=found.append,
        ).start()
        while not found:
            self.timeline.step()
        return None if found[0] is None else found[0].software_version

    def _adopt(self, upstreams: Any) -> None:
        self.upstreams = list(upstreams)
        self.versions.history.observe(self.upstreams, self.timeline.clock.seconds())
        self.table.check()

    def _share_streams(self) -> None:
        clock = self.timeline.clock
        if self.is_running:
            records = self.versions.take_reports(clock.seconds())
            if records:
                self.timeline.send(
                    self.number,
                    lambda host: host.versions.origins.learn(records, clock.seconds()),
                )
            clock.callLater(0.05, self._share_streams)


def _encode_entry(version: str, state: str) -> bytes:
    entry = {
        "Service": ENGINES,
        "Address": f"10.0.0.{1 + len(version)}:80",
        "Zone": "a",
        "Version": version,
        "Slots": 4,
        "State": state,
        "Sequence": 1,
    }
    return json.dumps(entry).encode()
