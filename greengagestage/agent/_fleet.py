"""Runs the membership in Twisted: its timers, messages and the exchange of documents."""

import time
import zlib
from collections.abc import Callable
from random import Random
from typing import Any

from eliot import log_message
from twisted.internet.task import LoopingCall

from greengagestage.configuration import Head, Version
from greengagestage.ids import HostId
from greengagestage.membership import Change, Membership, MembershipTimes
from greengagestage.wire import (
    DocumentAnswer,
    DocumentRequest,
    HostRecord,
    MemberState,
    PeerMessage,
    PeerSocket,
    QueryAnswer,
    QueryRequest,
)

from ._settings import AgentSettings

FLUSH_DELAY_S = 0.02
"""Updates that arrive within this time are sent on in one message."""
DOCUMENT_LIMIT_BYTES = 8 * 1024 * 1024
DOCUMENT_REQUEST_INTERVAL_S = 1.0
COMPRESSION_LEVEL = 6
_MS_PER_S = 1000

QueryMessage = QueryRequest | QueryAnswer


class Fleet:
    """This host's part in the fleet: its membership, the socket to other hosts, and the timers.

    ``on_change`` is called with each change, ``on_document`` with each document received and
    ``on_query`` with each query or answer of another host.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        settings: AgentSettings,
        random: Random,
        on_change: Callable[[Change], None],
        on_document: Callable[[Head, bytes], None],
        on_query: Callable[[HostId, QueryMessage], None],
    ) -> None:
        self._reactor = reactor
        self._on_change = on_change
        self._on_document = on_document
        self._on_query = on_query
        self._version: Version | None = None
        self._compressed = b""
        self._requested_at_s: dict[tuple[str, int], float] = {}
        self._flush_timer: Any = None
        times = MembershipTimes()
        self.membership = Membership(record=_build_record(settings), times=times, random=random)
        self.membership.add_seeds(settings.peers)
        self.socket = PeerSocket(
            reactor=reactor,
            address=settings.peer_listen,
            host=settings.host,
            fleet_keys=settings.fleet_keys,
            on_message=self._receive,
        )
        self._interval_s = times.gossip_interval_s
        self._loop = LoopingCall(self._tick)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start listening and sending to neighbours.

        Raises:
            pynng.exceptions.NNGException: The address cannot be listened on.
        """
        self.socket.start()
        self._loop.start(self._interval_s)

    def stop(self) -> None:
        """Close all connections."""
        if self._loop.running:
            self._loop.stop()
        if self._flush_timer is not None and self._flush_timer.active():
            self._flush_timer.cancel()
        self.socket.stop()

    def set_state(self, state: MemberState) -> None:
        """Announce to the neighbours at once that this host is live or leaving."""
        self.membership.set_state(state, time.monotonic())
        self.flush()

    def set_version(self, version: Version) -> None:
        """Announce a version to the neighbours at once, and send its document on request."""
        self._version = version
        self._compressed = b""
        self.membership.set_version(version.head.version)
        self._send_and_report_changes()

    def request_document(self, version: int, address: str) -> None:
        """Request a document from a host, at most once a second for each host and version."""
        now_s = time.monotonic()
        key = (address, version)
        if now_s - self._requested_at_s.get(key, float("-inf")) < DOCUMENT_REQUEST_INTERVAL_S:
            return
        self._requested_at_s = {
            known: at_s
            for known, at_s in self._requested_at_s.items()
            if now_s - at_s < DOCUMENT_REQUEST_INTERVAL_S
        }
        self._requested_at_s[key] = now_s
        request = DocumentRequest(version=version, address=self.membership.own.address)  # type: ignore[arg-type]
        self.socket.send(address, request)

    def send_pending(self) -> None:
        """Send the queued messages now, and urgent records together after ``FLUSH_DELAY_S``."""
        if self.membership.has_urgent_records and self._flush_timer is None:
            self._flush_timer = self._reactor.callLater(FLUSH_DELAY_S, self._flush_records)
        self._send_and_report_changes()

    def flush(self) -> None:
        """Send the urgent records and all queued messages now."""
        self.membership.flush()
        self._send_and_report_changes()

    def _flush_records(self) -> None:
        self._flush_timer = None
        self.flush()

    def _tick(self) -> None:
        self.membership.tick(time.monotonic())
        self.send_pending()

    def _send_and_report_changes(self) -> None:
        """Send the messages that the membership has queued, and report its changes."""
        for send in self.membership.take_outgoing():
            self.socket.send(send.address, send.message)
        for change in self.membership.take_changes():
            self._on_change(change)

    def _receive(self, sender: HostId, message: PeerMessage) -> None:
        match message:
            case DocumentRequest():
                self._send_document(message)
            case DocumentAnswer():
                self._receive_document(message)
            case QueryRequest() | QueryAnswer():
                self._on_query(sender, message)
            case _:
                self.membership.receive(sender, message, time.monotonic())
                self.send_pending()

    def _send_document(self, request: DocumentRequest) -> None:
        version = self._version
        if version is None or version.head.version < request.version:
            return
        if not self._compressed:
            self._compressed = zlib.compress(version.document, COMPRESSION_LEVEL)
        answer = DocumentAnswer(head=version.head, compressed=self._compressed)
        self.socket.send(request.address, answer)

    def _receive_document(self, answer: DocumentAnswer) -> None:
        document = decompress_document(answer.compressed)
        if document is None:
            log_message("configuration: document cannot be unpacked", version=answer.head.version)
        else:
            self._on_document(answer.head, document)


def decompress_document(compressed: bytes) -> bytes | None:
    """Return the document, or None if it is damaged or larger than the limit."""
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(compressed, DOCUMENT_LIMIT_BYTES)
    except zlib.error:
        return None
    return document if unpacker.eof else None


def _build_record(settings: AgentSettings) -> HostRecord:
    return HostRecord(
        host=settings.host,
        incarnation=int(time.time() * _MS_PER_S),
        sequence=0,
        state=MemberState.LIVE,
        address=settings.peer_listen,
        failure_domain=settings.failure_domain,
    )
