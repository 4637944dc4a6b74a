"""The era of the store, which changes when the store comes back from an older copy."""

from collections.abc import Callable

from eliot import log_message


class StoreEra:
    """The newest era that this host knows, from the store's answers and from other hosts.

    In a new era the store has lost its newest writes, and gives out their revisions again. So
    revisions and clock times of one era say nothing about another one.
    """

    def __init__(self) -> None:
        self._number: int | None = None
        self._listeners: list[Callable[[], None]] = []

    @property
    def number(self) -> int | None:
        """Number of the era; None until one is known, and where the store does not state it."""
        return self._number

    def add_listener(self, on_change: Callable[[], None]) -> None:
        """Call a function whenever a known era is followed by another one."""
        self._listeners.append(on_change)

    def observe(self, number: int | None) -> None:
        """Record that an era has begun; older ones and None are ignored."""
        previous = self._number
        if number is None or (previous is not None and number <= previous):
            return
        self._number = number
        if previous is None:
            return
        log_message(message_type="store: new era", era=number, previous=previous)
        for listener in self._listeners:
            listener()

    def is_current(self, number: int | None) -> bool:
        """Whether information of an era is valid; None is taken for the current one."""
        return number is None or number == self._number
