"""Counts of what a socket sent, received and dropped."""

from collections import Counter
from dataclasses import dataclass, field

from eliot import log_message

from greengagestage.results import ResultCode


@dataclass(slots=True, kw_only=True)
class TrafficCounts:
    """Messages and bytes of one socket since its start.

    Attributes:
        unsent: Messages that the socket did not accept because its queue was full.
        failed: Messages that were not sent because of another error, such as an invalid address.
        dropped: Received messages that failed a check, and messages that were not sent because
            they are too large, by result code.
    """

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    unsent: int = 0
    failed: int = 0
    dropped: Counter[ResultCode] = field(default_factory=Counter)

    def count_sent(self, size: int) -> None:
        """Count a message that was sent."""
        self.sent_messages += 1
        self.sent_bytes += size

    def count_received(self, size: int) -> None:
        """Count a message that was received, whether or not it is accepted."""
        self.received_messages += 1
        self.received_bytes += size

    def count_dropped(self, code: ResultCode) -> None:
        """Count a message that failed a check or is too large to send.

        Logs the 1st, 2nd, 4th, 8th, ... of each code.
        """
        self.dropped[code] += 1
        count = self.dropped[code]
        if _is_power_of_two(count):
            log_message("wire: message dropped", code=code.value, reason=code.name, count=count)

    def count_failed(self, address: str, reason: str) -> None:
        """Count a message that was not sent because of an error; logs the 1st, 2nd, 4th, ..."""
        self.failed += 1
        if _is_power_of_two(self.failed):
            log_message("wire: message not sent", address=address, reason=reason, count=self.failed)


def _is_power_of_two(count: int) -> bool:
    return count & (count - 1) == 0
