"""Requests in flight at an upstream and the load that they add up to."""

import math
from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class InFlightRequest:
    """A request that this host has sent to an upstream.

    Attributes:
        sent_s: Monotonic time of sending.
        prefill_s: Forecast of the remaining prefill time; 0 once the answer has begun.
        tokens: KV-cache tokens that it occupies, including its maximum output.
        sensitive: Whether the request is latency-sensitive: long prompts must not delay its events.
        expected_s: Time to its first event, or to the answer of a plain service, as forecast when
            it was sent.
        urgency: Rank among all requests; 0 is the most urgent.
        overdue_s: Time to the first event, or to the answer, after which the request is overdue.
        answer_begun: Data of the answer has arrived, be it the head alone.
        last_data_s: Monotonic time of the latest data, be it a head or a piece of a body.
        route: Number by which hosts identify its route.
        sample_tokens: Work of the prompt in prefill tokens if its first event shows the speed of
            the engine: the engine had no other prefill, and what it has cached is certain.
    """

    sent_s: float
    prefill_s: float
    tokens: int
    sensitive: bool
    expected_s: float
    urgency: int = 0
    overdue_s: float = math.inf
    answer_begun: bool = False
    last_data_s: float = 0.0
    route: int = 0
    sample_tokens: float | None = None

    def is_overdue(self, now_s: float) -> bool:
        """Whether no answer has begun although the request is overdue."""
        return not self.answer_begun and now_s - self.sent_s > self.overdue_s


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLoad:
    """Load at one upstream, from one host or summed over several.

    Attributes:
        prefill_s: Forecast of the remaining prefill time.
        sensitive_requests: Number of requests whose events long prompts must not delay.
        tolerant_requests: Number of all other requests.
        tokens: KV-cache tokens that all requests occupy.
        gap_s: Average gap between received pieces of its answers, which for streams are events;
            0 where none was observed.
        stalled: Whether the upstream has sent nothing for too long while requests were open.
        tolerant_prefill_s: The part of the remaining prefill time that is not of sensitive
            requests.
    """

    prefill_s: float = 0.0
    sensitive_requests: int = 0
    tolerant_requests: int = 0
    tokens: int = 0
    gap_s: float = 0.0
    stalled: bool = False
    tolerant_prefill_s: float = 0.0

    @property
    def requests(self) -> int:
        """Number of requests of both kinds."""
        return self.sensitive_requests + self.tolerant_requests


class LoadTotal:
    """The sum of several hosts' loads at one upstream.

    The gap is the average of the known gaps, weighted by the requests of each load.
    """

    __slots__ = (
        "_gap_requests",
        "_gap_weight",
        "prefill_s",
        "sensitive_requests",
        "tokens",
        "tolerant_prefill_s",
        "tolerant_requests",
    )

    def __init__(self) -> None:
        self.prefill_s = 0.0
        self.sensitive_requests = 0
        self.tolerant_requests = 0
        self.tokens = 0
        self.tolerant_prefill_s = 0.0
        self._gap_requests = 0
        self._gap_weight = 0.0

    @property
    def requests(self) -> int:
        """Number of requests of both kinds."""
        return self.sensitive_requests + self.tolerant_requests

    @property
    def gap_s(self) -> float:
        """Average gap in seconds between received pieces of answers; 0 where none was observed."""
        return self._gap_weight / self._gap_requests if self._gap_requests else 0.0

    def estimate_ahead(self, slots: int, *, sensitive_first: bool) -> tuple[int, float]:
        """Return the requests and the prefill time that a new request may have to wait for.

        Args:
            slots: Number of requests that the upstream runs at once.
            sensitive_first: Whether the upstream begins the new request before any tolerant one
                that still waits for a slot there.
        """
        if not sensitive_first or not self.tolerant_requests:
            return self.requests, self.prefill_s
        queued = min(max(self.requests - slots, 0), self.tolerant_requests)
        passed_s = self.tolerant_prefill_s * queued / self.tolerant_requests
        return self.requests - queued, self.prefill_s - passed_s

    def add(self, load: UpstreamLoad) -> None:
        """Add the load of one or more hosts."""
        self.prefill_s += load.prefill_s
        self.sensitive_requests += load.sensitive_requests
        self.tolerant_requests += load.tolerant_requests
        self.tokens += load.tokens
        self.tolerant_prefill_s += load.tolerant_prefill_s
        if load.gap_s > 0:
            self._gap_requests += load.requests
            self._gap_weight += load.requests * load.gap_s
