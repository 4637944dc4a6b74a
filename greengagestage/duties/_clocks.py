"""The clocks that duties use."""

import time
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Clocks:
    """Functions that return the time in seconds.

    Attributes:
        read_boot_s: The boot-time clock, which runs on while the host is suspended.
        read_unix_s: The wall clock, by which usage windows are counted.
    """

    read_boot_s: Callable[[], float]
    read_unix_s: Callable[[], float] = time.time

    def convert_to_unix(self, boot_s: float) -> float:
        """Return the wall clock's time at a time of the boot-time clock."""
        return self.read_unix_s() - self.read_boot_s() + boot_s
