"""Notifications about a caller's connection for the code that produces the response."""

from typing import Protocol


class CallerListener(Protocol):
    """Receives flow control and disconnects of a caller's connection during a response."""

    def handle_disconnect(self) -> None:
        """Handle the loss of the caller's connection."""

    def pause(self) -> None:
        """Stop producing: the caller reads more slowly than the response is written."""

    def resume(self) -> None:
        """Continue producing: the caller has read what was buffered."""


class ObservedConnection:
    """A push producer that forwards the transport's flow control to a listener."""

    listener: CallerListener | None = None

    def pauseProducing(self) -> None:
        """Pause the listener; called by the transport when its send buffer is full."""
        if self.listener is not None:
            self.listener.pause()

    def resumeProducing(self) -> None:
        """Resume the listener; called by the transport when its send buffer is empty again."""
        if self.listener is not None:
            self.listener.resume()

    def stopProducing(self) -> None:
        """Do nothing: the transport calls this on loss, and ``connectionLost`` follows."""

    def notify_disconnected(self) -> None:
        """Notify the listener once that the caller's connection is lost."""
        listener, self.listener = self.listener, None
        if listener is not None:
            listener.handle_disconnect()
