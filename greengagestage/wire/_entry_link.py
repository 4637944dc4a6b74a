"""The link between an entry process and the agent of its host.

Both sides send a ``Hello`` at intervals, so that each knows when it last heard from the other. The
agent's messages are numbered: an entry process that misses one, or detects a new agent, requests
the complete state.
"""

import math
import time
from collections.abc import Callable
from typing import Any

import msgspec
import pynng
from msgspec import Struct
from returns.result import Failure, Success
from twisted.internet.task import LoopingCall

from greengagestage.results import ResultCode

from ._counts import TrafficCounts
from ._envelope import MESSAGE_LIMIT_BYTES, Channel, Envelope, FrameSigner, FrameVerifier
from ._messages import AgentMessage, EntryMessage
from ._reader import SocketReader
from ._state_snapshot import StateSnapshot

HELLO_INTERVAL_S = 1.0
SILENT_AGENT_HELLO_INTERVAL_S = 0.2
"""Interval between the entry process's Hellos after its start, and whenever the agent has been
silent for three ``HELLO_INTERVAL_S``. Each of them requests the complete state."""
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 500
_QUEUED_MESSAGES = 128
_SOCKET_LIMIT_BYTES = 2 * MESSAGE_LIMIT_BYTES
"""A larger frame closes the connection before it is read; a smaller one is read and counted."""


class Hello(Struct, frozen=True, kw_only=True, tag="hello"):
    """Both ways: a heartbeat of the sender. ``replay`` requests the agent's complete state."""

    replay: bool = False


_ENCODER = msgspec.msgpack.Encoder()
_AGENT_DECODER = msgspec.msgpack.Decoder(AgentMessage | Hello)
_ENTRY_DECODER = msgspec.msgpack.Decoder(EntryMessage | Hello)


def open_socket(kind: type[pynng.Socket]) -> pynng.Socket:
    """Return a socket with the queue, message size and reconnection limits of the link."""
    return kind(
        send_buffer_size=_QUEUED_MESSAGES,
        recv_buffer_size=_QUEUED_MESSAGES,
        recv_max_size=_SOCKET_LIMIT_BYTES,
        reconnect_time_min=_RECONNECT_MIN_MS,
        reconnect_time_max=_RECONNECT_MAX_MS,
    )


class _Connection:
    """One socket that sends and receives signed messages of the entry channel."""

    def __init__(
        self,
        *,
        reactor: Any,
        sender: str,
        fleet_keys: tuple[str, ...],
        decoder: msgspec.msgpack.Decoder[Any],
        on_message: Callable[[Envelope, Any], None],
    ) -> None:
        self.counts = TrafficCounts()
        self.last_received_at_s = -math.inf
        self._signer = FrameSigner(sender=sender, fleet_key=fleet_keys[0], channel=Channel.ENTRY)
        self._verifier = FrameVerifier(fleet_keys=fleet_keys, channel=Channel.ENTRY)
        self._decoder = decoder
        self._on_message = on_message
        self.socket = open_socket(pynng.Bus0)
        self._reader = SocketReader(
            reactor=reactor, socket=self.socket, on_frame=self._receive_frame
        )

    def start(self) -> None:
        self._reader.start()

    def stop(self) -> None:
        self._reader.stop()
        self.socket.close()

    def send(self, message: Any) -> None:
        frame = self._signer.sign(_ENCODER.encode(message))
        if len(frame) > MESSAGE_LIMIT_BYTES:
            self.counts.count_dropped(ResultCode.MESSAGE_TOO_LARGE)
            return
        try:
            self.socket.send(frame, block=False)
        except pynng.TryAgain:
            self.counts.unsent += 1
        else:
            self.counts.count_sent(len(frame))

    def _receive_frame(self, frame: bytes) -> None:
        self.counts.count_received(len(frame))
        match self._verifier.verify(frame):
            case Success(Envelope() as envelope):
                self._receive_envelope(envelope)
            case Failure(ResultCode() as code):
                self.counts.count_dropped(code)

    def _receive_envelope(self, envelope: Envelope) -> None:
        try:
            message = self._decoder.decode(envelope.payload)
        except msgspec.MsgspecError:
            self.counts.count_dropped(ResultCode.MESSAGE_MALFORMED)
            return
        self.last_received_at_s = time.monotonic()
        self._on_message(envelope, message)


