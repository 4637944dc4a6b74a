"""Signed frames, the outer form of every message.

A frame is a byte with the protocol version, a digest, and an encoded ``Envelope`` with the sender,
session, counter and payload. The digest is keyed with a key that all processes of the fleet share:
it proves that the sender has the key, not which process it is.
"""

import hashlib
import hmac
import time
from collections import OrderedDict
from enum import Enum

import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from greengagestage.results import ResultCode

PROTOCOL_VERSION = 1
MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
_DIGEST_BYTES = 16
_HEADER_BYTES = 1 + _DIGEST_BYTES
_MAX_SESSIONS = 2048


class Channel(Enum):
    """The link that a message is signed for. A message of one channel is rejected on another."""

    ENTRY = "entry"
    PEER = "peer"


class Envelope(Struct, frozen=True, kw_only=True, array_like=True):
    """A payload with its sender and its place in the sender's messages.

    ``session`` distinguishes the runs of a sender; ``counter`` increases with each of its messages.
    """

    sender: str
    session: int
    counter: int
    payload: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def _compute_digest(key: bytes, channel: Channel, body: bytes) -> bytes:
    person = channel.value.encode()
    version = bytes([PROTOCOL_VERSION])
    return hashlib.blake2b(
        version + body, key=key, digest_size=_DIGEST_BYTES, person=person
    ).digest()


def _derive_key(fleet_key: str) -> bytes:
    return hashlib.sha256(fleet_key.encode()).digest()


class FrameSigner:
    """Wraps payloads of one sender in envelopes, and these in signed frames."""

    def __init__(self, *, sender: str, fleet_key: str, channel: Channel) -> None:
        self._sender = sender
        self._key = _derive_key(fleet_key)
        self._channel = channel
        self._session = time.time_ns()
        self._counter = 0

    def sign(self, payload: bytes) -> bytes:
        """Return the frame that carries the payload."""
        self._counter += 1
        body = _ENCODER.encode(
            Envelope(
                sender=self._sender,
                session=self._session,
                counter=self._counter,
                payload=payload,
            )
        )
        digest = _compute_digest(self._key, self._channel, body)
        return bytes([PROTOCOL_VERSION]) + digest + body


class FrameVerifier:
    """Verifies frames and decodes their envelopes. Several fleet keys may be valid at once."""

    def __init__(
        self,
        *,
        fleet_keys: tuple[str, ...],
        channel: Channel,
        limit_bytes: int = MESSAGE_LIMIT_BYTES,
    ) -> None:
        self._keys = tuple(_derive_key(key) for key in fleet_keys)
        self._channel = channel
        self._limit_bytes = limit_bytes
        self._counters: OrderedDict[tuple[str, int], int] = OrderedDict()

    def verify(self, frame: bytes) -> Result[Envelope, ResultCode]:
        """Return the envelope, or the code of the first check that failed.

        ``UNKNOWN_SENDER`` stands for a digest that matches no key of this channel, and for a
        counter that is not above the last one of its session: a repeated or reordered frame. An
        accepted counter is recorded.
        """
        if len(frame) > self._limit_bytes:
            return Failure(ResultCode.MESSAGE_TOO_LARGE)
        if len(frame) <= _HEADER_BYTES:
            return Failure(ResultCode.MESSAGE_MALFORMED)
        if frame[0] != PROTOCOL_VERSION:
            return Failure(ResultCode.UNKNOWN_PROTOCOL_VERSION)
        if not self._is_authentic(frame[1:_HEADER_BYTES], frame[_HEADER_BYTES:]):
            return Failure(ResultCode.UNKNOWN_SENDER)
        return self._decode(frame[_HEADER_BYTES:])

    def _is_authentic(self, digest: bytes, body: bytes) -> bool:
        return any(
            hmac.compare_digest(digest, _compute_digest(key, self._channel, body))
            for key in self._keys
        )

    def _decode(self, body: bytes) -> Result[Envelope, ResultCode]:
        try:
            envelope = _DECODER.decode(body)
        except msgspec.MsgspecError:
            return Failure(ResultCode.MESSAGE_MALFORMED)
        if not self._accept_counter(envelope):
            return Failure(ResultCode.UNKNOWN_SENDER)
        return Success(envelope)

    def _accept_counter(self, envelope: Envelope) -> bool:
        """Record a counter above all earlier ones of its session; return False for any other."""
        session = (envelope.sender, envelope.session)
        if envelope.counter <= self._counters.get(session, 0):
            return False
        self._counters[session] = envelope.counter
        self._counters.move_to_end(session)
        if len(self._counters) > _MAX_SESSIONS:
            self._counters.popitem(last=False)
        return True
