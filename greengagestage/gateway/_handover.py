"""A second attempt at a request whose upstream has fallen silent."""

from ._attempt import Attempt


class Handover:
    """Holds the successor, the attempt that may replace the one at a silent upstream.

    Attributes:
        successor: The second attempt; None while there is none.
    """

    def __init__(self) -> None:
        self.successor: Attempt | None = None

    def begin(self, successor: Attempt) -> None:
        """Start the second attempt."""
        self.successor = successor
        successor.start()

    def take(self) -> Attempt | None:
        """End the handover and return the successor, if there is one."""
        successor, self.successor = self.successor, None
        return successor

    def cancel(self) -> None:
        """End the handover and cancel the successor."""
        successor = self.take()
        if successor is not None:
            successor.cancel()
