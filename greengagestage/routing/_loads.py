"""Requests in flight at an upstream and the load that they add up to."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class InFlightRequest:
    """A request that this host has sent to an upstream.

    Attributes:
        sent_s: Monotonic time of sending.
        prefill_s: Forecast of the remaining prefill time; 0 after the first event.
        tokens: KV-cache tokens that it occupies, including its maximum output.
        sensitive: Long prompts must not delay its events.
        expected_s: Time to its first event as forecast when it was sent.
        started: The first event has arrived.
        last_event_s: Monotonic time of the latest event.
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
    """Load at one upstream, from one host or summed over several.

    Attributes:
        prefill_s: Forecast of the remaining prefill time.
        sensitive: Number of requests whose events long prompts must not delay.
        tolerant: Number of all other requests.
        tokens: KV-cache tokens that all requests occupy.
        gap_s: Average gap between the events of its streams; 0 where none was observed.
        stalled: The upstream has sent nothing for too long while requests were open.
    """

    prefill_s: float = 0.0
    sensitive: int = 0
    tolerant: int = 0
    tokens: int = 0
    gap_s: float = 0.0
    stalled: bool = False

    @property
    def requests(self) -> int:
        """Number of requests of both kinds."""
        return self.sensitive + self.tolerant


class LoadTotal:
    """The sum of several hosts' loads at one upstream.

    The gap is the average of the known gaps, weighted by the requests of each load.

    Attributes:
        stalled: Number of loads that report a stall.
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
        """Number of requests of both kinds."""
        return self.sensitive + self.tolerant

    @property
    def gap_s(self) -> float:
        """Average gap between events; 0 where none was observed."""
        return self._gap_weight / self._gap_requests if self._gap_requests else 0.0

    def add(self, load: UpstreamLoad) -> None:
        """Add the load of one or more hosts."""
        self.prefill_s += load.prefill_s
        self.sensitive += load.sensitive
        self.tolerant += load.tolerant
        self.tokens += load.tokens
        self.stalled += load.stalled
        if load.gap_s > 0:
            self._gap_requests += load.requests
            self._gap_weight += load.requests * load.gap_s
