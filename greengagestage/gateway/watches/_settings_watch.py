"""Periodic check of the settings file for changes."""

from collections.abc import Callable
from typing import Any

from eliot import log_message
from returns.result import Failure, Result, Success

from greengagestage.catalog import HostSettings

from .._loops import RepeatingTask

CHECK_INTERVAL_S = 5.0
"""Time between two reads of the file: it is small, and bounds change rarely."""

SettingsReader = Callable[[], Result[HostSettings, tuple[str, ...]]]


class SettingsWatch:
    """Reports changed settings; faulty ones are logged, and the old ones stay in effect."""

    def __init__(
        self,
        *,
        reactor: Any,
        read: SettingsReader,
        current: HostSettings,
        on_change: Callable[[HostSettings], None],
    ) -> None:
        self._read = read
        self._current = current
        self._on_change = on_change
        self._task = RepeatingTask(reactor=reactor, name="settings", step=self._step)
        self._faults: tuple[str, ...] = ()

    def start(self) -> None:
        """Start the periodic check."""
        self._task.start(CHECK_INTERVAL_S)

    def stop(self) -> None:
        """Stop the periodic check."""
        self._task.stop()

    def check(self) -> None:
        """Read the file now and report changed settings."""
        match self._read():
            case Success(settings):
                self._faults = ()
                if settings != self._current:
                    self._current = settings
                    log_message(message_type="settings: changed", host=settings.host)
                    self._on_change(settings)
            case Failure(faults):
                if faults != self._faults:
                    self._faults = faults
                    log_message(message_type="settings: faulty, not taken", faults=list(faults))

    def _step(self) -> float:
        self.check()
        return CHECK_INTERVAL_S
