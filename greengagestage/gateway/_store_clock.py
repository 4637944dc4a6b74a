"""When the store said something, on a clock that also counts suspended time."""

import time


def read_boot_time_s() -> float:
    """Return the seconds of a clock that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreClock:
    """Bounds the moment of a store's answer from below.

    A watch is answered long after it was sent, so that neither its sending nor its receipt says
    when the store looked. The store's steady clock does: the difference to this host's clock is
    known from the calls that were answered fastest.
    """

    def __init__(self) -> None:
        self._offset_s: float | None = None

    def bound_answer(self, *, sent_s: float, received_s: float, store_s: float) -> float:
        """Return a time at or before which the store gave an answer."""
        offset_s = sent_s - store_s
        if self._offset_s is None or offset_s > self._offset_s:
            self._offset_s = offset_s
        return min(max(sent_s, store_s + self._offset_s), received_s)

    def bound_moment(self, *, store_s: float, now_s: float) -> float | None:
        """Return a time at or before a moment of the store's clock that is past.

        None while no call of this host has been answered.
        """
        return None if self._offset_s is None else min(store_s + self._offset_s, now_s)
