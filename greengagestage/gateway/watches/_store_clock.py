"""Conversion of the store's clock to this host's boot-time clock, which counts suspended time."""

import time


def read_boot_time_s() -> float:
    """Return the seconds of the boot-time clock, which runs on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreClock:
    """Converts times of the store's clock to this host's clock, rounded down to lower bounds.

    A watch is answered long after it was sent, so that neither the send time nor the receive time
    tells when the store read its data. Each answer therefore contains the time of the store's
    monotonic clock. The offset of that clock to this host's clock is estimated from the calls that
    reached the store fastest.
    """

    def __init__(self) -> None:
        self._offset_s: float | None = None

    def record_answer_time(self, *, sent_s: float, received_s: float, store_s: float) -> float:
        """Update the clock offset from an answer, and return a lower bound of the answer's time.

        Args:
            sent_s: When the call was sent, on this host's clock.
            received_s: When the answer was received, on this host's clock.
            store_s: When the store read its data, on the store's clock.

        Returns:
            A time on this host's clock at or before that read.
        """
        offset_s = sent_s - store_s
        if self._offset_s is None or offset_s > self._offset_s:
            self._offset_s = offset_s
        return min(max(sent_s, store_s + self._offset_s), received_s)

    def convert_store_time(self, *, store_s: float, now_s: float) -> float | None:
        """Return a lower bound on this host's clock for a past time on the store's clock.

        None until a call of this host has been answered.
        """
        return None if self._offset_s is None else min(store_s + self._offset_s, now_s)