class AgentLink:
    """The entry process's side of the link. ``address`` is the agent's ``ip:port``."""

    def __init__(
        self,
        *,
        reactor: Any,
        address: str,
        fleet_key: str,
        on_message: Callable[[AgentMessage], None],
        second_fleet_key: str | None = None,
    ) -> None:
        keys = (fleet_key,) if second_fleet_key is None else (fleet_key, second_fleet_key)
        self._address = address
        self._on_message = on_message
        self._connection = _Connection(
            reactor=reactor,
            sender="entry",
            fleet_keys=keys,
            decoder=_AGENT_DECODER,
            on_message=self._receive,
        )
        self._agent_session = 0
        self._agent_counter = 0
        self._hello = LoopingCall(self._send_hello)
        self._hello.clock = reactor

    @property
    def silence_s(self) -> float:
        """Seconds since the agent's last message; infinite before the first."""
        return time.monotonic() - self._connection.last_received_at_s

    @property
    def counts(self) -> TrafficCounts:
        """What this side sent, received and dropped."""
        return self._connection.counts

    def start(self) -> None:
        """Connect, and reconnect whenever the connection is lost."""
        self._connection.start()
        self._connection.socket.dial(f"tcp://{self._address}", block=False)
        self._hello.start(SILENT_AGENT_HELLO_INTERVAL_S)

    def stop(self) -> None:
        """Close the connection."""
        if self._hello.running:
            self._hello.stop()
        self._connection.stop()

    def send(self, message: EntryMessage) -> None:
        """Send a message; it is lost when the agent is not connected."""
        self._connection.send(message)

    def _send_hello(self) -> None:
        is_agent_silent = self.silence_s > 3 * HELLO_INTERVAL_S
        self._hello.interval = (
            SILENT_AGENT_HELLO_INTERVAL_S if is_agent_silent else HELLO_INTERVAL_S
        )
        self._connection.send(Hello(replay=is_agent_silent))

    def _receive(self, envelope: Envelope, message: AgentMessage | Hello) -> None:
        self._check_continuity(envelope)
        if not isinstance(message, Hello):
            self._on_message(message)

    def _check_continuity(self, envelope: Envelope) -> None:
        expected = (self._agent_session, self._agent_counter + 1)
        if (envelope.session, envelope.counter) != expected:
            self._connection.send(Hello(replay=True))
        self._agent_session, self._agent_counter = envelope.session, envelope.counter


class EntryEndpoint:
    """The agent's side of the link, for one or more entry processes of the host."""

    def __init__(
        self,
        *,
        reactor: Any,
        address: str,
        fleet_keys: tuple[str, ...],
        on_message: Callable[[EntryMessage], None],
    ) -> None:
        self._address = address
        self._on_message = on_message
        self._connection = _Connection(
            reactor=reactor,
            sender="agent",
            fleet_keys=fleet_keys,
            decoder=_ENTRY_DECODER,
            on_message=self._receive,
        )
        self._state = StateSnapshot(seconds=time.monotonic)
        self._hello = LoopingCall(self._connection.send, Hello())
        self._hello.clock = reactor

    @property
    def silence_s(self) -> float:
        """Seconds since an entry process's last message; infinite before the first."""
        return time.monotonic() - self._connection.last_received_at_s

    @property
    def counts(self) -> TrafficCounts:
        """What this side sent, received and dropped."""
        return self._connection.counts

    def start(self) -> None:
        """Listen for entry processes.

        Raises:
            pynng.exceptions.NNGException: The address cannot be listened on.
        """
        self._connection.socket.listen(f"tcp://{self._address}")
        self._connection.start()
        self._hello.start(HELLO_INTERVAL_S)

    def stop(self) -> None:
        """Close all connections."""
        if self._hello.running:
            self._hello.stop()
        self._connection.stop()

    def broadcast(self, message: AgentMessage) -> None:
        """Send a message to all entry processes, and merge it into the state sent to later ones.

        ``StateSnapshot`` says what is kept; crash reports are not.
        """
        self._state.record(message)
        self._connection.send(message)

    def _receive(self, envelope: Envelope, message: EntryMessage | Hello) -> None:
        match message:
            case Hello(replay=True):
                for state_message in self._state.replay():
                    self._connection.send(state_message)
            case Hello():
                pass
            case _:
                self._on_message(message)
