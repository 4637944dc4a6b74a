"""Messages to and from the agents of other hosts.

Each agent listens on one pull socket and keeps a push socket for each host that it sends to, so
that a message goes to one address and a slow receiver does not delay messages to others.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec
import pynng
from returns.result import Failure, Success

from greengagestage.ids import HostId
from greengagestage.results import ResultCode

from ._counts import TrafficCounts
from ._envelope import MESSAGE_LIMIT_BYTES, Channel, Envelope, FrameSigner, FrameVerifier
from ._peer_messages import PeerMessage
from ._reader import SocketReader

MAX_OPEN_SOCKETS = 48
_QUEUED_MESSAGES = 32
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 3000

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerMessage)


class PeerSocket:
    """Sends to single addresses, receives from all. ``address`` is this host's ``ip:port``."""

    def __init__(
        self,
        *,
        reactor: Any,
        address: str,
        host: HostId,
        fleet_keys: tuple[str, ...],
        on_message: Callable[[HostId, PeerMessage], None],
    ) -> None:
        self.counts = TrafficCounts()
        self._address = address
        self._on_message = on_message
        self._signer = FrameSigner(sender=host, fleet_key=fleet_keys[0], channel=Channel.PEER)
        self._verifier = FrameVerifier(fleet_keys=fleet_keys, channel=Channel.PEER)
        self._senders: OrderedDict[str, pynng.Push0] = OrderedDict()
        self._listener = pynng.Pull0(recv_max_size=2 * MESSAGE_LIMIT_BYTES)
        self._reader = SocketReader(
            reactor=reactor, socket=self._listener, on_frame=self._receive_frame
        )

    def start(self) -> None:
        """Listen for other agents.

        Raises:
            pynng.exceptions.NNGException: The address cannot be listened on.
        """
        self._listener.listen(f"tcp://{self._address}")
        self._reader.start()

    def stop(self) -> None:
        """Close all connections. Queued messages are lost."""
        self._reader.stop()
        self._listener.close()
        for sender in self._senders.values():
            sender.close()
        self._senders.clear()

    def send(self, address: str, message: PeerMessage) -> None:
        """Send a message. It is lost when the receiver is slow or cannot be reached."""
        frame = self._signer.sign(_ENCODER.encode(message))
        if len(frame) > MESSAGE_LIMIT_BYTES:
            self.counts.count_dropped(ResultCode.MESSAGE_TOO_LARGE)
            return
        try:
            self._get_sender(address).send(frame, block=False)
        except pynng.TryAgain:
            self.counts.unsent += 1
        except pynng.NNGException as error:
            self.counts.count_failed(address, str(error))
        else:
            self.counts.count_sent(len(frame))

    def _get_sender(self, address: str) -> pynng.Push0:
        sender = self._senders.get(address)
        if sender is None:
            sender = pynng.Push0(
                send_buffer_size=_QUEUED_MESSAGES,
                reconnect_time_min=_RECONNECT_MIN_MS,
                reconnect_time_max=_RECONNECT_MAX_MS,
            )
            sender.dial(f"tcp://{address}", block=False)
            self._senders[address] = sender
            self._close_oldest()
        self._senders.move_to_end(address)
        return sender

    def _close_oldest(self) -> None:
        if len(self._senders) > MAX_OPEN_SOCKETS:
            _, oldest = self._senders.popitem(last=False)
            oldest.close()

    def _receive_frame(self, frame: bytes) -> None:
        self.counts.count_received(len(frame))
        match self._verifier.verify(frame):
            case Success(Envelope() as envelope):
                self._receive_envelope(envelope)
            case Failure(ResultCode() as code):
                self.counts.count_dropped(code)

    def _receive_envelope(self, envelope: Envelope) -> None:
        try:
            message = _DECODER.decode(envelope.payload)
        except msgspec.MsgspecError:
            self.counts.count_dropped(ResultCode.MESSAGE_MALFORMED)
            return
        self._on_message(HostId(envelope.sender), message)
