"""The host process that routes callers' requests on the operators' platform."""

from ._host import HostProcess
from ._relay import EventRelay
from ._settings_watch import SettingsWatch
from ._store_clock import StoreClock

__all__ = [
    "EventRelay",
    "HostProcess",
    "SettingsWatch",
    "StoreClock",
]
