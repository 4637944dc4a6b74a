"""Reads an nng socket in Twisted's reactor."""

from collections.abc import Callable
from typing import Any

import pynng
from eliot import write_traceback
from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

MAX_FRAMES_PER_READ = 64


@implementer(IReadDescriptor)
class SocketReader:
    """Passes each received frame to a callback, on the reactor's thread."""

    def __init__(
        self, *, reactor: Any, socket: pynng.Socket, on_frame: Callable[[bytes], None]
    ) -> None:
        self._reactor = reactor
        self._socket = socket
        self._on_frame = on_frame
        self._fd = socket.recv_fd

    def start(self) -> None:
        """Start reading."""
        self._reactor.addReader(self)

    def stop(self) -> None:
        """Stop reading."""
        self._reactor.removeReader(self)

    def fileno(self) -> int:
        """Return the descriptor that is readable while frames are queued."""
        return int(self._fd)

    def doRead(self) -> None:  # noqa: N802
        """Read queued frames, up to a limit so that other readers are not starved."""
        for _ in range(MAX_FRAMES_PER_READ):
            try:
                frame = self._socket.recv(block=False)
            except (pynng.TryAgain, pynng.Closed):
                return
            except RuntimeError:  # pynng cannot unpack an empty frame
                frame = b""
            self._handle_frame(frame)

    def _handle_frame(self, frame: bytes) -> None:
        """Pass a frame on. An exception must not stop the reader, so it is logged instead."""
        try:
            self._on_frame(frame)
        except Exception:
            write_traceback()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Do nothing: the socket reconnects by itself."""

    def logPrefix(self) -> str:  # noqa: N802
        """Return the prefix of this reader's lines in twisted's log."""
        return "wire"
