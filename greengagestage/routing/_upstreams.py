"""The state of one upstream on this host: registry entry, load, latency, cached prompts, health."""

import math
from collections import Counter

import xxhash

from greengagestage.catalog import Availability, Prompt, RegisteredUpstream
from greengagestage.ids import AttemptId, PromptPartId

from ._health import Health
from ._loads import InFlightRequest, LoadTotal, UpstreamLoad
from ._notices import Notice
from ._retries import ASSUMED_HOSTS

OBSERVATION_WEIGHT = 0.25
SLOWDOWN_RANGE = (0.3, 12.0)
"""Weight of the latest observation in the moving averages of slowdown and answer time, and the
range to which a single slowdown is limited. A slow upstream is recognized after a few requests,
and a single lost packet has no lasting effect."""

SLOWDOWN_MARGIN_S = 0.1
"""Added to both the observed and the expected time. Work of other hosts that is not reported yet
can delay a first event by about the prefill time of a long prompt, without any slowdown."""

SLOWDOWN_TIME_CONSTANT_S = 6.0
"""Time constant with which the slowdown returns to 1 without new observations. Slow phases last
some seconds, and in a large fleet a host seldom sends a request to the same upstream."""

STALL_TIMEOUT_S = 0.6
"""Silence after which an upstream with open requests from this host counts as stalled. Batch steps
take a few ms, so that only an upstream in trouble is silent for so long. The timeout is shorter
than 0.8 s, the longest gap between events that the operators' specifications allow."""

OVERDUE_FACTOR = 3.0
"""A request without any answer data counts as stalled after this multiple of the forecast time, but
not before the stall timeout."""

CACHE_LIFETIME_S = 25.0
"""Time after the last use for which a prompt part is assumed to be cached. Engines keep parts for
at least ten seconds; within that time, computing them again counts as wasted work."""

MAX_CACHED_PARTS = 4_096
"""Maximum number of cached prompt parts tracked per upstream; the least recently used go first."""

GAP_WEIGHT = 0.1
"""Weight of the latest gap in the moving average of gaps, which covers about ten gaps."""

GAP_LIFETIME_S = 1.0
"""Age at which an observed gap no longer says anything about the upstream's current load."""

DECODE_STEP_S = 0.004
"""Time for one token on a lightly loaded engine: 3 ms in the operators' specifications, plus an
allowance for the batch and its context."""

WARMUP_SLOWDOWN = 2.0
"""Assumed slowdown of an upstream during the warm-up time that it has announced."""


_NO_LOAD = UpstreamLoad()


