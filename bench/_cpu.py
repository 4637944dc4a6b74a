"""Reads the CPU time of other processes."""

import os
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / _TICKS_PER_S
