"""Sends a long body in pieces, so that the transport holds no copy of all of it."""

from typing import Any

from ._body_claim import BodyClaim

PIECE_BYTES = 65_536
"""Size of a piece, as much as a transport's buffer takes before it asks for a pause."""


class BodySender:
    """A pull producer that writes the next piece whenever the last one has been sent.

    It drops the body once all of it has been written.

    Attributes:
        done: The whole body has been written.
    """

    def __init__(self, transport: Any, body: bytes, claim: BodyClaim | None = None) -> None:
        self._transport = transport
        self._body = body
        self._claim = claim
        self._position = 0
        self.done = False

    def start(self) -> None:
        """Write the first piece; the transport asks for the others."""
        self._transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write the next piece; called by the transport when its buffer is empty."""
        piece = self._body[self._position : self._position + PIECE_BYTES]
        if not piece:
            return
        self._position += len(piece)
        self._transport.write(piece)
        if self._position == len(self._body):
            self.done = True
            self.release()
            self._transport.unregisterProducer()

    def release(self) -> None:
        """Drop the body; no further piece is written."""
        self._body, self._claim = b"", None

    def stopProducing(self) -> None:
        """Do nothing: the connection is lost, which its protocol handles."""
