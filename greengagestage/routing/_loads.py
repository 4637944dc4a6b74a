"""Work in flight at one upstream."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class WorkItem:
    """One request of this host at an upstream.

    Attributes:
        prefill_s: Prefill that the upstream still has to do for it; 0 after the first event.
        tokens: Memory that it takes, with its output.
        sensitive: Its events must not be held up by long prompts.
        expected_s: Forecast time to its first event when it was sent.
    """

    sent_s: float
    prefill_s: float
    tokens: int
    sensitive: bool
    expected_s: float
    started: bool = False
    last_event_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLoad:
    """Work in flight at one upstream, from one host or summed over several.

    Attributes:
        prefill_s: Prefill not done yet.
        sensitive: Requests whose events must not be held up.
        tolerant: All other requests.
        tokens: Memory of both.
        gap_s: Usual pause between the events of the streams there; 0 where none was seen.
        stalled: Requests there have been silent for too long.
    """

    prefill_s: float = 0.0
    sensitive: int = 0
    tolerant: int = 0
    tokens: int = 0
    gap_s: float = 0.0
    stalled: bool = False

    @property
    def requests(self) -> int:
        """All requests."""
        return self.sensitive + self.tolerant


class LoadTotal:
    """The sum of several loads at one upstream.

    Pauses are averaged over the requests of the loads that have some.
    """

    __slots__ = (
        "_gap_requests",
        "_gap_weight",
        "prefill_s",
        "sensitive",
        "stalled",
        "tokens",
        "tolerant",
    )

    def __init__(self) -> None:
        self.prefill_s = 0.0
        self.sensitive = 0
        self.tolerant = 0
        self.tokens = 0
        self.stalled = 0
        self._gap_requests = 0
        self._gap_weight = 0.0

    @property
    def requests(self) -> int:
        """All requests."""
        return self.sensitive + self.tolerant

    @property
    def gap_s(self) -> float:
        """Usual pause between events; 0 where none was seen."""
        return self._gap_weight / self._gap_requests if self._gap_requests else 0.0

    def add(self, load: UpstreamLoad) -> None:
        """Add the load of one host, or of several."""
        self.prefill_s += load.prefill_s
        self.sensitive += load.sensitive
        self.tolerant += load.tolerant
        self.tokens += load.tokens
        self.stalled += load.stalled
        if load.gap_s > 0:
            self._gap_requests += load.requests
            self._gap_weight += load.requests * load.gap_s
