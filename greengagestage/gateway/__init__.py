"""The host process that routes callers' requests on the operators' platform."""

from ._host import HostProcess
from ._relay import EventRelay
from .watches import SettingsWatch, StoreClock

__all__ = [
    "EventRelay",
    "HostProcess",
    "SettingsWatch",
    "StoreClock",
]
