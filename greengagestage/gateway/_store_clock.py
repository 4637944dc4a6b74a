"""Conversion of the store's clock to this host's boot-time clock, which counts suspended time."""

import time


def read_boot_time_s() -> float:
    """Return the seconds of the boot-time clock, which runs on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreClock:
    """Computes lower bounds of the time at which the store gave an answer.

    A watch is answered long after it was sent, so that neither the send time nor the receive time
    tells when the store read its data. The store's monotonic clock does. Its offset to this host's
    clock is estimated from the calls that were answered fastest.
    """

    def __init__(self) -> None:
        self._offset_s: float | None = None

    def record_answer_time(self, *, sent_s: float, received_s: float, store_s: float) -> float:
        """Return a time on this host's clock at or before the store's answer."""
        offset_s = sent_s - store_s
        if self._offset_s is None or offset_s > self._offset_s:
            self._offset_s = offset_s
        return min(max(sent_s, store_s + self._offset_s), received_s)

    def convert_store_time(self, *, store_s: float, now_s: float) -> float | None:
        """Return a time on this host's clock at or before a past time on the store's clock.

        None until a call of this host has been answered.
        """
        return None if self._offset_s is None else min(store_s + self._offset_s, now_s)