class UpstreamState:
    """Tracks one incarnation of an upstream.

    Attributes:
        record: The upstream's entry in the registry.
        answer_time_s: Moving average of a plain service's answer times; None before the first.
        sort_key: Hash of the instance id. Sorting by it gives the same order on every host.
        misdirected_until_s: Until then the upstream is not used, because a different one
            answered at its address.
    """

    def __init__(
        self, *, record: RegisteredUpstream, now_s: float, notice: Notice | None = None
    ) -> None:
        self.record = record
        self._notice = notice or Notice()
        self.health = Health()
        self._slowdown = 1.0
        self._slowdown_updated_s = now_s
        self.answer_time_s: float | None = None
        self.sort_key = xxhash.xxh64_intdigest(record.instance.encode())
        self.misdirected_until_s = 0.0
        self._warmup_until_s = now_s + record.cold_s
        self._in_flight: dict[AttemptId, InFlightRequest] = {}
        self._peer_load: UpstreamLoad | None = None
        self._total: LoadTotal | None = None
        self._total_expires_s = 0.0
        self._cached_parts: dict[PromptPartId, float] = {}
        self._last_activity_s = now_s
        self._link_cut_s = -math.inf
        self._gap_s = 0.0
        self._gap_updated_s = 0.0

    def __repr__(self) -> str:
        return (
            f"UpstreamState({self.record.instance}, in_flight={len(self._in_flight)}, "
            f"slowdown={self._slowdown:.2f})"
        )

    @property
    def local_requests(self) -> int:
        """Number of this host's open requests at the upstream."""
        return len(self._in_flight)

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream is about to end, by its registry entry or its own answers."""
        return self.record.availability is Availability.LEAVING or self._notice.leaving

    @property
    def is_brittle(self) -> bool:
        """Whether the upstream says that it falls over after some rejections."""
        return self._notice.guard is not None

    @property
    def is_rationed(self) -> bool:
        """Whether the upstream has stated how much it bears, so that hosts divide that."""
        return self._notice.guard is not None or self._notice.pacer is not None

    def accepts_requests(self, now_s: float) -> bool:
        """Whether new requests may be sent to the upstream at all."""
        if now_s < self.misdirected_until_s or not self._notice.allows_requests(now_s):
            return False
        return self.record.availability is Availability.READY

    def measure_pause_s(self, hosts: int | None, now_s: float) -> float:
        """Return how much longer the upstream takes no requests from this host.

        Args:
            hosts: Number of hosts that share the upstream; None while it is unknown.
        """
        pause_s = max(self._notice.paused_until_s - now_s, 0.0)
        pacer = self._notice.pacer
        return pause_s if pacer is None else max(pause_s, pacer.measure_wait_s(hosts, now_s))

    def is_healthy(self, now_s: float) -> bool:
        """Whether the upstream is neither excluded nor stalled, here or on another host."""
        if self._peer_load is not None and self._peer_load.stalled:
            return False
        if self.health.is_excluded(now_s):
            return False
        return not (self._in_flight and self.is_stalled(now_s))

    def is_stalled(self, now_s: float) -> bool:
        """Whether the upstream has been silent for too long while it had a request of this host.

        A request counts whether it streams or not, and also before its answer begins.
        """
        silence_s = now_s - self._last_activity_s
        if silence_s < STALL_TIMEOUT_S:
            return False
        for request in self._in_flight.values():
            if request.sent_s <= self._link_cut_s:
                continue
            age_s = now_s - request.sent_s
            if request.answer_begun and age_s > STALL_TIMEOUT_S:
                return True
            if not request.answer_begun and age_s > max(
                STALL_TIMEOUT_S, OVERDUE_FACTOR * request.expected_s
            ):
                return True
        return False

    def forget_connection_failures(self, now_s: float) -> None:
        """Forget what a cut link has made look like a fault of the upstream.

        Requests that are in progress say nothing about the upstream any more.
        """
        self._link_cut_s = now_s
        self.health.end_exclusion()

    def score_affinity(self, key: PromptPartId) -> int:
        """Return the rendezvous hashing score of a shared prompt prefix.

        The upstream with the highest score is the preferred one for the prefix.
        """
        return xxhash.xxh64_intdigest(key.encode(), seed=self.sort_key)

    def count_cached_tokens(self, prompt: Prompt, now_s: float) -> int:
        """Return the number of leading prompt tokens that are probably cached."""
        cached = 0
        for part in prompt.parts:
            used_s = self._cached_parts.get(part.part)
            if used_s is None or now_s - used_s > CACHE_LIFETIME_S:
                break
            cached += part.tokens
        return cached

    def measure_local_load(self, now_s: float) -> UpstreamLoad:
        """Return the load that this host puts on the upstream."""
        if not self._in_flight:
            has_gap = self._gap_s and now_s - self._gap_updated_s < GAP_LIFETIME_S
            return UpstreamLoad(gap_s=self._gap_s) if has_gap else _NO_LOAD
        sensitive_requests = sum(request.sensitive for request in self._in_flight.values())
        return UpstreamLoad(
            prefill_s=sum(request.prefill_s for request in self._in_flight.values()),
            sensitive_requests=sensitive_requests,
            tolerant_requests=len(self._in_flight) - sensitive_requests,
            tokens=sum(request.tokens for request in self._in_flight.values()),
            gap_s=self._gap_s if now_s - self._gap_updated_s < GAP_LIFETIME_S else 0.0,
            stalled=self.is_stalled(now_s),
            tolerant_prefill_s=sum(
                request.prefill_s for request in self._in_flight.values() if not request.sensitive
            ),
        )

    def measure(self, now_s: float) -> LoadTotal:
        """Return the load from all hosts, as far as it has been reported.

        It is kept until the load changes, and must not be changed by the caller.
        """
        if self._total is None or now_s >= self._total_expires_s:
            self._total = LoadTotal()
            self._total.add(self.measure_local_load(now_s))
            if self._peer_load is not None:
                self._total.add(self._peer_load)
            gap_expires_s = self._gap_updated_s + GAP_LIFETIME_S
            self._total_expires_s = gap_expires_s if now_s < gap_expires_s else math.inf
        return self._total

    def set_peer_load(self, load: UpstreamLoad | None) -> None:
        """Replace the load from all other hosts; None for no load."""
        if load != self._peer_load:
            self._peer_load = load
            self._total = None

    def forecast_gap_s(self, tokens_per_event: int, load: LoadTotal) -> float:
        """Return the expected gap in seconds between the events of a new stream."""
        return max(load.gap_s, tokens_per_event * DECODE_STEP_S)

    def estimate_slowdown(self, now_s: float) -> float:
        """Return the ratio of actual to forecast times until answers begin; 1 is normal speed."""
        decay = math.exp(-max(now_s - self._slowdown_updated_s, 0.0) / SLOWDOWN_TIME_CONSTANT_S)
        return 1.0 + (self._slowdown - 1.0) * decay

    def forecast_first_event_s(self, prefill_s: float, overhead_s: float, now_s: float) -> float:
        """Return the expected time to the first event of a prompt.

        Args:
            prefill_s: Time to prefill the prompt and all those before it on a usual engine.
            overhead_s: Time to the first event of an empty prompt on such an engine.
        """
        slowdown = self.estimate_slowdown(now_s) * (
            WARMUP_SLOWDOWN if now_s < self._warmup_until_s else 1.0
        )
        return overhead_s + slowdown * prefill_s

    def add_request(
        self, attempt_id: AttemptId, request: InFlightRequest, prompt: Prompt | None
    ) -> None:
        """Count a request, which is about to be sent, in the upstream's load."""
        self._in_flight[attempt_id] = request
        self._total = None
        if prompt is not None:
            self._mark_cached(prompt, request.sent_s)

    def is_open(self, hosts: int | None, now_s: float) -> bool:
        """Whether requests may be sent now, also by the rate that the upstream names, if any."""
        if not self.accepts_requests(now_s):
            return False
        pacer = self._notice.pacer
        return pacer is None or pacer.measure_wait_s(hosts, now_s) == 0.0

    def has_room(self, hosts: int | None, upstreams: int, now_s: float) -> bool:
        """Whether a request may be sent without much risk that the upstream turns it away.

        It is True for upstreams that have not said that they are brittle.

        Args:
            upstreams: Number of upstreams among which requests choose.
        """
        guard = self._notice.guard
        return guard is None or guard.allows_request(
            slots=self.record.slots,
            requests=self.measure(now_s).requests,
            hosts=hosts or ASSUMED_HOSTS,
            upstreams=upstreams,
            now_s=now_s,
        )

    def use_slot(self, hosts: int | None, now_s: float) -> None:
        """Count a request, which is about to be sent, against the upstream's named rate."""
        if self._notice.pacer is not None:
            self._notice.pacer.use_slot(hosts, now_s)

    def record_data(self, attempt_id: AttemptId, now_s: float) -> InFlightRequest | None:
        """Record that a response head or a piece of a body arrived for a request.

        The first data, which is the head, ends the request's prefill and updates the slowdown. The
        gaps are the times between later pieces, whether they belong to a stream or not.

        Returns:
            The request whose answer begins; None for later data and unknown requests.
        """
        self._last_activity_s = now_s
        request = self._in_flight.get(attempt_id)
        if request is None:
            return None
        self._total = None
        if request.answer_begun:
            self._update_gap(now_s - request.last_data_s, now_s)
            request.last_data_s = now_s
            return None
        request.answer_begun = True
        request.last_data_s = now_s
        request.prefill_s = 0.0
        self._update_slowdown(now_s - request.sent_s, request.expected_s, now_s)
        return request

    def count_overdue(self, now_s: float) -> Counter[int]:
        """Return the number of this host's requests by urgency that are overdue."""
        return Counter(
            request.urgency for request in self._in_flight.values() if request.is_overdue(now_s)
        )

    def remove_request(self, attempt_id: AttemptId) -> InFlightRequest | None:
        """Remove a request from the load and return it; None if it is unknown."""
        self._total = None
        return self._in_flight.pop(attempt_id, None)

    def record_answer_time(self, duration_s: float) -> None:
        """Update the average answer time of a plain service."""
        if self.answer_time_s is None:
            self.answer_time_s = duration_s
        self.answer_time_s += OBSERVATION_WEIGHT * (duration_s - self.answer_time_s)

    def record_activity(self, now_s: float) -> None:
        """Record that the upstream is not silent: it ended a response."""
        self._last_activity_s = now_s

    def _update_gap(self, gap_s: float, now_s: float) -> None:
        if now_s - self._gap_updated_s > GAP_LIFETIME_S:
            self._gap_s = gap_s
        self._gap_s += GAP_WEIGHT * (gap_s - self._gap_s)
        self._gap_updated_s = now_s

    def _update_slowdown(self, elapsed_s: float, expected_s: float, now_s: float) -> None:
        lowest, highest = SLOWDOWN_RANGE
        slowdown = self.estimate_slowdown(now_s)
        ratio = (elapsed_s + SLOWDOWN_MARGIN_S) / (expected_s + SLOWDOWN_MARGIN_S)
        observed = min(max(slowdown * ratio, lowest), highest)
        self._slowdown = slowdown + OBSERVATION_WEIGHT * (observed - slowdown)
        self._slowdown_updated_s = now_s

    def _mark_cached(self, prompt: Prompt, now_s: float) -> None:
        for part in prompt.shared_parts:
            self._cached_parts.pop(part.part, None)
            self._cached_parts[part.part] = now_s
        while len(self._cached_parts) > MAX_CACHED_PARTS:
            self._cached_parts.pop(next(iter(self._cached_parts)))
