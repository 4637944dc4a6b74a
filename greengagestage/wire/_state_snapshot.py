"""The state that an agent sends to an entry process that has connected."""

from collections.abc import Callable, Iterator

from msgspec.structs import replace

from greengagestage.ids import Fingerprint, UpstreamName

from ._messages import (
    AgentMessage,
    ConfigurationInForce,
    HostShares,
    QuarantineNotice,
    UpstreamStatus,
    UpstreamStatuses,
)

_QUARANTINE_LIMIT = 10_000


class StateSnapshot:
    """The current state, merged from the agent's messages.

    Keeps the last configuration and shares, the last status of each upstream and the newest
    ``_QUARANTINE_LIMIT`` quarantined fingerprints. Crash reports are not kept.
    """

    def __init__(self, *, seconds: Callable[[], float]) -> None:
        self._seconds = seconds
        self._configuration: ConfigurationInForce | None = None
        self._shares: HostShares | None = None
        self._statuses: dict[UpstreamName, tuple[float, UpstreamStatus]] = {}
        self._quarantined: dict[Fingerprint, None] = {}

    def record(self, message: AgentMessage) -> None:
        """Merge an outgoing message into the state."""
        match message:
            case ConfigurationInForce():
                self._configuration = message
            case HostShares():
                self._shares = message
            case UpstreamStatuses(statuses=statuses):
                now = self._seconds()
                self._statuses.update({status.upstream: (now, status) for status in statuses})
            case QuarantineNotice(fingerprint=fingerprint):
                self._record_quarantine(fingerprint)

    def replay(self) -> Iterator[AgentMessage]:
        """Yield the messages that bring an entry process up to date."""
        if self._configuration is not None:
            yield self._configuration
        if self._shares is not None:
            yield self._shares
        if self._statuses:
            yield UpstreamStatuses(statuses=self._list_aged_statuses())
        for fingerprint in self._quarantined:
            yield QuarantineNotice(fingerprint=fingerprint)

    def _list_aged_statuses(self) -> tuple[UpstreamStatus, ...]:
        now = self._seconds()
        return tuple(
            replace(status, age_ms=status.age_ms + int(1000 * (now - at)))
            for at, status in self._statuses.values()
        )

    def _record_quarantine(self, fingerprint: Fingerprint) -> None:
        self._quarantined[fingerprint] = None
        if len(self._quarantined) > _QUARANTINE_LIMIT:
            del self._quarantined[next(iter(self._quarantined))]
