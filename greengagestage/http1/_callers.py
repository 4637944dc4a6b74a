"""Telling whoever makes an answer what the caller's connection does."""

from typing import Protocol


class CallerListener(Protocol):
    """Hears what a caller's connection does while its answer is made."""

    def handle_disconnect(self) -> None:
        """The caller closed its connection."""

    def pause(self) -> None:
        """The caller reads slower than the answer comes."""

    def resume(self) -> None:
        """The caller has caught up."""


class ObservedConnection:
    """A push producer, as a transport sees it, that passes everything on to a listener."""

    listener: CallerListener | None = None

    def pauseProducing(self) -> None:
        """Called by the transport when its buffer is full."""
        if self.listener is not None:
            self.listener.pause()

    def resumeProducing(self) -> None:
        """Called by the transport when its buffer is empty again."""
        if self.listener is not None:
            self.listener.resume()

    def stopProducing(self) -> None:
        """Called by the transport when it is lost; ``connectionLost`` follows."""

    def notify_disconnected(self) -> None:
        """Tell the listener, once, that the caller has left."""
        listener, self.listener = self.listener, None
        if listener is not None:
            listener.handle_disconnect()
